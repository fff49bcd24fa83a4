#include "turmericdyke/src/Http/ServerConnection.h"

#include <algorithm>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

#include "turmericdyke/src/Http/ServerExchange.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr std::size_t ReadBytes = 16 << 10;
/// Maximum number of bytes of pipelined requests that are buffered while one is
/// processed.
constexpr std::size_t MaxInputBytes = 16 << 10;
/// An emptied buffer is kept for the next bytes up to this size. Several
/// thousand connections are idle between two requests.
constexpr std::size_t MaxKeptBuffer = 1 << 10;
/// What a running request takes besides its bytes: its exchange, its attempt,
/// and the connection to its target.
constexpr std::size_t RunningBytes = 8 << 10;
/// Further bytes stay in the output buffer, whose size the writer of a response
/// sees.
constexpr int MaxUnsentInKernel = 64 << 10;
/// Sent bytes are dropped from the output buffer in pieces of at least this
/// size.
constexpr std::size_t MinSentToDrop = 16 << 10;
/// How long a caller may go on sending after the last response.
constexpr absl::Duration LingerTime = absl::Seconds(1);
/// For refusals for want of memory. A second later the incomplete requests that
/// took it have been refused, or closed after their time limits.
constexpr std::string_view RetryAfterSeconds = "1";

/// An assigned empty string would leave the memory of the old one allocated.
void release(std::string &Buffer) { std::string().swap(Buffer); }

void releaseIfEmpty(std::string &Buffer) {
  if (Buffer.empty() && Buffer.capacity() > MaxKeptBuffer)
    release(Buffer);
}

} // namespace
} // namespace internal

ServerConnection::ServerConnection(HttpServer &Server, std::uint64_t Id,
                                   internal::Descriptor Socket)
    : m_server(Server), m_id(Id), m_socket(std::move(Socket)),
      m_reader(HttpReader::Side::Requests, *this), m_lastRead(monotonicNow()),
      m_share(Server.m_budget, this) {
  m_share.resize(heldBytes(), use());
  internal::limitSilence(m_socket, Server.m_limits.m_unresponsiveTimeout);
  internal::limitUnsent(m_socket, internal::MaxUnsentInKernel);
}

ServerConnection::~ServerConnection() { close(); }

void ServerConnection::open() {
  m_server.m_loop.watch(
      m_socket.get(), m_watchedEvents, [this](std::uint32_t Events) {
        std::shared_ptr<ServerConnection> Held = shared_from_this();
        onReady(Events);
      });
}

void ServerConnection::close() {
  if (m_closed)
    return;
  m_closed = true;
  m_server.m_loop.unwatch(m_socket.get());
  m_socket = internal::Descriptor();
  m_share.resize(0, ConnectionUse::Kept);
  if (std::shared_ptr<ServerExchange> Exchange =
          std::exchange(m_exchange, {})) {
    --m_server.m_exchanges;
    Exchange->markDisconnected();
  }
  m_server.remove(m_id);
}

void ServerConnection::reset() {
  // With a linger time of 0, close(2) sends a reset instead of an orderly
  // shutdown.
  linger Now{1, 0};
  setsockopt(m_socket.get(), SOL_SOCKET, SO_LINGER, &Now, sizeof Now);
  close();
}

bool ServerConnection::keepsAlive() const {
  return m_keepAlive && !m_server.m_closing;
}

bool ServerConnection::isIdle() const {
  return !m_exchange && !m_closeWhenSent && m_input.empty() &&
         !m_reader.insideMessage() && unsentBytes() == 0;
}

void ServerConnection::onReady(std::uint32_t Events) {
  if ((Events & EPOLLOUT) != 0 && !flush())
    return;
  if ((Events & (EPOLLIN | EPOLLHUP | EPOLLERR)) == 0)
    return;
  // Further requests of a busy connection stay in the kernel for now.
  bool Ended = (Events & (EPOLLHUP | EPOLLERR)) != 0;
  if (!Ended && m_exchange && m_server.m_budget->isUsedUp())
    return updateEvents();
  readSocket();
  if (m_closed)
    return;
  m_share.resize(heldBytes(), use());
  m_server.refuseOverBudget();
  m_server.enforceBudgetSoon();
}

