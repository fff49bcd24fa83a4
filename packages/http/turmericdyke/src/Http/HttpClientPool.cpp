#include "turmericdyke/src/Http/HttpClientPool.h"

#include <algorithm>

namespace turmericdyke {

namespace internal {
namespace {

constexpr absl::Duration SweepInterval = absl::Seconds(1);

} // namespace
} // namespace internal

HttpClientPool::HttpClientPool(EventLoop &Loop, ClientConnectionOptions Options,
                               OpenHandler OnOpen)
    : m_loop(Loop), m_options(Options), m_onOpen(std::move(OnOpen)) {}

std::unique_ptr<HttpClientConnection>
HttpClientPool::acquireConnection(const std::string &Address,
                                  absl::Duration MaxIdle) {
  Instant Now = monotonicNow();
  auto Found = m_idle.find(Address);
  if (Found != m_idle.end()) {
    auto &Kept = Found->second;
    while (!Kept.empty()) {
      std::unique_ptr<HttpClientConnection> Last = std::move(Kept.back());
      Kept.pop_back();
      if (Last->reusable(Now) && Now - Last->idleSince() < MaxIdle)
        return Last;
    }
    m_idle.erase(Found);
  }
  m_onOpen();
  return std::make_unique<HttpClientConnection>(m_loop, Address, m_options);
}

void HttpClientPool::releaseConnection(
    std::unique_ptr<HttpClientConnection> Connection) {
  if (!Connection->reusable(monotonicNow()))
    return;
  std::string Address = Connection->address();
  m_idle[Address].push_back(std::move(Connection));
  if (!m_sweep)
    m_sweep = m_loop.after(internal::SweepInterval, [this] { sweep(); });
}

void HttpClientPool::drop(const std::string &Address) { m_idle.erase(Address); }

void HttpClientPool::sweep() {
  m_sweep = EventLoop::Timer{};
  Instant Now = monotonicNow();
  for (auto At = m_idle.begin(); At != m_idle.end();) {
    std::erase_if(At->second, [Now](const auto &Connection) {
      return !Connection->reusable(Now);
    });
    At = At->second.empty() ? m_idle.erase(At) : std::next(At);
  }
  if (!m_idle.empty())
    m_sweep = m_loop.after(internal::SweepInterval, [this] { sweep(); });
}

} // namespace turmericdyke
