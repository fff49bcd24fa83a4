#pragma once

#include <memory>
#include <optional>
#include <string>

#include "turmericdyke/src/Peer/ClientHandshake.h"
#include "turmericdyke/src/Peer/Http2Connection.h"
#include "turmericdyke/src/Peer/SendQueue.h"
#include "turmericdyke/src/Peer/TransportContext.h"

namespace turmericdyke::internal {

/// Maintains a connection to one address while there are messages to send, and
/// sends the queued messages over it once the handshake has succeeded.
class OutgoingPeer : public Http2Listener {
public:
  OutgoingPeer(TransportContext &Context, std::uint64_t Id, std::string Address,
               std::shared_ptr<SendQueue> Queue, Instant Now);

  /// Identifies the peer to the poll.
  std::uint64_t id() const { return m_id; }
  /// Number of connections made so far.
  std::uint64_t connections() const { return m_connections; }

  /// Connects, sends PINGs, replaces the connection and submits queued messages
  /// when they are due.
  void tick(Instant Now);
  /// Submits and writes queued messages.
  void sendQueued(Instant Now);
  /// Reads and writes after the poll has reported the socket.
  void serve(Instant Now, bool Readable);
  /// Extends the PING deadline after the I/O thread itself did not run for
  /// `By`.
  void extendPingDeadline(absl::Duration By);

  /// The socket to poll, or negative.
  int socket() const;
  bool wantsWrite() const;
  /// Whether no message is queued or awaits acknowledgement.
  bool isDrained() const;
  /// Whether nothing was sent for the idle time.
  bool isIdle(Instant Now) const;

private:
  enum class Stage { Closed, AwaitReply, AwaitConfirmation, Ready };

  void onRequest(std::int32_t, std::string_view, std::string) override {}
  void onResponse(std::int32_t Stream, int Status, std::string Body) override;
  void onPingAck() override { m_pingAcknowledged = true; }
  void onOversized() override;

  void connect(Instant Now);
  void submitQueued(Instant Now);
  void acceptReply(int Status, std::string_view Body);
  /// Closes the connection. The next attempt follows after the backoff, or
  /// immediately if `AtOnce` is set.
  void close(Instant Now, bool AtOnce);
  void flush(Instant Now);

  TransportContext &m_context;
  std::uint64_t m_id = 0;
  std::uint64_t m_connections = 0;
  std::string m_address;
  std::shared_ptr<SendQueue> m_queue;
  std::unique_ptr<Http2Connection> m_connection;
  std::optional<ClientHandshake> m_handshake;
  Stage m_stage = Stage::Closed;
  bool m_failed = false;
  bool m_pingAcknowledged = false;
  bool m_justReady = false;
  std::size_t m_inFlightBytes = 0;
  std::map<std::int32_t, std::size_t> m_inFlight;
  absl::Duration m_backoff;
  Instant m_nextAttempt;
  Instant m_handshakeDeadline;
  Instant m_nextPing;
  Instant m_lastPingAck;
  Instant m_lastUse;
};

} // namespace turmericdyke::internal
