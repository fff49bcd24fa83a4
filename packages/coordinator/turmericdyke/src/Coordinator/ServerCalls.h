#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "turmericdyke/src/Http/HttpClientPool.h"

namespace turmericdyke {

/// How a call to a server went.
struct ServerCallResult {
  /// Nobody listens at the address.
  bool m_refused = false;
  /// Status of the answer; 0 if there was none in time.
  int m_status = 0;
  std::string m_body;
};

/// Short calls to servers: orders and questions.
class ServerCalls {
public:
  using Done = std::function<void(const ServerCallResult &)>;

  /// Everything given must outlive the object.
  ServerCalls(EventLoop &Loop, HttpClientPool &Pool);
  ~ServerCalls();

  /// Sends `Bytes`, a whole request, and reports its end on a later turn.
  void call(const std::string &Address, std::string Bytes,
            absl::Duration Timeout, Done OnDone);

private:
  class Call;
  void finish(Call &Ended, const ServerCallResult &Result);

  EventLoop &m_loop;
  HttpClientPool &m_pool;
  std::list<std::shared_ptr<Call>> m_running;
};

} // namespace turmericdyke
