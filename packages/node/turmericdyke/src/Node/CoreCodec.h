#pragma once

#include <string>
#include <string_view>

#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Node/CoreMessage.h"

namespace turmericdyke {

/// A control message in its encoded form.
struct EncodedMessage {
  PeerMessageKind m_kind = PeerMessageKind::Raft;
  std::string m_bytes;
};

EncodedMessage encodeCoreMessage(const CoreMessage &Message);

/// Decodes a control message. Kinds that the control plane does not use result
/// in the error `Malformed`.
Result<CoreMessage, PeerError> decodeCoreMessage(PeerMessageKind Kind,
                                                 std::string_view Bytes);

} // namespace turmericdyke
