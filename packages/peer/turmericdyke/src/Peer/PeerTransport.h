#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Loop/Sockets.h"
#include "turmericdyke/src/Peer/PeerCounters.h"
#include "turmericdyke/src/Peer/PeerTransportOptions.h"

namespace turmericdyke {

namespace internal {
class IncomingPeer;
class OutgoingPeer;
class PeerPoll;
struct TransportContext;
} // namespace internal

/// Exchanges messages with other nodes over HTTP/2, on one I/O thread. Each
/// node sends over connections that it opened itself.
///
/// A message is delivered at most once: messages that were submitted to a
/// connection but not acknowledged when it ends are lost and counted, and
/// messages still in the queue are sent over the next connection. Messages of
/// one peer may be reordered when they are larger than a frame of 16 KiB.
class PeerTransport {
public:
  static Result<std::unique_ptr<PeerTransport>, PeerError>
  start(PeerTransportOptions Options, PeerHandler Handler);

  /// Stops.
  ~PeerTransport();
  PeerTransport(const PeerTransport &) = delete;
  PeerTransport &operator=(const PeerTransport &) = delete;

  /// IP:port where other nodes reach this one, with the port that was bound.
  const std::string &address() const;

  /// Sets the address where a node listens. Nodes that connect to this one are
  /// added automatically. Afterwards only that node is accepted as the peer at
  /// the address.
  void setPeer(const NodeId &Node, std::string_view Address);
  /// Removes a node, its queue and the connection to it.
  void removePeer(const NodeId &Node);

  /// Queues a message; never blocks on I/O. Errors: `UnknownPeer`,
  /// `QueueFull`, `TooLarge`, `Stopped`.
  Result<void, PeerError> send(const NodeId &To, PeerMessageKind Kind,
                               std::string Bytes);
  /// Queues a message to whichever node listens at `Address`.
  Result<void, PeerError> sendTo(std::string_view Address, PeerMessageKind Kind,
                                 std::string Bytes);

  const PeerCounters &counters() const;

  /// Rejects new messages, waits for queued ones up to `m_stopTimeout` and
  /// joins the thread. The handler is not called afterwards. Must not be called
  /// from the handler.
  void stop();

private:
  struct KnownPeer {
    std::string m_address;
    std::uint64_t m_incarnation = 0;
  };
  using OutgoingMap =
      std::map<std::string, std::unique_ptr<internal::OutgoingPeer>>;

  PeerTransport(PeerTransportOptions Options, PeerHandler Handler,
                internal::Descriptor Listener, internal::Descriptor Wake);

  Result<void, PeerError> enqueue(const std::string &Address,
                                  PeerMessageKind Kind, std::string Bytes);
  std::shared_ptr<SendQueue> queueFor(const std::string &Address)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
  void dropAddress(const NodeId &Node, const std::string &Address)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
  void updatePeer(const PeerIdentity &Identity);
  NodeId expectedNode(const std::string &Address) const;

  void wake();
  void drainWake();
  void run();
  void pollOnce(Instant Now);
  void syncOutgoing(Instant Now);
  void dropIdle(Instant Now);
  void accept(Instant Now);
  void limitUnauthenticated();
  bool isDrained() const;
  /// Sends what was queued since the last call.
  void sendQueued(Instant Now);
  /// Carries out what is due at all peers: pings, timeouts and reconnects.
  void tickPeers(Instant Now);
  void serveOutgoing(Instant Now, const std::string &Address,
                     std::uint32_t Events);
  void serveIncoming(Instant Now, std::uint64_t Id, std::uint32_t Events);
  void dropIncoming(std::uint64_t Id);

  std::unique_ptr<internal::TransportContext> m_context;
  internal::Descriptor m_listener;
  internal::Descriptor m_wake;
  std::atomic<bool> m_wakePending{false};
  std::atomic<bool> m_stopping{false};

  mutable absl::Mutex m_lock;
  std::map<NodeId, KnownPeer> m_peers ABSL_GUARDED_BY(m_lock);
  std::map<std::string, NodeId> m_nodeAt ABSL_GUARDED_BY(m_lock);
  std::map<std::string, std::shared_ptr<SendQueue>>
      m_queues ABSL_GUARDED_BY(m_lock);
  bool m_queuesChanged ABSL_GUARDED_BY(m_lock) = false;
  /// Addresses with messages queued since the I/O thread last looked.
  std::set<std::string> m_queued ABSL_GUARDED_BY(m_lock);

  // Used by the I/O thread only.
  /// Watched sockets, by an identifier that is never used twice.
  std::unique_ptr<internal::PeerPoll> m_poll;
  OutgoingMap m_outgoing;
  std::map<std::uint64_t, std::string> m_outgoingById;
  /// In the order of acceptance.
  std::map<std::uint64_t, std::unique_ptr<internal::IncomingPeer>> m_incoming;
  Instant m_nextTick = absl::InfinitePast();

  std::thread m_thread;
};

} // namespace turmericdyke
