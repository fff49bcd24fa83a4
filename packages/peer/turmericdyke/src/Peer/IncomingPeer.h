#pragma once

#include <memory>
#include <string>

#include "turmericdyke/src/Peer/Http2Connection.h"
#include "turmericdyke/src/Peer/ServerHandshake.h"
#include "turmericdyke/src/Peer/TransportContext.h"

namespace turmericdyke::internal {

/// One accepted connection: performs the handshake and then receives messages.
class IncomingPeer : public Http2Listener {
public:
  IncomingPeer(TransportContext &Context, Descriptor Socket, Instant Now);

  /// Reads and writes after `poll` has reported the socket; false when the
  /// connection is over.
  bool serve(Instant Now, bool Readable);
  /// Whether the handshake has timed out, or the client has sent nothing for
  /// several PING intervals.
  bool isOverdue(Instant Now) const;

  bool isAuthenticated() const { return m_handshake.succeeded(); }
  int socket() const { return m_connection.socket(); }
  bool wantsWrite() const { return m_connection.wantsWrite(); }

private:
  void onRequest(std::int32_t Stream, std::string_view Path,
                 std::string Body) override;
  void onResponse(std::int32_t, int, std::string) override {}
  void onPingAck() override {}
  void onOversized() override;

  void acceptHandshake(std::int32_t Stream, std::string_view Path,
                       std::string_view Body);
  void refuse(std::int32_t Stream, int Status);

  TransportContext &m_context;
  Http2Connection m_connection;
  ServerHandshake m_handshake;
  Instant m_acceptedAt;
  Instant m_lastRead;
};

} // namespace turmericdyke::internal
