#include "turmericdyke/src/Http/HttpClientConnection.h"

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <utility>

#include "turmericdyke/src/Base/Text.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr std::size_t ReadBytes = 16 << 10;
/// Bytes of interim responses and of responses to other calls that are skipped
/// before a call counts as failed. A server in trouble may send such bytes
/// without end.
constexpr std::size_t MaxSkippedBytes = 128 << 10;
/// A connection whose server does not send a keep-alive time is not kept for
/// long: a request that is sent while the server closes the connection may have
/// been executed.
constexpr absl::Duration DefaultKeepAlive = absl::Milliseconds(1500);
/// Fraction of the keep-alive time sent by the server during which a kept
/// connection is reused.
constexpr double KeepAliveFraction = 0.6;

} // namespace
} // namespace internal

HttpClientConnection::HttpClientConnection(EventLoop &Loop, std::string Address,
                                           ClientConnectionOptions Options)
    : m_loop(Loop), m_address(std::move(Address)), m_options(Options),
      m_reader(HttpReader::Side::Responses, *this),
      m_keepAliveTime(internal::DefaultKeepAlive) {}

HttpClientConnection::~HttpClientConnection() {
  *m_alive = false;
  dropSocket();
}

void HttpClientConnection::dropSocket() {
  m_loop.cancel(m_connectTimer);
  if (m_socket)
    m_loop.unwatch(m_socket.get());
  m_socket = internal::Descriptor();
  m_state = State::Closed;
}

void HttpClientConnection::cancel() {
  m_events = nullptr;
  dropSocket();
}

bool HttpClientConnection::reusable(Instant Now) const {
  return m_state == State::Idle && Now - m_idleSince < m_keepAliveTime;
}

void HttpClientConnection::call(std::string Bytes, bool IsHead,
                                ClientCallEvents &Events) {
  assert(m_events == nullptr && "the connection carries a call already");
  m_events = &Events;
  m_output = std::move(Bytes);
  m_sent = 0;
  m_lastSent = monotonicNow();
  m_sendFailed = false;
  m_endsInError = false;
  m_isHead = IsHead;
  m_skipping = false;
  m_accepted = false;
  m_skippedBytes = 0;
  m_messageEnded = false;
  ++m_calls;
  if (m_state == State::Unconnected)
    return startConnecting();
  assert(m_state == State::Idle && "the connection has ended");
  m_state = State::Calling;
  flush();
}

void HttpClientConnection::startConnecting() {
  m_state = State::Connecting;
  Result<internal::Descriptor, SocketError> Socket =
      internal::connectTo(m_address);
  if (!Socket) {
    // Reported asynchronously: `onCallEnd` must not be called from within
    // `call`.
    m_connectTimer = m_loop.after(absl::ZeroDuration(), [this] {
      endCall(ClientCallStatus::ConnectFailed);
    });
    return;
  }
  m_socket = std::move(Socket).value();
  internal::limitSilence(m_socket, m_options.m_unresponsiveTimeout);
  m_loop.watch(m_socket.get(), EPOLLOUT,
               [this](std::uint32_t Events) { onReady(Events); });
  m_connectTimer = m_loop.after(m_options.m_connectTimeout, [this] {
    endCall(ClientCallStatus::ConnectFailed);
  });
}

