#include "turmericdyke/src/Peer/PeerTransport.h"

#include <algorithm>
#include <cassert>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <vector>

#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Peer/IncomingPeer.h"
#include "turmericdyke/src/Peer/OutgoingPeer.h"
#include "turmericdyke/src/Peer/PeerPoll.h"
#include "turmericdyke/src/Peer/TransportContext.h"

namespace turmericdyke {

namespace internal {
namespace {

// The system is designed for 1,000 nodes; a restarted one may be known under
// two addresses.
constexpr std::size_t MaxAddresses = 2048;
constexpr std::size_t MaxIncoming = 2048;
// Limits the memory held for unauthenticated peers: with 16 KiB of bodies each,
// about 2 MiB.
constexpr std::ptrdiff_t MaxUnauthenticated = 128;
/// Interval at which pings, timeouts and reconnects of all peers are looked
/// after; the shortest of these times.
constexpr absl::Duration TickInterval = absl::Milliseconds(50);
/// Poll identifiers of the eventfd and the listener; those of peers are larger.
constexpr std::uint64_t WakeId = 1;
constexpr std::uint64_t ListenerId = 2;
// An iteration that is this late means that the process was paused, and that
// PING acknowledgements may be waiting unread.
constexpr absl::Duration PauseThreshold = absl::Seconds(1);

PeerError peerError(PeerErrorCode Code, std::string_view Message) {
  return {Code, std::string(Message)};
}

} // namespace
} // namespace internal

Result<std::unique_ptr<PeerTransport>, PeerError>
PeerTransport::start(PeerTransportOptions Options, PeerHandler Handler) {
  if (Options.m_clusterSecret.empty())
    return failure(internal::peerError(PeerErrorCode::NotAuthentic,
                                       "the cluster secret is empty"));
  auto Listener = internal::listenOn(Options.m_listenAddress);
  if (!Listener)
    return failure(
        PeerError{PeerErrorCode::Socket, Listener.error().m_message});
  internal::Descriptor Wake(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
  if (Wake.get() < 0)
    return failure(
        internal::peerError(PeerErrorCode::Socket, "cannot create an eventfd"));
  if (Options.m_identity.m_address.empty())
    Options.m_identity.m_address = internal::boundAddress(Listener.value());
  return std::unique_ptr<PeerTransport>(
      new PeerTransport(std::move(Options), std::move(Handler),
                        std::move(Listener.value()), std::move(Wake)));
}

PeerTransport::PeerTransport(PeerTransportOptions Options, PeerHandler Handler,
                             internal::Descriptor Listener,
                             internal::Descriptor Wake)
    : m_context(std::make_unique<internal::TransportContext>()),
      m_listener(std::move(Listener)), m_wake(std::move(Wake)),
      m_poll(std::make_unique<internal::PeerPoll>()) {
  m_poll->watch(m_poll->nextId(), m_wake.get(), 0, false);
  m_poll->watch(m_poll->nextId(), m_listener.get(), 0, false);
  m_context->m_options = std::move(Options);
  m_context->m_handler = std::move(Handler);
  m_context->m_expectedNode = [this](const std::string &Address) {
    return expectedNode(Address);
  };
  m_context->m_onAuthenticated = [this](const PeerIdentity &Identity) {
    updatePeer(Identity);
  };
  m_thread = std::thread([this] { run(); });
}

PeerTransport::~PeerTransport() { stop(); }

const std::string &PeerTransport::address() const {
  return m_context->m_options.m_identity.m_address;
}

const PeerCounters &PeerTransport::counters() const {
  return m_context->m_counters;
}

void PeerTransport::dropAddress(const NodeId &Node,
                                const std::string &Address) {
  // Another node may have taken over the address.
  auto Found = m_nodeAt.find(Address);
  if (Found == m_nodeAt.end() || Found->second != Node)
    return;
  m_nodeAt.erase(Found);
  m_queues.erase(Address);
  m_queuesChanged = true;
}

void PeerTransport::setPeer(const NodeId &Node, std::string_view Address) {
  absl::MutexLock Lock(&m_lock);
  KnownPeer &Known = m_peers[Node];
  if (Known.m_address == Address)
    return;
  if (!Known.m_address.empty())
    dropAddress(Node, Known.m_address);
  Known.m_address = std::string(Address);
  m_nodeAt[Known.m_address] = Node;
}

void PeerTransport::removePeer(const NodeId &Node) {
  absl::MutexLock Lock(&m_lock);
  auto Found = m_peers.find(Node);
  if (Found == m_peers.end())
    return;
  dropAddress(Node, Found->second.m_address);
  m_peers.erase(Found);
  wake();
}

void PeerTransport::updatePeer(const PeerIdentity &Identity) {
  {
    absl::MutexLock Lock(&m_lock);
    auto Found = m_peers.find(Identity.m_node);
    if (Found == m_peers.end() && m_peers.size() >= internal::MaxAddresses)
      return;
    if (Found != m_peers.end() &&
        Found->second.m_incarnation > Identity.m_incarnation)
      return;
    m_peers[Identity.m_node].m_incarnation = Identity.m_incarnation;
  }
  setPeer(Identity.m_node, Identity.m_address);
}

NodeId PeerTransport::expectedNode(const std::string &Address) const {
  absl::MutexLock Lock(&m_lock);
  auto Found = m_nodeAt.find(Address);
  return Found == m_nodeAt.end() ? NodeId() : Found->second;
}

std::shared_ptr<SendQueue> PeerTransport::queueFor(const std::string &Address) {
  auto Found = m_queues.find(Address);
  if (Found != m_queues.end())
    return Found->second;
  if (m_queues.size() >= internal::MaxAddresses)
    return nullptr;
  m_queuesChanged = true;
  return m_queues[Address] =
             std::make_shared<SendQueue>(m_context->m_options.m_queueLimits);
}

Result<void, PeerError> PeerTransport::enqueue(const std::string &Address,
                                               PeerMessageKind Kind,
                                               std::string Bytes) {
  assert(Kind != PeerMessageKind::Hello && "the transport sends hello itself");
  PeerCounters &Counters = m_context->m_counters;
  if (m_stopping.load())
    return failure(internal::peerError(PeerErrorCode::Stopped, "stopped"));
  if (Bytes.size() > m_context->m_options.m_maxMessageBytes)
    return failure(
        internal::peerError(PeerErrorCode::TooLarge, "message too large"));
  SendQueue::PushOutcome Outcome = SendQueue::PushOutcome::Refused;
  {
    // The push is done under the lock, so that an idle queue is not removed
    // between look-up and push.
    absl::MutexLock Lock(&m_lock);
    if (std::shared_ptr<SendQueue> Queue = queueFor(Address)) {
      Outcome = Queue->push(Kind, std::move(Bytes));
      m_queued.insert(Address);
    }
  }
  if (Outcome == SendQueue::PushOutcome::Refused) {
    Counters.add(PeerCounter::RefusedQueueFull);
    return failure(
        internal::peerError(PeerErrorCode::QueueFull, "the queue is full"));
  }
  if (Outcome == SendQueue::PushOutcome::DroppedOlder)
    Counters.add(PeerCounter::DroppedOlder);
  wake();
  return success();
}

Result<void, PeerError>
PeerTransport::send(const NodeId &To, PeerMessageKind Kind, std::string Bytes) {
  std::string Address;
  {
    absl::MutexLock Lock(&m_lock);
    auto Found = m_peers.find(To);
    if (Found != m_peers.end())
      Address = Found->second.m_address;
  }
  if (Address.empty())
    return failure(internal::peerError(PeerErrorCode::UnknownPeer,
                                       "no address is known for the node"));
  return enqueue(Address, Kind, std::move(Bytes));
}

Result<void, PeerError> PeerTransport::sendTo(std::string_view Address,
                                              PeerMessageKind Kind,
                                              std::string Bytes) {
  return enqueue(std::string(Address), Kind, std::move(Bytes));
}

void PeerTransport::stop() {
  assert(std::this_thread::get_id() != m_thread.get_id() &&
         "the handler must not stop the transport");
  m_stopping.store(true);
  wake();
  if (m_thread.joinable())
    m_thread.join();
}

void PeerTransport::wake() {
  if (m_wakePending.exchange(true))
    return;
  std::uint64_t One = 1;
  ssize_t Done = ::write(m_wake.get(), &One, sizeof One);
  (void)Done;
}

void PeerTransport::drainWake() {
  std::uint64_t Count = 0;
  ssize_t Done = ::read(m_wake.get(), &Count, sizeof Count);
  (void)Done;
  m_wakePending.store(false);
}

void PeerTransport::syncOutgoing(Instant Now) {
  absl::MutexLock Lock(&m_lock);
  if (!m_queuesChanged)
    return;
  m_queuesChanged = false;
  std::erase_if(m_outgoing, [&](const auto &Entry) {
    if (m_queues.contains(Entry.first))
      return false;
    m_poll->forget(Entry.second->id());
    m_outgoingById.erase(Entry.second->id());
    return true;
  });
  for (const auto &[Address, Queue] : m_queues) {
    if (m_outgoing.contains(Address))
      continue;
    std::uint64_t Id = m_poll->nextId();
    m_outgoing[Address] = std::make_unique<internal::OutgoingPeer>(
        *m_context, Id, Address, Queue, Now);
    m_outgoingById[Id] = Address;
  }
}

void PeerTransport::dropIdle(Instant Now) {
  absl::MutexLock Lock(&m_lock);
  std::erase_if(m_outgoing, [&](const auto &Entry) {
    if (!Entry.second->isIdle(Now))
      return false;
    m_queues.erase(Entry.first);
    m_poll->forget(Entry.second->id());
    m_outgoingById.erase(Entry.second->id());
    return true;
  });
}

void PeerTransport::limitUnauthenticated() {
  std::ptrdiff_t Count = 0;
  std::uint64_t Oldest = 0;
  for (const auto &[Id, Peer] : m_incoming) {
    if (Peer->isAuthenticated())
      continue;
    Oldest = Count++ == 0 ? Id : Oldest;
  }
  // Drops the oldest, because a genuine handshake takes a few milliseconds.
  if (Count >= internal::MaxUnauthenticated)
    dropIncoming(Oldest);
}

void PeerTransport::dropIncoming(std::uint64_t Id) {
  m_poll->forget(Id);
  m_incoming.erase(Id);
}

void PeerTransport::accept(Instant Now) {
  for (;;) {
    internal::Descriptor Socket = internal::acceptFrom(m_listener);
    if (Socket.get() < 0)
      return;
    limitUnauthenticated();
    if (m_incoming.size() >= internal::MaxIncoming)
      continue;
    std::uint64_t Id = m_poll->nextId();
    auto Peer = std::make_unique<internal::IncomingPeer>(
        *m_context, std::move(Socket), Now);
    m_poll->watch(Id, Peer->socket(), 0, Peer->wantsWrite());
    m_incoming.emplace(Id, std::move(Peer));
  }
}

bool PeerTransport::isDrained() const {
  return std::all_of(
      m_outgoing.begin(), m_outgoing.end(),
      [](const auto &Entry) { return Entry.second->isDrained(); });
}

void PeerTransport::sendQueued(Instant Now) {
  std::set<std::string> Queued;
  {
    absl::MutexLock Lock(&m_lock);
    Queued.swap(m_queued);
  }
  for (const std::string &Address : Queued) {
    auto Found = m_outgoing.find(Address);
    if (Found == m_outgoing.end())
      continue;
    internal::OutgoingPeer &Peer = *Found->second;
    Peer.sendQueued(Now);
    m_poll->watch(Peer.id(), Peer.socket(), Peer.connections(),
                  Peer.wantsWrite());
  }
}

void PeerTransport::tickPeers(Instant Now) {
  for (const auto &[Address, Peer] : m_outgoing) {
    Peer->tick(Now);
    m_poll->watch(Peer->id(), Peer->socket(), Peer->connections(),
                  Peer->wantsWrite());
  }
  std::vector<std::uint64_t> Overdue;
  for (const auto &[Id, Peer] : m_incoming)
    if (Peer->isOverdue(Now))
      Overdue.push_back(Id);
  for (std::uint64_t Id : Overdue)
    dropIncoming(Id);
  dropIdle(Now);
}

void PeerTransport::serveOutgoing(Instant Now, const std::string &Address,
                                  std::uint32_t Events) {
  internal::OutgoingPeer &Peer = *m_outgoing.at(Address);
  Peer.serve(Now, (Events & ~static_cast<std::uint32_t>(EPOLLOUT)) != 0);
  m_poll->watch(Peer.id(), Peer.socket(), Peer.connections(),
                Peer.wantsWrite());
}

void PeerTransport::serveIncoming(Instant Now, std::uint64_t Id,
                                  std::uint32_t Events) {
  auto Found = m_incoming.find(Id);
  if (Found == m_incoming.end())
    return;
  internal::IncomingPeer &Peer = *Found->second;
  if (!Peer.serve(Now, (Events & ~static_cast<std::uint32_t>(EPOLLOUT)) != 0))
    return dropIncoming(Id);
  m_poll->watch(Id, Peer.socket(), 0, Peer.wantsWrite());
}

void PeerTransport::pollOnce(Instant Now) {
  absl::Duration Timeout = std::max(m_nextTick - Now, absl::ZeroDuration());
  std::vector<internal::PeerPoll::Ready> Ready = m_poll->wait(Timeout);
  Instant WakeTime = monotonicNow();
  if (WakeTime - Now > Timeout + internal::PauseThreshold)
    for (const auto &[Address, Peer] : m_outgoing)
      Peer->extendPingDeadline(WakeTime - Now);
  for (const internal::PeerPoll::Ready &Event : Ready) {
    if (Event.m_id == internal::WakeId) {
      drainWake();
    } else if (Event.m_id == internal::ListenerId) {
      accept(WakeTime);
    } else if (auto Outgoing = m_outgoingById.find(Event.m_id);
               Outgoing != m_outgoingById.end()) {
      serveOutgoing(WakeTime, Outgoing->second, Event.m_events);
    } else {
      serveIncoming(WakeTime, Event.m_id, Event.m_events);
    }
  }
}

void PeerTransport::run() {
  Instant StopDeadline = absl::InfiniteFuture();
  for (;;) {
    Instant Now = monotonicNow();
    syncOutgoing(Now);
    sendQueued(Now);
    if (Now >= m_nextTick) {
      m_nextTick = Now + internal::TickInterval;
      tickPeers(Now);
    }
    if (m_stopping.load()) {
      StopDeadline =
          std::min(StopDeadline, Now + m_context->m_options.m_stopTimeout);
      if (Now >= StopDeadline || isDrained())
        break;
    }
    pollOnce(Now);
  }
  m_outgoing.clear();
  m_incoming.clear();
}

} // namespace turmericdyke
