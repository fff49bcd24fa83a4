#include "turmericdyke/src/Peer/OutgoingPeer.h"

#include <algorithm>

#include <fmt/format.h>

#include "turmericdyke/src/Base/Bytes.h"
#include "turmericdyke/src/Base/LogLine.h"

namespace turmericdyke::internal {

// Fewer than the 256 streams that the other side allows; further messages stay
// in the queue, whose limits apply.
constexpr std::size_t MaxInFlight = 128;
constexpr std::size_t MaxInFlightBytes = 32 << 20;
// Responses to messages have no body; the handshake reply has about 400 bytes.
constexpr Http2Limits ResponseLimits{4096, 64 << 10};

OutgoingPeer::OutgoingPeer(TransportContext &Context, std::uint64_t Id,
                           std::string Address,
                           std::shared_ptr<SendQueue> Queue, Instant Now)
    : m_context(Context), m_id(Id), m_address(std::move(Address)),
      m_queue(std::move(Queue)), m_backoff(Context.m_options.m_minBackoff),
      m_nextAttempt(Now), m_lastUse(Now) {}

int OutgoingPeer::socket() const {
  return m_connection ? m_connection->socket() : -1;
}

bool OutgoingPeer::wantsWrite() const {
  return m_connection && m_connection->wantsWrite();
}

bool OutgoingPeer::isDrained() const {
  return m_queue->empty() && m_inFlight.empty();
}

bool OutgoingPeer::isIdle(Instant Now) const {
  return isDrained() && Now - m_lastUse > m_context.m_options.m_idleTimeout;
}

void OutgoingPeer::extendPingDeadline(absl::Duration By) {
  m_lastPingAck += By;
}

void OutgoingPeer::connect(Instant Now) {
  const PeerTransportOptions &Options = m_context.m_options;
  m_lastUse = Now;
  ++m_connections;
  Result<Descriptor, SocketError> Socket = connectTo(m_address);
  if (!Socket) {
    LogLine(LogLevel::Warning, "peer_connect_failed")
        .field("address", m_address)
        .field("error", Socket.error().m_message);
    return close(Now, false);
  }
  m_connection = std::make_unique<Http2Connection>(
      Http2Connection::Role::Client, std::move(Socket.value()), ResponseLimits,
      *this);
  m_handshake.emplace(Options.m_identity, Options.m_clusterSecret,
                      randomBytes(NonceBytes));
  m_handshakeDeadline = Now + Options.m_handshakeTimeout;
  m_stage = Stage::AwaitReply;
  m_connection->submitRequest(m_address, fmt::format("{}hello", PeerPathPrefix),
                              m_handshake->hello());
}

void OutgoingPeer::close(Instant Now, bool AtOnce) {
  const PeerTransportOptions &Options = m_context.m_options;
  m_context.m_counters.add(PeerCounter::LostInFlight, m_inFlight.size());
  m_inFlight.clear();
  m_inFlightBytes = 0;
  m_connection.reset();
  m_handshake.reset();
  m_stage = Stage::Closed;
  m_failed = false;
  m_pingAcknowledged = false;
  m_justReady = false;
  m_nextAttempt = Now;
  if (AtOnce)
    return;
  m_context.m_counters.add(PeerCounter::ConnectionFailures);
  // The jitter keeps the peers of a restarted node from reconnecting at the
  // same time.
  m_nextAttempt += m_backoff * absl::Uniform(m_context.m_random, 0.5, 1.5);
  m_backoff = std::min(m_backoff * 2, Options.m_maxBackoff);
}

void OutgoingPeer::tick(Instant Now) {
  const PeerTransportOptions &Options = m_context.m_options;
  if (m_stage == Stage::Closed) {
    if (m_queue->empty() || Now < m_nextAttempt)
      return;
    connect(Now);
    return flush(Now);
  }
  if (m_stage != Stage::Ready) {
    if (Now >= m_handshakeDeadline)
      close(Now, false);
    return;
  }
  if (Now >= m_lastPingAck + Options.m_pingTimeout) {
    LogLine(LogLevel::Warning, "peer_connection_silent")
        .field("address", m_address);
    m_context.m_counters.add(PeerCounter::ReplacedSilent);
    close(Now, true);
    return tick(Now);
  }
  if (Now >= m_nextPing) {
    m_connection->submitPing();
    m_nextPing = Now + Options.m_pingInterval;
    flush(Now);
  }
}

void OutgoingPeer::sendQueued(Instant Now) {
  if (m_stage == Stage::Closed)
    return tick(Now);
  if (m_stage != Stage::Ready)
    return;
  submitQueued(Now);
  flush(Now);
}

void OutgoingPeer::submitQueued(Instant Now) {
  while (m_inFlight.size() < MaxInFlight &&
         m_inFlightBytes < MaxInFlightBytes) {
    std::optional<SendQueue::Message> Next = m_queue->pop();
    if (!Next)
      return;
    std::size_t Size = Next->m_bytes.size();
    std::int32_t Stream = m_connection->submitRequest(
        m_address, fmt::format("{}{}", PeerPathPrefix, nameOf(Next->m_kind)),
        std::move(Next->m_bytes));
    if (Stream < 0) {
      // The stream identifiers of the connection are exhausted.
      m_context.m_counters.add(PeerCounter::LostInFlight);
      m_failed = true;
      return;
    }
    m_inFlight[Stream] = Size;
    m_inFlightBytes += Size;
    m_lastUse = Now;
    m_context.m_counters.add(PeerCounter::Sent);
    m_context.m_counters.add(PeerCounter::SentBytes, Size);
  }
}

void OutgoingPeer::serve(Instant Now, bool Readable) {
  if (!m_connection)
    return;
  if (Readable && !m_connection->read())
    m_failed = true;
  if (m_justReady) {
    m_justReady = false;
    m_backoff = m_context.m_options.m_minBackoff;
    m_lastPingAck = Now;
    m_nextPing = Now + m_context.m_options.m_pingInterval;
  }
  if (m_pingAcknowledged)
    m_lastPingAck = Now;
  m_pingAcknowledged = false;
  // The handshake has succeeded, or acknowledgements have made room.
  if (m_stage == Stage::Ready && !m_failed)
    submitQueued(Now);
  flush(Now);
}

void OutgoingPeer::flush(Instant Now) {
  if (!m_connection)
    return;
  bool Written = !m_failed && m_connection->write();
  // The stream of an invalid response fails while its reset is written.
  if (m_failed || !Written || m_connection->isFinished())
    close(Now, false);
}

void OutgoingPeer::onOversized() {
  m_context.m_counters.add(PeerCounter::Oversized);
  m_failed = true;
}

void OutgoingPeer::acceptReply(int Status, std::string_view Body) {
  if (Status != 200) {
    m_failed = true;
    m_context.m_counters.add(PeerCounter::HandshakeFailures);
    LogLine(LogLevel::Warning, "peer_handshake_refused")
        .field("address", m_address)
        .field("status", Status);
    return;
  }
  if (m_stage == Stage::AwaitConfirmation) {
    m_stage = Stage::Ready;
    m_justReady = true;
    m_context.m_counters.add(PeerCounter::Connections);
    return m_context.m_onAuthenticated(m_handshake->remote());
  }
  Result<std::string, PeerError> Proof =
      m_handshake->acceptReply(Body, m_context.m_expectedNode(m_address));
  if (!Proof) {
    m_failed = true;
    m_context.m_counters.add(PeerCounter::HandshakeFailures);
    LogLine(LogLevel::Warning, "peer_handshake_failed")
        .field("address", m_address)
        .field("error", Proof.error().m_message);
    return;
  }
  m_stage = Stage::AwaitConfirmation;
  m_connection->submitRequest(m_address, fmt::format("{}hello", PeerPathPrefix),
                              std::move(Proof.value()));
}

void OutgoingPeer::onResponse(std::int32_t Stream, int Status,
                              std::string Body) {
  if (m_stage != Stage::Ready)
    return acceptReply(Status, Body);
  auto Found = m_inFlight.find(Stream);
  if (Found == m_inFlight.end())
    return;
  m_inFlightBytes -= Found->second;
  m_inFlight.erase(Found);
  if (Status == 204)
    m_context.m_counters.add(PeerCounter::Delivered);
  else if (Status == 0)
    m_context.m_counters.add(PeerCounter::LostInFlight);
  else
    m_context.m_counters.add(PeerCounter::RejectedByPeer);
}

} // namespace turmericdyke::internal