void ServerConnection::readSocket() {
  char Buffer[internal::ReadBytes];
  ssize_t Count = recv(m_socket.get(), Buffer, sizeof Buffer, 0);
  if (Count < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (Count < 0 && errno == ETIMEDOUT)
    m_server.report(HttpServerEvent::Unresponsive);
  if (Count <= 0)
    return close();
  if (m_lingersUntil != absl::InfiniteFuture())
    return;
  m_lastRead = monotonicNow();
  m_input.append(Buffer, static_cast<std::size_t>(Count));
  if (!m_exchange)
    return readInput();
  if (m_input.size() > internal::MaxInputBytes)
    updateEvents();
}

void ServerConnection::readInput() {
  while (!m_closed && !m_exchange && !m_closeWhenSent && !m_input.empty()) {
    if (!m_reader.insideMessage())
      m_requestStart = m_lastRead;
    m_reader.setMaxHeadBytes(m_server.m_limits.m_headBytes);
    std::size_t Consumed = 0;
    HttpReadStatus Status = m_reader.feed(m_input, Consumed);
    if (m_closed)
      return;
    m_input.erase(0, Consumed);
    internal::releaseIfEmpty(m_input);
    if (m_noRoomToRun)
      return refuse(HttpServerEvent::MemoryUsedUp, 503);
    if (m_bodyTooLarge)
      return refuse(HttpServerEvent::BodyTooLarge, 413);
    if (Status == HttpReadStatus::Malformed)
      return refuse(HttpServerEvent::Malformed, 400);
    if (Status == HttpReadStatus::HeadTooLarge)
      return refuse(HttpServerEvent::HeadTooLarge, 431);
  }
}

bool ServerConnection::onHead() {
  // The rest is dropped: the request is refused before its body is read.
  if (m_reader.announcedBytes().value_or(0) > m_server.m_limits.m_bodyBytes) {
    m_bodyTooLarge = true;
    return false;
  }
  if (m_reader.request().m_fields.lists("Expect", "100-continue"))
    send("HTTP/1.1 100 Continue\r\n\r\n");
  return true;
}

void ServerConnection::onBody(std::string_view Bytes) {
  if (m_body.size() + Bytes.size() > m_server.m_limits.m_bodyBytes)
    m_bodyTooLarge = true;
  if (m_bodyTooLarge)
    return;
  growBody(Bytes.size());
  m_body.append(Bytes);
}

void ServerConnection::growBody(std::size_t More) {
  std::size_t Needed = m_body.size() + More;
  if (Needed <= m_body.capacity())
    return;
  // Doubled as a string does itself, but not beyond the largest body.
  m_body.reserve(std::max(
      Needed, std::min(2 * m_body.capacity(), m_server.m_limits.m_bodyBytes)));
}

std::size_t ServerConnection::heldBytes() const {
  std::size_t Held = ConnectionBudget::ConnectionBytes + m_input.capacity() +
                     m_body.capacity() + m_output.capacity();
  return m_reader.insideMessage() ? Held + m_reader.heldBytes() : Held;
}

ConnectionUse ServerConnection::use() const {
  if (!m_exchange && !m_closeWhenSent && m_reader.insideMessage())
    return ConnectionUse::Incomplete;
  return unsentBytes() > 0 ? ConnectionUse::Unread : ConnectionUse::Kept;
}

void ServerConnection::updateShare() {
  m_share.resize(heldBytes(), use());
  m_server.enforceBudgetSoon();
}

void ServerConnection::giveUp() {
  std::shared_ptr<ServerConnection> Held = shared_from_this();
  if (use() == ConnectionUse::Incomplete)
    return refuse(HttpServerEvent::MemoryUsedUp, 503);
  m_server.report(HttpServerEvent::Unread);
  reset();
}

bool ServerConnection::makeRoomToRun(std::size_t Held, std::size_t More) {
  // It no longer counts among the incomplete ones, which go first.
  m_share.resize(heldBytes(), ConnectionUse::Kept);
  ConnectionBudget &Budget = *m_server.m_budget;
  while (!Budget.mayRun(Held, More)) {
    BudgetHolder *Other = Budget.largestIncomplete();
    if (Other == nullptr)
      return false;
    Other->giveUp();
  }
  return true;
}

void ServerConnection::onMessageEnd() {
  if (m_bodyTooLarge)
    return;
  // The body is copied once for the target, or for the replicated log.
  std::size_t Held = m_body.capacity() + m_reader.heldBytes();
  std::size_t More = m_body.size() + internal::RunningBytes;
  if (!makeRoomToRun(Held, More)) {
    m_noRoomToRun = true;
    return;
  }
  HttpRequest Request = std::move(m_reader.request());
  Request.m_body = std::exchange(m_body, {});
  Request.m_received = m_lastRead;
  m_keepAlive = Request.m_keepAlive;
  m_requestStart = absl::InfiniteFuture();
  m_exchange = std::make_shared<ServerExchange>(
      weak_from_this(), std::move(Request), m_server.m_budget, Held + More);
  ++m_server.m_exchanges;
  m_server.m_onRequest(m_exchange);
}

void ServerConnection::send(std::string_view Bytes) {
  if (m_closed)
    return;
  if (unsentBytes() == 0)
    m_share.progressed(monotonicNow());
  m_output.append(Bytes);
  flush();
}

bool ServerConnection::flush() {
  while (unsentBytes() > 0) {
    ssize_t Count = ::send(m_socket.get(), m_output.data() + m_sent,
                           unsentBytes(), MSG_NOSIGNAL);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0 && errno == EAGAIN)
      break;
    if (Count < 0) {
      close();
      return false;
    }
    m_sent += static_cast<std::size_t>(Count);
    m_share.progressed(monotonicNow());
  }
  // A receiver that is always behind never lets the buffer run empty.
  if (m_sent >= internal::MinSentToDrop && m_sent >= m_output.size() / 2) {
    m_output.erase(0, m_sent);
    m_sent = 0;
  }
  if (unsentBytes() == 0) {
    m_output.clear();
    m_sent = 0;
    internal::releaseIfEmpty(m_output);
    if (m_closeWhenSent) {
      closeAfterOutput();
      return false;
    }
  }
  updateEvents();
  updateShare();
  return true;
}

