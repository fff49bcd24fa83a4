#include "turmericdyke/src/Http/HttpServer.h"

#include <algorithm>
#include <cerrno>
#include <sys/epoll.h>
#include <utility>

#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Http/ServerConnection.h"
#include "turmericdyke/src/Http/ServerExchange.h"

namespace turmericdyke {

namespace internal {
namespace {

/// How often timeouts are checked; they are seconds long.
constexpr absl::Duration SweepInterval = absl::Milliseconds(500);
/// Budget of a server that was given none.
constexpr std::size_t Unbounded = std::size_t{1} << 60;
/// Received bytes that the kernel holds for one connection. A window of 64 KiB
/// carries 85 Mbit/s over a round trip of 6 ms. With many connections it is
/// narrowed to 16 KiB, which still carries 21 Mbit/s.
constexpr int MaxReceiveBytes = 64 << 10;
constexpr int MinReceiveBytes = 16 << 10;

} // namespace
} // namespace internal

std::string_view nameOf(HttpServerEvent Event) {
  constexpr std::string_view Names[] = {
      "accepted",       "too_many_connections", "malformed",
      "head_too_large", "body_too_large",       "head_timed_out",
      "body_timed_out", "memory_used_up",       "no_memory_to_accept",
      "unread",         "unresponsive",         "stopping"};
  return Names[static_cast<std::size_t>(Event)];
}

bool isForMemory(HttpServerEvent Event) {
  return Event == HttpServerEvent::MemoryUsedUp ||
         Event == HttpServerEvent::NoMemoryToAccept ||
         Event == HttpServerEvent::Unread;
}

HttpServer::HttpServer(EventLoop &Loop, Handler OnRequest, EventHandler OnEvent)
    : m_loop(Loop), m_onRequest(std::move(OnRequest)),
      m_onEvent(std::move(OnEvent)),
      m_budget(std::make_shared<ConnectionBudget>(internal::Unbounded)) {}

HttpServer::~HttpServer() {
  stopListening();
  m_loop.cancel(m_sweep);
  m_loop.cancel(m_enforcement);
  m_loop.cancel(m_acceptPause);
  while (!m_connections.empty()) {
    std::shared_ptr<ServerConnection> Any = m_connections.begin()->second;
    Any->close();
  }
}

Result<void, SocketError> HttpServer::listen(std::string_view Address) {
  Result<internal::Descriptor, SocketError> Socket =
      internal::listenOn(Address);
  if (!Socket)
    return failure(Socket.error());
  m_listener = std::move(Socket).value();
  // Accepted connections inherit it, with a window that fits.
  internal::limitReceived(m_listener, internal::MaxReceiveBytes);
  m_loop.watch(m_listener.get(), EPOLLIN, [this](std::uint32_t) { accept(); });
  return success();
}

std::string HttpServer::address() const {
  return internal::boundAddress(m_listener);
}

void HttpServer::stopListening() {
  if (!m_listener)
    return;
  m_loop.unwatch(m_listener.get());
  m_listener = internal::Descriptor();
}

void HttpServer::accept() {
  for (;;) {
    internal::Descriptor Socket = internal::acceptFrom(m_listener);
    if (!Socket) {
      if (errno == EMFILE || errno == ENFILE)
        pauseAccepting();
      return;
    }
    if (m_connections.size() >= m_limits.m_connections) {
      report(HttpServerEvent::TooManyConnections);
      continue;
    }
    if (!m_budget->mayAccept()) {
      report(HttpServerEvent::NoMemoryToAccept);
      scheduleSweep();
      continue;
    }
    report(HttpServerEvent::Accepted);
    if (int Bytes = receiveBytes(); Bytes < internal::MaxReceiveBytes)
      internal::limitReceived(Socket, Bytes);
    std::uint64_t Id = ++m_ids;
    auto Connection =
        std::make_shared<ServerConnection>(*this, Id, std::move(Socket));
    m_connections[Id] = Connection;
    Connection->open();
    scheduleSweep();
  }
}

void HttpServer::pauseAccepting() {
  // The listener stays readable, so the loop would turn without end.
  m_loop.change(m_listener.get(), 0);
  m_acceptPause = m_loop.after(internal::SweepInterval, [this] {
    m_acceptPause = EventLoop::Timer{};
    if (m_listener)
      m_loop.change(m_listener.get(), EPOLLIN);
  });
}

void HttpServer::scheduleSweep() {
  if (m_sweep || m_connections.empty())
    return;
  m_sweep = m_loop.after(internal::SweepInterval, [this] {
    m_sweep = EventLoop::Timer{};
    sweep();
    scheduleSweep();
  });
}

std::vector<std::shared_ptr<ServerConnection>> HttpServer::all() const {
  std::vector<std::shared_ptr<ServerConnection>> All;
  All.reserve(m_connections.size());
  for (const auto &[Id, Connection] : m_connections)
    All.push_back(Connection);
  return All;
}

void HttpServer::sweep() {
  Instant Now = monotonicNow();
  for (const std::shared_ptr<ServerConnection> &Connection : all())
    Connection->checkTimeouts(Now);
  enforceBudgetSoon();
  logBudget();
}

void HttpServer::report(HttpServerEvent Event) {
  if (Event == HttpServerEvent::Unread)
    ++m_cutUnread;
  else if (isForMemory(Event))
    ++m_refusedForMemory;
  m_onEvent(Event);
}

void HttpServer::refuseOverBudget() {
  // A refusal sends, and changes what its connection holds.
  if (std::exchange(m_refusing, true))
    return;
  while (BudgetHolder *Holder = m_budget->incompleteToEnd())
    Holder->giveUp();
  m_refusing = false;
}

void HttpServer::enforceBudgetSoon() {
  if (m_enforcement || !m_budget->isUsedUp())
    return;
  m_enforcement = m_loop.after(absl::ZeroDuration(), [this] {
    m_enforcement = EventLoop::Timer{};
    refuseOverBudget();
    Instant Now = monotonicNow();
    while (BudgetHolder *Holder = m_budget->unreadToEnd(Now))
      Holder->giveUp();
  });
}

void HttpServer::logBudget() {
  if (m_refusedForMemory == 0 && m_cutUnread == 0)
    return;
  LogLine(LogLevel::Warning, "connection_memory")
      .field("address", address())
      .field("refused", std::exchange(m_refusedForMemory, 0))
      .field("cut_unread", std::exchange(m_cutUnread, 0))
      .field("connections", m_connections.size())
      .field("held", m_budget->total())
      .field("limit", m_budget->limit());
}

int HttpServer::receiveBytes() const {
  std::size_t Part = m_budget->limit() / 4 / (m_connections.size() + 1);
  return static_cast<int>(std::clamp<std::size_t>(
      Part, internal::MinReceiveBytes, internal::MaxReceiveBytes));
}

void HttpServer::closeIdle() {
  for (const std::shared_ptr<ServerConnection> &Connection : all())
    Connection->closeIfIdle();
}

void HttpServer::refuseIncomplete() {
  for (const std::shared_ptr<ServerConnection> &Connection : all())
    Connection->refuseIncomplete();
}

std::size_t HttpServer::busyConnections() const {
  return static_cast<std::size_t>(
      std::count_if(m_connections.begin(), m_connections.end(),
                    [](const auto &Entry) { return !Entry.second->isIdle(); }));
}

void HttpServer::remove(std::uint64_t Id) { m_connections.erase(Id); }

} // namespace turmericdyke
