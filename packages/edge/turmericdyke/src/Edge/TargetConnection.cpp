#include "turmericdyke/src/Edge/TargetConnection.h"

#include <chrono>

namespace turmericdyke {

namespace internal {
namespace {

// Backpressure: reading from the target pauses when a slow caller has this many
// bytes queued, so that memory use is bounded.
constexpr std::size_t MaxQueuedBytes = 256 << 10;
constexpr absl::Duration StopRetryInterval = absl::Milliseconds(20);

ResponseHead headOf(const httplib::Response &Response) {
  ResponseHead Head;
  Head.m_status = Response.status;
  Head.m_attempt =
      AttemptId(Response.get_header_value("X-Turmericdyke-Attempt"));
  Head.m_statesNotRun =
      Response.get_header_value("X-Turmericdyke-Outcome") == "not_run";
  return Head;
}

/// Whether the body has a length or is chunked. Without either, the end of the
/// body cannot be distinguished from a broken connection.
bool isFramed(const httplib::Response &Response) {
  return Response.has_header("Content-Length") ||
         Response.get_header_value("Transfer-Encoding") == "chunked";
}

bool neverConnected(httplib::Error Error) {
  return Error == httplib::Error::Connection ||
         Error == httplib::Error::ConnectionTimeout ||
         Error == httplib::Error::BindIPAddress;
}

} // namespace
} // namespace internal

TargetConnection::TargetConnection(TargetCall Call)
    : m_call(std::move(Call)), m_client("http://" + m_call.m_address) {
  m_client.set_connection_timeout(
      absl::ToChronoMilliseconds(m_call.m_connectTimeout));
  m_client.set_read_timeout(absl::ToChronoMilliseconds(m_call.m_readTimeout));
  m_client.set_tcp_nodelay(true);
  m_client.set_keep_alive(false);
  m_thread = std::thread([this] { run(); });
}

TargetConnection::~TargetConnection() {
  close();
  // `stop` has no effect while the client is still connecting, so it is
  // repeated until the thread ends.
  absl::MutexLock Lock(&m_lock);
  while (!m_lock.AwaitWithTimeout(absl::Condition(&m_finished),
                                  internal::StopRetryInterval)) {
    m_lock.Unlock();
    m_client.stop();
    m_lock.Lock();
  }
  m_thread.join();
}

void TargetConnection::close() {
  {
    absl::MutexLock Lock(&m_lock);
    m_closed = true;
  }
  m_client.stop();
}

bool TargetConnection::hasCapacity() const {
  return m_closed || m_queuedBytes < internal::MaxQueuedBytes;
}

bool TargetConnection::push(ConnectionEvent Event) {
  absl::MutexLock Lock(&m_lock);
  m_lock.Await(absl::Condition(this, &TargetConnection::hasCapacity));
  if (m_closed)
    return false;
  m_queuedBytes += Event.m_bytes.size();
  m_events.push_back(std::move(Event));
  return true;
}

std::optional<ConnectionEvent> TargetConnection::next(absl::Duration Timeout) {
  absl::MutexLock Lock(&m_lock);
  if (!m_lock.AwaitWithTimeout(
          absl::Condition(this, &TargetConnection::hasEvent), Timeout))
    return std::nullopt;
  ConnectionEvent Event = std::move(m_events.front());
  m_events.pop_front();
  m_queuedBytes -= Event.m_bytes.size();
  return Event;
}

void TargetConnection::run() {
  httplib::Request Request;
  Request.method = m_call.m_method;
  Request.path = m_call.m_path;
  Request.headers = m_call.m_headers;
  Request.body = m_call.m_body;
  Request.set_header("Accept-Encoding", "identity");
  bool Framed = false;
  Request.response_handler = [&](const httplib::Response &Response) {
    Framed = internal::isFramed(Response);
    ConnectionEvent Event;
    Event.m_head = internal::headOf(Response);
    Event.m_contentType = Response.get_header_value("Content-Type");
    return push(std::move(Event));
  };
  Request.content_receiver = [&](const char *Bytes, std::size_t Count,
                                 std::uint64_t, std::uint64_t) {
    ConnectionEvent Event;
    Event.m_bytes.assign(Bytes, Count);
    return push(std::move(Event));
  };
  httplib::Result Result = m_client.send(Request);
  ConnectionEvent End;
  if (Result)
    End.m_end = Framed ? ConnectionEnd::MessageComplete : ConnectionEnd::Broken;
  else
    End.m_end = internal::neverConnected(Result.error())
                    ? ConnectionEnd::ConnectFailed
                    : ConnectionEnd::Broken;
  push(std::move(End));
  absl::MutexLock Lock(&m_lock);
  m_finished = true;
}

} // namespace turmericdyke
