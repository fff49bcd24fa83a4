#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Loop/EventLoop.h"

namespace turmericdyke {

class ServerConnection;
class ServerExchange;

/// Bounds on what a caller may send. They can change while the server runs.
struct HttpServerLimits {
  std::size_t m_headBytes = 16 << 10;
  std::size_t m_bodyBytes = 4 << 20;
  /// From the first byte of a request to the end of its header.
  absl::Duration m_headTime = absl::Seconds(3);
  /// Longest pause within the body of a request.
  absl::Duration m_bodyPause = absl::Seconds(10);
  /// How long a connection may carry nothing.
  absl::Duration m_idleTime = absl::Seconds(15);
  /// Connections at a time; more are closed at once.
  std::size_t m_connections = 2000;
};

/// Why the server ended a connection or refused bytes by itself.
enum class HttpServerEvent {
  Accepted,
  TooManyConnections,
  Malformed,
  HeadTooLarge,
  BodyTooLarge,
  HeadTimedOut,
  BodyTimedOut,
};

std::string_view nameOf(HttpServerEvent Event);

/// An HTTP/1.1 server on an event loop. Requests are handed on once they are
/// complete; a connection carries one at a time.
class HttpServer {
public:
  /// Takes a request. The exchange is answered now or later, from the loop's
  /// thread.
  using Handler = std::function<void(std::shared_ptr<ServerExchange>)>;
  using EventHandler = std::function<void(HttpServerEvent)>;

  HttpServer(EventLoop &Loop, Handler OnRequest, EventHandler OnEvent);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  Result<void, SocketError> listen(std::string_view Address);
  std::string address() const;

  void setLimits(const HttpServerLimits &Limits) { m_limits = Limits; }
  const HttpServerLimits &limits() const { return m_limits; }

  /// From now on every answer closes its connection.
  void closeAfterAnswers() { m_closing = true; }
  /// Closes the connections that carry nothing now.
  void closeIdle();
  void stopListening();

  std::size_t connections() const { return m_connections.size(); }
  /// Requests that were handed on and not answered in full.
  std::size_t exchanges() const { return m_exchanges; }

private:
  friend class ServerConnection;

  void accept();
  void sweep();
  void scheduleSweep();
  void forget(std::uint64_t Id);
  void report(HttpServerEvent Event) const { m_onEvent(Event); }

  EventLoop &m_loop;
  Handler m_onRequest;
  EventHandler m_onEvent;
  HttpServerLimits m_limits;
  internal::Descriptor m_listener;
  std::unordered_map<std::uint64_t, std::shared_ptr<ServerConnection>>
      m_connections;
  std::uint64_t m_ids = 0;
  std::size_t m_exchanges = 0;
  bool m_closing = false;
  EventLoop::Timer m_sweep;
};

} // namespace turmericdyke
