#include "turmericdyke/src/Peer/IncomingPeer.h"

#include "turmericdyke/src/Base/Bytes.h"
#include "turmericdyke/src/Base/LogLine.h"

namespace turmericdyke::internal {

// A hello has about 300 bytes; unauthenticated peers must not make this process
// buffer much more.
constexpr Http2Limits UnauthenticatedLimits{4096, 16 << 10};
// Several large messages may be in flight concurrently.
constexpr std::size_t MaxBufferedMessages = 4;
// A live client sends a PING every second; after ten intervals without data the
// connection is considered dead.
constexpr int PingIntervalsUntilDead = 10;

IncomingPeer::IncomingPeer(TransportContext &Context, Descriptor Socket,
                           Instant Now)
    : m_context(Context),
      m_connection(Http2Connection::Role::Server, std::move(Socket),
                   UnauthenticatedLimits, *this),
      m_handshake(Context.m_options.m_identity,
                  Context.m_options.m_clusterSecret, randomBytes(NonceBytes)),
      m_acceptedAt(Now), m_lastRead(Now) {}

bool IncomingPeer::serve(Instant Now, bool Readable) {
  if (Readable) {
    m_lastRead = Now;
    if (!m_connection.read())
      return false;
  }
  return m_connection.write() && !m_connection.isFinished();
}

bool IncomingPeer::isOverdue(Instant Now) const {
  const PeerTransportOptions &Options = m_context.m_options;
  if (!isAuthenticated())
    return Now > m_acceptedAt + Options.m_handshakeTimeout;
  return Now > m_lastRead + PingIntervalsUntilDead * Options.m_pingInterval;
}

void IncomingPeer::refuse(std::int32_t Stream, int Status) {
  m_connection.submitResponse(Stream, Status, {});
  m_connection.submitGoAway();
}

void IncomingPeer::acceptHandshake(std::int32_t Stream, std::string_view Path,
                                   std::string_view Body) {
  if (Path != nameOf(PeerMessageKind::Hello)) {
    m_context.m_counters.add(PeerCounter::RefusedBeforeHandshake);
    return refuse(Stream, 403);
  }
  Result<std::string, PeerError> Answer = m_handshake.accept(Body);
  if (!Answer) {
    m_context.m_counters.add(PeerCounter::HandshakeFailures);
    LogLine(LogLevel::Warning, "peer_handshake_failed")
        .field("error", Answer.error().m_message);
    return refuse(Stream, 403);
  }
  m_connection.submitResponse(Stream, 200, std::move(Answer.value()));
  if (!isAuthenticated())
    return;
  std::size_t Largest = m_context.m_options.m_maxMessageBytes;
  m_connection.setLimits({Largest, MaxBufferedMessages * Largest});
  m_context.m_onAuthenticated(m_handshake.remote());
}

void IncomingPeer::onRequest(std::int32_t Stream, std::string_view Path,
                             std::string Body) {
  bool Known = Path.starts_with(PeerPathPrefix);
  Path.remove_prefix(Known ? PeerPathPrefix.size() : Path.size());
  if (!isAuthenticated())
    return acceptHandshake(Stream, Path, Body);
  std::optional<PeerMessageKind> Kind = parsePeerMessageKind(Path);
  if (!Kind) {
    m_context.m_counters.add(PeerCounter::UnknownKind);
    return m_connection.submitResponse(Stream, 404, {});
  }
  if (*Kind == PeerMessageKind::Hello) {
    m_context.m_counters.add(PeerCounter::HandshakeFailures);
    return refuse(Stream, 403);
  }
  m_connection.submitResponse(Stream, 204, {});
  m_context.m_counters.add(PeerCounter::Received);
  m_context.m_counters.add(PeerCounter::ReceivedBytes, Body.size());
  const PeerIdentity &Remote = m_handshake.remote();
  m_context.m_handler({Remote.m_node, Remote.m_address, m_handshake.version(),
                       *Kind, std::move(Body)});
}

void IncomingPeer::onOversized() {
  m_context.m_counters.add(PeerCounter::Oversized);
}

} // namespace turmericdyke::internal