void HttpClientConnection::onReady(std::uint32_t Events) {
  std::shared_ptr<bool> Alive = m_alive;
  if (m_state == State::Connecting)
    return onConnected();
  if ((Events & EPOLLOUT) != 0)
    flush();
  if (!*Alive || m_state == State::Closed)
    return;
  if ((Events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
    readSocket();
}

void HttpClientConnection::onConnected() {
  m_socketError = internal::pendingError(m_socket);
  if (m_socketError != 0)
    return endCall(m_socketError == ECONNREFUSED
                       ? ClientCallStatus::ConnectRefused
                       : ClientCallStatus::ConnectFailed);
  m_loop.cancel(m_connectTimer);
  m_established = true;
  m_state = State::Calling;
  m_loop.change(m_socket.get(), EPOLLIN);
  flush();
}

void HttpClientConnection::flush() {
  while (m_sent < m_output.size()) {
    ssize_t Count = ::send(m_socket.get(), m_output.data() + m_sent,
                           m_output.size() - m_sent, MSG_NOSIGNAL);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0 && errno == EAGAIN)
      break;
    if (Count < 0) {
      m_socketError = errno;
      m_sendFailed = true;
      // EPIPE: the peer had ended its side in order before. Any other error is
      // reported here only, and recv(2) returns 0 after it.
      m_endsInError = m_socketError != EPIPE;
      // The response may have arrived before the connection broke.
      m_output.resize(m_sent);
      m_reusable = false;
      break;
    }
    m_sent += static_cast<std::size_t>(Count);
    m_lastSent = monotonicNow();
  }
  updateEvents();
}

void HttpClientConnection::updateEvents() {
  if (!m_socket)
    return;
  std::uint32_t Events = 0;
  if (m_reading)
    Events |= EPOLLIN;
  if (m_sent < m_output.size())
    Events |= EPOLLOUT;
  m_loop.change(m_socket.get(), Events);
}

void HttpClientConnection::setReading(bool On) {
  if (On == m_reading)
    return;
  m_reading = On;
  updateEvents();
}

void HttpClientConnection::readSocket() {
  char Buffer[internal::ReadBytes];
  ssize_t Count = recv(m_socket.get(), Buffer, sizeof Buffer, 0);
  if (Count < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (Count > 0)
    return consume({Buffer, static_cast<std::size_t>(Count)});
  if (Count < 0)
    m_socketError = errno;
  if (m_state == State::Idle) {
    dropSocket();
    if (m_onIdleEnd)
      m_onIdleEnd();
    return;
  }
  std::shared_ptr<bool> Alive = m_alive;
  // A body without a length ends with an orderly close, but not with a reset.
  bool InOrder = Count == 0 && !m_endsInError;
  bool BodyEnded = InOrder && m_reader.insideMessage() && m_reader.endOfInput();
  if (!*Alive || m_events == nullptr)
    return;
  endCall(BodyEnded && m_messageEnded ? ClientCallStatus::Complete
                                      : ClientCallStatus::Broken);
}

void HttpClientConnection::consume(std::string_view Bytes) {
  if (m_state == State::Idle) {
    // Unsolicited bytes belong to no request.
    dropSocket();
    if (m_onIdleEnd)
      m_onIdleEnd();
    return;
  }
  std::shared_ptr<bool> Alive = m_alive;
  while (!Bytes.empty()) {
    std::size_t Consumed = 0;
    HttpReadStatus Status = m_reader.feed(Bytes, Consumed);
    if (!*Alive || m_events == nullptr)
      return;
    Bytes.remove_prefix(std::min(Consumed, Bytes.size()));
    if (!m_accepted)
      m_skippedBytes += Consumed;
    if (m_skippedBytes > internal::MaxSkippedBytes)
      return endCall(ClientCallStatus::Malformed);
    if (Status == HttpReadStatus::NeedsMore)
      return;
    if (Status != HttpReadStatus::MessageEnded)
      return endCall(ClientCallStatus::Malformed);
    if (!m_messageEnded)
      continue;
    if (!Bytes.empty())
      m_reusable = false;
    return endCall(ClientCallStatus::Complete);
  }
}

bool HttpClientConnection::onHead() {
  const HttpResponseHead &Head = m_reader.response();
  constexpr int FirstFinalStatus = 200;
  m_skipping =
      Head.m_status < FirstFinalStatus || !m_events->onResponseHead(Head);
  if (m_events == nullptr)
    return true;
  if (!m_skipping) {
    m_accepted = true;
    m_reusable = m_reusable && Head.m_keepAlive;
    m_keepAliveTime = keepAliveTime();
  }
  return !m_isHead;
}

absl::Duration HttpClientConnection::keepAliveTime() const {
  std::optional<std::string_view> Stated =
      m_reader.response().m_fields.find("Keep-Alive");
  if (!Stated)
    return internal::DefaultKeepAlive;
  constexpr std::string_view Name = "timeout=";
  for (std::string_view Part : splitList(*Stated, ',')) {
    if (!equalsIgnoreCase(Part.substr(0, Name.size()), Name))
      continue;
    std::optional<std::int64_t> Seconds =
        parseInteger(Part.substr(Name.size()));
    if (Seconds)
      return absl::Seconds(*Seconds) * internal::KeepAliveFraction;
  }
  return internal::DefaultKeepAlive;
}

void HttpClientConnection::onBody(std::string_view Bytes) {
  if (!m_skipping && m_events != nullptr)
    m_events->onResponseBody(Bytes);
}

void HttpClientConnection::onMessageEnd() {
  if (!m_skipping)
    m_messageEnded = true;
}

RequestDelivery HttpClientConnection::currentDelivery() const {
  RequestDelivery Delivery;
  if (m_state != State::Calling)
    return Delivery;
  Delivery.m_sentWhole = !m_sendFailed && m_sent == m_output.size();
  Delivery.m_unacknowledged = internal::unacknowledgedBytes(m_socket);
  Delivery.m_sinceSent = monotonicNow() - m_lastSent;
  return Delivery;
}

void HttpClientConnection::endCall(ClientCallStatus End) {
  // A server may respond before it has received the whole request. The
  // connection is then not reused, as the rest of the request was not sent.
  bool Reusable = End == ClientCallStatus::Complete && m_reusable &&
                  m_sent == m_output.size() && m_state == State::Calling;
  if (Reusable) {
    m_state = State::Idle;
    m_idleSince = monotonicNow();
  } else {
    m_delivery = currentDelivery();
    dropSocket();
  }
  ClientCallEvents *Events = std::exchange(m_events, nullptr);
  if (Events != nullptr)
    Events->onCallEnd(End);
}

} // namespace turmericdyke
