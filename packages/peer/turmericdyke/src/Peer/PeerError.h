#pragma once

#include <string>

namespace turmericdyke {

enum class PeerErrorCode {
  /// The bytes do not encode a message of the expected kind.
  Malformed,
  /// A size exceeds its limit.
  TooLarge,
  /// The other side does not know the cluster secret, or replays a handshake.
  NotAuthentic,
  /// The protocol versions of the two sides do not overlap.
  VersionMismatch,
  /// No address is known for the node.
  UnknownPeer,
  /// The queue of the peer is full.
  QueueFull,
  /// The transport was stopped.
  Stopped,
  /// An operation on a socket failed.
  Socket,
};

struct PeerError {
  PeerErrorCode m_code = PeerErrorCode::Malformed;
  std::string m_message;
};

} // namespace turmericdyke
