#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "turmericdyke/src/Http/ConnectionShare.h"
#include "turmericdyke/src/Http/HttpMessage.h"

namespace turmericdyke {

class ServerConnection;

/// A request and its response on a connection of an `HttpServer`. The response
/// is sent by `respond`, or by `start`, `write` and `finish`. Calls after the
/// caller has disconnected have no effect.
class ServerExchange {
public:
  /// `Bytes` is what the request takes of the budget while the exchange lives.
  /// A request may go on running after its caller has left.
  ServerExchange(std::weak_ptr<ServerConnection> Connection,
                 HttpRequest Request, std::shared_ptr<ConnectionBudget> Budget,
                 std::size_t Bytes);

  const HttpRequest &request() const { return m_request; }
  HttpRequest &request() { return m_request; }

  /// Sends a complete response.
  void respond(const HttpResponse &Response);
  /// Begins a response of unknown length.
  void start(int Status, const HttpFields &Fields);
  void write(std::string_view Bytes);
  void finish();
  /// Resets the connection, so that the response cannot be mistaken for a
  /// complete one.
  void abort();

  bool started() const { return m_started; }
  bool done() const { return m_done; }
  /// Whether the caller has closed the connection.
  bool gone() const { return m_gone; }
  /// Bytes that are not yet sent to the caller.
  std::size_t unsentBytes() const;
  /// Sets a callback that runs once if the caller disconnects before the
  /// response is complete.
  void onDisconnect(std::function<void()> Callback) {
    m_onGone = std::move(Callback);
  }

private:
  friend class ServerConnection;
  void markDisconnected();

  std::weak_ptr<ServerConnection> m_connection;
  HttpRequest m_request;
  ConnectionShare m_share;
  std::function<void()> m_onGone;
  bool m_started = false;
  /// What the header of the response says of the connection.
  bool m_keepsAlive = false;
  bool m_done = false;
  bool m_gone = false;
};

} // namespace turmericdyke
