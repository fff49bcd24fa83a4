#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "turmericdyke/src/Http/HttpReader.h"
#include "turmericdyke/src/Loop/EventLoop.h"

namespace turmericdyke {

/// How a call over a client connection ended.
enum class ClientCallStatus {
  /// The response is complete.
  Complete,
  /// The connection could not be established; no byte of the request left this
  /// process.
  ConnectFailed,
  /// The same, because the other host refused the connection.
  ConnectRefused,
  /// The connection ended before or within the response.
  Broken,
  /// The received bytes are not a valid response.
  Malformed
};

/// What a call over a client connection reports, in order. The callbacks may
/// cancel the call.
class ClientCallEvents {
public:
  virtual ~ClientCallEvents() = default;
  /// Returns whether the response belongs to the call. If not, it is skipped,
  /// and the next response on the connection is awaited.
  virtual bool onResponseHead(const HttpResponseHead &Head) = 0;
  virtual void onResponseBody(std::string_view Bytes) = 0;
  virtual void onCallEnd(ClientCallStatus End) = 0;
};

/// How far the request of a call had got when its connection ended.
struct RequestDelivery {
  /// The socket took all bytes of the request.
  bool m_sentWhole = false;
  /// Bytes that the peer's kernel had not acknowledged; nothing if the system
  /// does not tell.
  std::optional<std::size_t> m_unacknowledged;
  /// Since the socket last took bytes of the request.
  absl::Duration m_sinceSent = absl::ZeroDuration();
};

struct ClientConnectionOptions {
  absl::Duration m_connectTimeout = absl::Milliseconds(500);
  /// See `limitSilence`.
  absl::Duration m_unresponsiveTimeout = absl::Seconds(4);
};

/// A connection to a server, which processes one call at a time.
class HttpClientConnection : public HttpReaderEvents {
public:
  HttpClientConnection(EventLoop &Loop, std::string Address,
                       ClientConnectionOptions Options);
  ~HttpClientConnection() override;

  /// Sends a request. `Events` must live until `onCallEnd` or `cancel`.
  void call(std::string Bytes, bool IsHead, ClientCallEvents &Events);
  /// Aborts the call and closes the connection; no further event is reported.
  void cancel();
  /// Pauses and resumes reading, to apply backpressure while the receiver of
  /// the response is slow.
  void setReading(bool On);

  /// Whether another call may use the connection.
  bool reusable(Instant Now) const;
  /// Since when it has been idle.
  Instant idleSince() const { return m_idleSince; }
  const std::string &address() const { return m_address; }
  /// Whether the connection was ever established; it may have ended since.
  bool wasEstablished() const { return m_established; }
  /// Number of calls made on the connection, including the current one.
  int calls() const { return m_calls; }
  /// The socket's error that ended the connection, as in errno; 0 if there is
  /// none. ETIMEDOUT: the peer acknowledged nothing, see `limitSilence`.
  int socketError() const { return m_socketError; }
  /// Valid once the connection has ended within a call.
  const RequestDelivery &delivery() const { return m_delivery; }
  /// Whether any byte of the current call was passed to the socket.
  bool sentAny() const { return m_sent > 0; }
  /// Sets a callback for when the server closes the connection while it is
  /// idle.
  void onIdleEnd(std::function<void()> Callback) {
    m_onIdleEnd = std::move(Callback);
  }

  bool onHead() override;
  void onBody(std::string_view Bytes) override;
  void onMessageEnd() override;

private:
  enum class State { Unconnected, Connecting, Idle, Calling, Closed };

  void startConnecting();
  void onReady(std::uint32_t Events);
  void onConnected();
  void flush();
  void readSocket();
  void consume(std::string_view Bytes);
  void updateEvents();
  void endCall(ClientCallStatus End);
  void dropSocket();
  RequestDelivery currentDelivery() const;
  absl::Duration keepAliveTime() const;

  EventLoop &m_loop;
  std::string m_address;
  ClientConnectionOptions m_options;
  State m_state = State::Unconnected;
  internal::Descriptor m_socket;
  HttpReader m_reader;
  ClientCallEvents *m_events = nullptr;
  std::string m_output;
  std::size_t m_sent = 0;
  Instant m_lastSent = absl::InfinitePast();
  bool m_sendFailed = false;
  /// The connection broke, although the socket will report an orderly end.
  bool m_endsInError = false;
  RequestDelivery m_delivery;
  bool m_isHead = false;
  bool m_skipping = false;
  /// Whether a response head of the current call was accepted, and how many
  /// bytes arrived before.
  bool m_accepted = false;
  std::size_t m_skippedBytes = 0;
  bool m_messageEnded = false;
  bool m_reusable = true;
  bool m_reading = true;
  int m_calls = 0;
  int m_socketError = 0;
  bool m_established = false;
  Instant m_idleSince = absl::InfinitePast();
  absl::Duration m_keepAliveTime;
  EventLoop::Timer m_connectTimer;
  std::function<void()> m_onIdleEnd;
  /// Set to false on destruction, so that running callbacks can detect it.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace turmericdyke
