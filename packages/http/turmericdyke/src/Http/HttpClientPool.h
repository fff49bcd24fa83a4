#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "turmericdyke/src/Http/HttpClientConnection.h"

namespace turmericdyke {

/// Kept connections to servers, by address.
class HttpClientPool {
public:
  /// Called for each connection that had to be opened.
  using OpenHandler = std::function<void()>;

  HttpClientPool(EventLoop &Loop, ClientConnectionOptions Options,
                 OpenHandler OnOpen);

  /// A connection that has carried nothing for less than `MostIdle`, or a new
  /// one. A request over a kept connection may cross the server's close, and
  /// nobody can tell whether it ran; a short `MostIdle` makes that rare.
  std::unique_ptr<HttpClientConnection>
  take(const std::string &Address,
       absl::Duration MostIdle = absl::InfiniteDuration());
  /// Keeps a connection if it can carry another call.
  void give(std::unique_ptr<HttpClientConnection> Connection);
  /// Closes all kept connections to an address.
  void drop(const std::string &Address);

private:
  void sweep();

  EventLoop &m_loop;
  ClientConnectionOptions m_options;
  OpenHandler m_onOpen;
  /// The most recently used last.
  std::map<std::string, std::deque<std::unique_ptr<HttpClientConnection>>>
      m_kept;
  EventLoop::Timer m_sweep;
};

} // namespace turmericdyke
