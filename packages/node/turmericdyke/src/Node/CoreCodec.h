#pragma once

#include <string>
#include <string_view>

#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Node/CoreMessage.h"

namespace turmericdyke {

/// A control message as the transport carries it.
struct EncodedMessage {
  PeerMessageKind m_kind = PeerMessageKind::Raft;
  std::string m_bytes;
};

EncodedMessage encodeCore(const CoreMessage &Message);

/// Reads a control message. Kinds that the control side does not use are
/// `Malformed`.
Result<CoreMessage, PeerError> decodeCore(PeerMessageKind Kind,
                                          std::string_view Bytes);

} // namespace turmericdyke
