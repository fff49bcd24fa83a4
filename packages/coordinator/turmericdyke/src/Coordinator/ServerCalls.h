#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "turmericdyke/src/Http/HttpClientPool.h"

namespace turmericdyke {

/// Outcome of a call to a server.
struct ServerCallResult {
  /// The connection was refused.
  bool m_refused = false;
  /// No connection could be established, so not even the host's kernel has
  /// answered.
  bool m_unreachable = false;
  /// Status of the response; 0 if there was none in time.
  int m_status = 0;
  std::string m_body;
};

/// Makes short calls to servers: orders and probes.
class ServerCalls {
public:
  using Done = std::function<void(const ServerCallResult &)>;

  /// The arguments must outlive the object.
  ServerCalls(EventLoop &Loop, HttpClientPool &Pool);
  ~ServerCalls();

  /// Sends `Bytes`, a complete request, and calls `OnDone` in a later turn of
  /// the loop.
  void call(const std::string &Address, std::string Bytes,
            absl::Duration Timeout, Done OnDone);

private:
  class Call;
  void finish(Call &Finished, const ServerCallResult &Result);

  EventLoop &m_loop;
  HttpClientPool &m_pool;
  std::list<std::shared_ptr<Call>> m_running;
};

} // namespace turmericdyke