void ServerConnection::closeAfterOutput() {
  int Unread = 0;
  ioctl(m_socket.get(), FIONREAD, &Unread);
  if (!m_refused && m_input.empty() && Unread == 0)
    return close();
  // A close resets a connection whose peer goes on sending, and the peer may
  // lose the response. Its bytes are read and dropped until it closes.
  shutdown(m_socket.get(), SHUT_WR);
  m_lingersUntil = monotonicNow() + internal::LingerTime;
  internal::release(m_input);
  updateEvents();
  m_share.resize(heldBytes(), use());
}

void ServerConnection::updateEvents() {
  if (m_closed)
    return;
  std::uint32_t Events = 0;
  bool Waits = m_exchange && m_server.m_budget->isUsedUp();
  if (m_input.size() <= internal::MaxInputBytes && !Waits)
    Events |= EPOLLIN;
  if (unsentBytes() > 0)
    Events |= EPOLLOUT;
  if (Events != m_watchedEvents)
    m_server.m_loop.change(m_socket.get(), Events);
  m_watchedEvents = Events;
}

void ServerConnection::exchangeDone(bool KeepAlive) {
  if (m_closed || !m_exchange)
    return;
  m_exchange.reset();
  --m_server.m_exchanges;
  m_lastRead = monotonicNow();
  if (!KeepAlive) {
    m_closeWhenSent = true;
    flush();
    return;
  }
  updateShare();
  updateEvents();
  if (m_input.empty())
    return;
  // The next request is read from the event loop: pipelined requests must not
  // recurse from one response into the next.
  m_server.m_loop.post([Weak = weak_from_this()] {
    if (std::shared_ptr<ServerConnection> Self = Weak.lock()) {
      Self->readInput();
      Self->updateEvents();
      Self->updateShare();
    }
  });
}

void ServerConnection::refuse(HttpServerEvent Reason, int Status) {
  m_server.report(Reason);
  m_refused = true;
  m_closeWhenSent = true;
  internal::release(m_body);
  internal::release(m_input);
  m_share.resize(heldBytes(), use());
  HttpFields Fields;
  if (Reason == HttpServerEvent::MemoryUsedUp)
    Fields.add("Retry-After", internal::RetryAfterSeconds);
  send(responseHead(Status, Fields, BodyFraming::Length, 0, false));
}

void ServerConnection::closeIfIdle() {
  if (!isIdle())
    return;
  // A request that has arrived meanwhile is answered.
  readSocket();
  if (m_closed)
    return;
  updateShare();
  if (isIdle())
    close();
}

void ServerConnection::refuseIncomplete() {
  if (!m_exchange && !m_closed && !m_closeWhenSent && m_reader.insideMessage())
    refuse(HttpServerEvent::Stopping, 503);
}

void ServerConnection::checkTimeouts(Instant Now) {
  const HttpServerLimits &Limits = m_server.m_limits;
  if (Now >= m_lingersUntil)
    return close();
  if (unsentBytes() > 0 &&
      Now - m_share.lastProgress() >= Limits.m_unreadTime) {
    m_server.report(HttpServerEvent::Unread);
    return reset();
  }
  if (m_exchange && !m_closed && (m_watchedEvents & EPOLLIN) == 0)
    updateEvents();
  if (m_exchange || m_closed)
    return;
  if (m_closeWhenSent)
    return;
  if (!m_reader.insideMessage()) {
    if (Now - m_lastRead >= Limits.m_idleTime)
      closeIfIdle();
    return;
  }
  if (!m_reader.insideBody() && Now - m_requestStart >= Limits.m_headTime)
    return refuse(HttpServerEvent::HeadTimedOut, 408);
  if (m_reader.insideBody() && (Now - m_lastRead >= Limits.m_bodyIdleTimeout ||
                                Now - m_requestStart >= Limits.m_bodyTime))
    return refuse(HttpServerEvent::BodyTimedOut, 408);
}

} // namespace turmericdyke
