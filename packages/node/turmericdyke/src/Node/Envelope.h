#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// A command in the log together with the node that waits for its result. The
/// waiting node reads the result when it applies the entry itself.
struct Envelope {
  NodeId m_origin;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_ticket = 0;
  /// Encoded `Command`.
  std::string m_command;
};

/// CBOR of the commands that share one log entry.
std::string encodeEnvelopes(const std::vector<Envelope> &Envelopes);

/// Nothing when the bytes are malformed. Unknown fields are ignored.
std::optional<std::vector<Envelope>> decodeEnvelopes(std::string_view Bytes);

} // namespace turmericdyke
