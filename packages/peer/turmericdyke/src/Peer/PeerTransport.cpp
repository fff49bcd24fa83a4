#include "turmericdyke/src/Peer/PeerTransport.h"

#include <algorithm>
#include <cassert>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <vector>

#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Peer/IncomingPeer.h"
#include "turmericdyke/src/Peer/OutgoingPeer.h"
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
constexpr absl::Duration MaxPollTimeout = absl::Milliseconds(500);
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
      m_listener(std::move(Listener)), m_wake(std::move(Wake)) {
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
    if (std::shared_ptr<SendQueue> Queue = queueFor(Address))
      Outcome = Queue->push(Kind, std::move(Bytes));
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
    return !m_queues.contains(Entry.first);
  });
  for (const auto &[Address, Queue] : m_queues)
    if (!m_outgoing.contains(Address))
      m_outgoing[Address] = std::make_unique<internal::OutgoingPeer>(
          *m_context, Address, Queue, Now);
}

void PeerTransport::dropIdle(Instant Now) {
  absl::MutexLock Lock(&m_lock);
  std::erase_if(m_outgoing, [&](const auto &Entry) {
    if (!Entry.second->isIdle(Now))
      return false;
    m_queues.erase(Entry.first);
    return true;
  });
}

void PeerTransport::limitUnauthenticated() {
  auto IsUnauthenticated = [](const auto &Peer) {
    return !Peer->isAuthenticated();
  };
  auto Count =
      std::count_if(m_incoming.begin(), m_incoming.end(), IsUnauthenticated);
  // Drops the oldest, because a genuine handshake takes a few milliseconds.
  if (Count >= internal::MaxUnauthenticated)
    m_incoming.erase(
        std::find_if(m_incoming.begin(), m_incoming.end(), IsUnauthenticated));
}

void PeerTransport::accept(Instant Now) {
  for (;;) {
    internal::Descriptor Socket = internal::acceptFrom(m_listener);
    if (Socket.get() < 0)
      return;
    limitUnauthenticated();
    if (m_incoming.size() >= internal::MaxIncoming)
      continue;
    m_incoming.push_back(std::make_unique<internal::IncomingPeer>(
        *m_context, std::move(Socket), Now));
  }
}

absl::Duration PeerTransport::pollTimeout(Instant Now) const {
  Instant Next = Now + internal::MaxPollTimeout;
  for (const auto &[Address, Peer] : m_outgoing)
    Next = std::min(Next, Peer->deadline());
  return std::max(Next - Now, absl::ZeroDuration());
}

bool PeerTransport::isDrained() const {
  return std::all_of(
      m_outgoing.begin(), m_outgoing.end(),
      [](const auto &Entry) { return Entry.second->isDrained(); });
}

void PeerTransport::pollOnce(Instant Now) {
  std::vector<pollfd> Polled = {{m_wake.get(), POLLIN, 0},
                                {m_listener.get(), POLLIN, 0}};
  auto Add = [&](int Socket, bool Write) {
    short Events = Write ? POLLIN | POLLOUT : POLLIN;
    Polled.push_back({Socket, Events, 0});
  };
  for (const auto &[Address, Peer] : m_outgoing)
    Add(Peer->socket(), Peer->wantsWrite());
  for (const auto &Peer : m_incoming)
    Add(Peer->socket(), Peer->wantsWrite());
  int Timeout = static_cast<int>(absl::ToInt64Milliseconds(
      absl::Ceil(pollTimeout(Now), absl::Milliseconds(1))));
  absl::Duration Allowed =
      absl::Milliseconds(Timeout) + internal::PauseThreshold;
  poll(Polled.data(), Polled.size(), Timeout);
  Instant WakeTime = monotonicNow();
  drainWake();
  std::size_t Index = 2;
  for (const auto &[Address, Peer] : m_outgoing) {
    if (WakeTime - Now > Allowed)
      Peer->extendPingDeadline(WakeTime - Now);
    short Events = Polled[Index++].revents;
    if (Events != 0)
      Peer->serve(WakeTime, (Events & ~POLLOUT) != 0);
  }
  std::erase_if(m_incoming, [&](const auto &Peer) {
    short Events = Polled[Index++].revents;
    bool Open = Events == 0 || Peer->serve(WakeTime, (Events & ~POLLOUT) != 0);
    return !Open || Peer->isOverdue(WakeTime);
  });
  if (Polled[1].revents != 0)
    accept(WakeTime);
}

void PeerTransport::run() {
  Instant StopDeadline = absl::InfiniteFuture();
  for (;;) {
    Instant Now = monotonicNow();
    syncOutgoing(Now);
    for (const auto &[Address, Peer] : m_outgoing)
      Peer->tick(Now);
    dropIdle(Now);
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
