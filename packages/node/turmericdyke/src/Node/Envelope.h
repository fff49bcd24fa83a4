#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// A command in the log and the node that waits for its result. That node gets
/// the result when it applies the log entry itself.
struct Envelope {
  NodeId m_origin;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_ticket = 0;
  /// Encoded `Command`.
  std::string m_command;
};

/// Encodes the commands of one log entry as CBOR.
std::string encodeEnvelopes(const std::vector<Envelope> &Envelopes);

/// Decodes the commands of one log entry; empty if the bytes are malformed.
/// Unknown fields are ignored.
std::optional<std::vector<Envelope>> decodeEnvelopes(std::string_view Bytes);

} // namespace turmericdyke
