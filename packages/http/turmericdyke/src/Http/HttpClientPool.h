#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "turmericdyke/src/Http/HttpClientConnection.h"

namespace turmericdyke {

/// Keeps idle connections to servers for reuse, by address.
class HttpClientPool {
public:
  /// Called for each connection that had to be opened.
  using OpenHandler = std::function<void()>;

  HttpClientPool(EventLoop &Loop, ClientConnectionOptions Options,
                 OpenHandler OnOpen);

  /// Returns a connection that has been idle for less than `MaxIdle`, or a new
  /// one. The server may close a kept connection while a request is sent, and
  /// then it is unknown whether the request was executed; a short `MaxIdle`
  /// makes that rare.
  std::unique_ptr<HttpClientConnection>
  acquireConnection(const std::string &Address,
                    absl::Duration MaxIdle = absl::InfiniteDuration());
  /// Keeps a connection if it can be used for another call.
  void releaseConnection(std::unique_ptr<HttpClientConnection> Connection);
  /// Closes all kept connections to an address.
  void drop(const std::string &Address);

private:
  void sweep();

  EventLoop &m_loop;
  ClientConnectionOptions m_options;
  OpenHandler m_onOpen;
  /// The most recently used last.
  std::map<std::string, std::deque<std::unique_ptr<HttpClientConnection>>>
      m_idle;
  EventLoop::Timer m_sweep;
};

} // namespace turmericdyke
