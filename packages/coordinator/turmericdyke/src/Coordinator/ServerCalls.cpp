#include "turmericdyke/src/Coordinator/ServerCalls.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Responses to orders and probes have some hundred bytes. A call ends with a
/// larger one, which may have no end.
constexpr std::size_t MaxResponseBytes = 64 << 10;

} // namespace
} // namespace internal

class ServerCalls::Call : public ClientCallEvents {
public:
  Call(ServerCalls &Owner, Done OnDone)
      : m_owner(Owner), m_onDone(std::move(OnDone)) {}
  ~Call() override { m_owner.m_loop.cancel(m_timer); }

  void begin(const std::string &Address, std::string Bytes,
             absl::Duration Timeout) {
    m_connection = m_owner.m_pool.acquireConnection(Address);
    m_timer = m_owner.m_loop.after(Timeout, [this] {
      ServerCallResult Result;
      Result.m_unreachable = !m_connection->wasEstablished();
      m_connection->cancel();
      m_owner.finish(*this, Result);
    });
    m_connection->call(std::move(Bytes), false, *this);
  }

  bool onResponseHead(const HttpResponseHead &Head) override {
    m_status = Head.m_status;
    return true;
  }
  void onResponseBody(std::string_view Bytes) override {
    if (m_body.size() + Bytes.size() > internal::MaxResponseBytes) {
      m_connection->cancel();
      return m_owner.finish(*this, ServerCallResult());
    }
    m_body.append(Bytes);
  }
  void onCallEnd(ClientCallStatus End) override {
    m_reusable = End == ClientCallStatus::Complete;
    ServerCallResult Result;
    Result.m_refused = End == ClientCallStatus::ConnectRefused;
    Result.m_unreachable = End == ClientCallStatus::ConnectFailed;
    Result.m_status = m_reusable ? m_status : 0;
    Result.m_body = std::move(m_body);
    m_owner.finish(*this, Result);
  }

  ServerCalls &m_owner;
  Done m_onDone;
  std::unique_ptr<HttpClientConnection> m_connection;
  EventLoop::Timer m_timer;
  int m_status = 0;
  std::string m_body;
  bool m_reusable = false;
};

ServerCalls::ServerCalls(EventLoop &Loop, HttpClientPool &Pool)
    : m_loop(Loop), m_pool(Pool) {}

ServerCalls::~ServerCalls() = default;

void ServerCalls::call(const std::string &Address, std::string Bytes,
                       absl::Duration Timeout, Done OnDone) {
  m_running.push_back(std::make_shared<Call>(*this, std::move(OnDone)));
  std::shared_ptr<Call> Started = m_running.back();
  Started->begin(Address, std::move(Bytes), Timeout);
}

void ServerCalls::finish(Call &Finished, const ServerCallResult &Result) {
  m_loop.cancel(Finished.m_timer);
  for (auto At = m_running.begin(); At != m_running.end(); ++At) {
    if (At->get() != &Finished)
      continue;
    // In a later turn of the loop, as this runs in a callback of the
    // connection.
    m_loop.post([this, Pending = *At, Result] {
      if (Pending->m_reusable)
        m_pool.releaseConnection(std::move(Pending->m_connection));
      Pending->m_onDone(Result);
    });
    m_running.erase(At);
    return;
  }
}

} // namespace turmericdyke
