#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Http/ConnectionBudget.h"
#include "turmericdyke/src/Loop/EventLoop.h"

namespace turmericdyke {

class ServerConnection;
class ServerExchange;

/// Limits on what a caller may send. They can change while the server runs.
struct HttpServerLimits {
  std::size_t m_headBytes = 16 << 10;
  std::size_t m_bodyBytes = 4 << 20;
  /// Time from the first byte of a request to the end of its header.
  absl::Duration m_headTime = absl::Seconds(3);
  /// Longest pause within the body of a request.
  absl::Duration m_bodyIdleTimeout = absl::Seconds(10);
  /// Time from the first byte of a request to the end of its body, so that a
  /// few bytes now and then do not hold a body open for ever. A body of 4 MiB
  /// ends in time at 0.6 Mbit/s, and the deadlines of callers are seconds.
  absl::Duration m_bodyTime = absl::Seconds(60);
  /// How long a connection may be idle.
  absl::Duration m_idleTime = absl::Seconds(15);
  /// A caller that acknowledges nothing for this long is considered
  /// unreachable, see `limitSilence`. Holds for connections accepted later.
  absl::Duration m_unresponsiveTimeout = absl::Seconds(8);
  /// A caller that takes no byte of a waiting response for this long is cut
  /// off. A sound caller reads 64 KiB in this time.
  absl::Duration m_unreadTime = absl::Seconds(8);
  /// Concurrent connections; further ones are closed immediately.
  std::size_t m_connections = 2000;
};

/// Events that the server reports: accepted connections, and why it closed a
/// connection or rejected a request.
enum class HttpServerEvent {
  Accepted,
  TooManyConnections,
  Malformed,
  HeadTooLarge,
  BodyTooLarge,
  HeadTimedOut,
  BodyTimedOut,
  /// A request that had not run was refused for want of memory.
  MemoryUsedUp,
  /// A connection was closed when it was accepted for want of memory.
  NoMemoryToAccept,
  /// The caller did not read its response.
  Unread,
  /// The caller acknowledged nothing for too long.
  Unresponsive,
  Stopping,
};

std::string_view nameOf(HttpServerEvent Event);
/// Whether it is about a request, a connection or a response that was given up
/// to keep the memory bounded. The server logs these itself, in sums.
bool isForMemory(HttpServerEvent Event);

/// An HTTP/1.1 server on an event loop. Requests are passed to the handler once
/// they are complete; a connection processes one at a time.
class HttpServer {
public:
  /// Handles a request. The exchange may be answered during the call or later,
  /// on the loop's thread.
  using Handler = std::function<void(std::shared_ptr<ServerExchange>)>;
  using EventHandler = std::function<void(HttpServerEvent)>;

  HttpServer(EventLoop &Loop, Handler OnRequest, EventHandler OnEvent);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Counts the connections in a budget that several servers share; to be
  /// called before `listen`. Otherwise their memory is not bounded.
  void shareBudget(std::shared_ptr<ConnectionBudget> Budget) {
    m_budget = std::move(Budget);
  }
  Result<void, SocketError> listen(std::string_view Address);
  std::string address() const;

  void setLimits(const HttpServerLimits &Limits) { m_limits = Limits; }
  const HttpServerLimits &limits() const { return m_limits; }

  /// From now on every connection is closed after its response.
  void closeAfterResponses() { m_closing = true; }
  /// Closes the connections that are idle, and on which no request has arrived.
  void closeIdle();
  /// Refuses the requests that were read in part with 503.
  void refuseIncomplete();
  void stopListening();

  std::size_t connections() const { return m_connections.size(); }
  /// Requests that were passed to the handler and not yet answered completely.
  std::size_t exchanges() const { return m_exchanges; }
  /// Connections that are not idle: with a request that was read at least in
  /// part, or with a response that was not sent to the last byte.
  std::size_t busyConnections() const;

private:
  friend class ServerConnection;

  void accept();
  /// Accepts nothing until descriptors may be free again.
  void pauseAccepting();
  /// The connections, so that they may end while they are visited.
  std::vector<std::shared_ptr<ServerConnection>> all() const;
  void sweep();
  void scheduleSweep();
  void remove(std::uint64_t Id);
  void report(HttpServerEvent Event);
  /// Gives up the incomplete requests that the budget has no room for.
  void refuseOverBudget();
  /// The same in the next turn of the loop, and then cuts off responses. Their
  /// writers may be running now, or a request be parsed.
  void enforceBudgetSoon();
  void logBudget();
  /// Bounds what the kernel holds of the bytes of one more connection.
  int receiveBytes() const;

  EventLoop &m_loop;
  Handler m_onRequest;
  EventHandler m_onEvent;
  HttpServerLimits m_limits;
  std::shared_ptr<ConnectionBudget> m_budget;
  /// Refused requests and connections, and responses cut off, since the last
  /// log line.
  std::size_t m_refusedForMemory = 0;
  std::size_t m_cutUnread = 0;
  internal::Descriptor m_listener;
  std::unordered_map<std::uint64_t, std::shared_ptr<ServerConnection>>
      m_connections;
  std::uint64_t m_ids = 0;
  std::size_t m_exchanges = 0;
  bool m_closing = false;
  EventLoop::Timer m_sweep;
  EventLoop::Timer m_acceptPause;
  EventLoop::Timer m_enforcement;
  bool m_refusing = false;
};

} // namespace turmericdyke
