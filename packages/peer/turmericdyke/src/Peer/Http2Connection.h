#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "turmericdyke/src/Loop/Sockets.h"

struct nghttp2_session;

namespace turmericdyke::internal {

/// Receives the events of an `Http2Connection`. The methods are called from
/// within `read` and `write`; they may submit, but must not destroy the
/// connection.
class Http2Listener {
public:
  virtual ~Http2Listener() = default;
  /// A complete POST request, for the accepting side.
  virtual void onRequest(std::int32_t Stream, std::string_view Path,
                         std::string Body) = 0;
  /// A complete response, for the connecting side; `Status` 0 means that the
  /// stream ended without one.
  virtual void onResponse(std::int32_t Stream, int Status,
                          std::string Body) = 0;
  virtual void onPingAck() = 0;
  virtual void onOversized() = 0;
};

/// Limits on the data that one connection may make this process buffer.
struct Http2Limits {
  /// Largest body of one message; a larger one ends its stream.
  std::size_t m_bodyBytes = 0;
  /// Largest sum of incomplete bodies; more ends the connection.
  std::size_t m_totalBytes = 0;
};

/// One HTTP/2 connection over a non-blocking socket, on nghttp2. Used by one
/// thread.
class Http2Connection {
public:
  enum class Role { Client, Server };

  Http2Connection(Role Side, Descriptor Socket, Http2Limits Limits,
                  Http2Listener &Listener);
  ~Http2Connection();
  Http2Connection(const Http2Connection &) = delete;
  Http2Connection &operator=(const Http2Connection &) = delete;

  void setLimits(Http2Limits Limits) { m_limits = Limits; }

  /// Submits a POST; returns the stream identifier, or a negative number on
  /// failure.
  std::int32_t submitRequest(std::string_view Authority, std::string_view Path,
                             std::string Body);
  void submitResponse(std::int32_t Stream, int Status, std::string Body);
  void submitPing();
  /// Sends GOAWAY after everything that was submitted.
  void submitGoAway();

  /// Reads the available data; false if the connection has ended.
  bool read();
  /// Writes as much as the socket accepts; false if the connection has ended.
  bool write();

  bool wantsWrite() const;
  /// Whether the connection was shut down in order and nothing is left to read
  /// or write.
  bool isFinished() const;
  int socket() const { return m_socket.get(); }
  std::size_t openStreams() const { return m_streams.size(); }

private:
  struct Stream {
    std::string m_path;
    int m_status = 0;
    bool m_isPost = false;
    bool m_done = false;
    std::string m_received;
    std::string m_outgoing;
    std::size_t m_sent = 0;
  };
  struct Callbacks;

  void complete(std::int32_t Id, Stream &State);
  bool receiveData(std::int32_t Id, std::string_view Bytes);
  void receiveHeader(std::int32_t Id, std::string_view Name,
                     std::string_view Value);
  void closeStream(std::int32_t Id);

  Role m_role;
  Descriptor m_socket;
  Http2Limits m_limits;
  Http2Listener &m_listener;
  nghttp2_session *m_session = nullptr;
  std::map<std::int32_t, Stream> m_streams;
  std::size_t m_receivedBytes = 0;
  std::string m_output;
  std::size_t m_written = 0;
  bool m_overLimit = false;
  bool m_goAway = false;
};

} // namespace turmericdyke::internal
