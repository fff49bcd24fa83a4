#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "absl/time/time.h"
#include "turmericdyke/src/Peer/PeerIdentity.h"
#include "turmericdyke/src/Peer/PeerMessages.h"
#include "turmericdyke/src/Peer/SendQueue.h"

namespace turmericdyke {

/// A message from an authenticated peer.
struct ReceivedMessage {
  NodeId m_from;
  /// Where the sender listens, as it stated in its handshake.
  std::string m_fromAddress;
  /// Protocol version agreed with the sender.
  std::uint64_t m_version = 1;
  PeerMessageKind m_kind = PeerMessageKind::Swim;
  std::string m_bytes;
};

/// Called on the I/O thread for each message. It must not block, throw, or
/// stop the transport; sending is allowed.
using PeerHandler = std::function<void(ReceivedMessage)>;

struct PeerTransportOptions {
  /// Node, incarnation and versions. An empty address is replaced by the
  /// address that was bound.
  PeerIdentity m_identity;
  /// IP:port; port 0 lets the system choose.
  std::string m_listenAddress = "127.0.0.1:0";
  /// Shared by all nodes of the cluster; not empty.
  std::string m_clusterSecret;
  SendQueueLimits m_queueLimits;
  std::size_t m_maxMessageBytes = 16 << 20;
  /// A connection is replaced if no PING was acknowledged for `m_pingTimeout`.
  absl::Duration m_pingInterval = absl::Seconds(1);
  absl::Duration m_pingTimeout = absl::Seconds(2);
  /// Limit on connecting and on the handshake, for both sides.
  absl::Duration m_handshakeTimeout = absl::Seconds(2);
  absl::Duration m_minBackoff = absl::Milliseconds(50);
  absl::Duration m_maxBackoff = absl::Seconds(2);
  /// An outgoing connection closes when nothing was sent for this long.
  absl::Duration m_idleTimeout = absl::Seconds(60);
  /// How long `stop` waits for queued messages to be acknowledged.
  absl::Duration m_stopTimeout = absl::Milliseconds(500);
};

} // namespace turmericdyke
