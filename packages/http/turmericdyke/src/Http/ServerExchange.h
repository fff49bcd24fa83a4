#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "turmericdyke/src/Http/HttpMessage.h"

namespace turmericdyke {

class ServerConnection;

/// One request and its answer on a connection of an `HttpServer`. The answer is
/// either `respond`, or `start`, `write` and `finish`. Calls after the caller
/// has gone do nothing.
class ServerExchange {
public:
  ServerExchange(std::weak_ptr<ServerConnection> Connection,
                 HttpRequest Request);

  const HttpRequest &request() const { return m_request; }
  HttpRequest &request() { return m_request; }

  /// Sends a whole answer.
  void respond(const HttpResponse &Response);
  /// Begins an answer of unknown length.
  void start(int Status, const HttpFields &Fields);
  void write(std::string_view Bytes);
  void finish();
  /// Ends the connection so that the answer cannot be taken for a whole one.
  void abort();

  bool started() const { return m_started; }
  bool done() const { return m_done; }
  /// Whether the caller has closed the connection.
  bool gone() const { return m_gone; }
  /// Bytes that the caller has not taken yet.
  std::size_t unsentBytes() const;
  /// Called once when the caller goes before the answer is complete.
  void onGone(std::function<void()> Callback) {
    m_onGone = std::move(Callback);
  }

private:
  friend class ServerConnection;
  void markGone();

  std::weak_ptr<ServerConnection> m_connection;
  HttpRequest m_request;
  std::function<void()> m_onGone;
  bool m_started = false;
  bool m_done = false;
  bool m_gone = false;
};

} // namespace turmericdyke
