#include "turmericdyke/src/Edge/TargetConnection.h"

#include <deque>
#include <utility>

#include "absl/synchronization/mutex.h"
#include "turmericdyke/src/Edge/TargetLoop.h"
#include "turmericdyke/src/Http/HttpClientConnection.h"

namespace turmericdyke {

namespace internal {
namespace {

// Backpressure: reading from the target pauses when a slow caller has this many
// bytes queued, so that memory use is bounded.
constexpr std::size_t MaxQueuedBytes = 256 << 10;
/// The limits of an attempt are shorter.
constexpr absl::Duration UnresponsiveTimeout = absl::Seconds(60);

ResponseHead headOf(const HttpResponseHead &Response) {
  ResponseHead Head;
  Head.m_status = Response.m_status;
  Head.m_attempt =
      AttemptId(Response.m_fields.find("X-Turmericdyke-Attempt").value_or(""));
  Head.m_statesNotRun =
      Response.m_fields.find("X-Turmericdyke-Outcome") == "not_run";
  return Head;
}

std::string bytesOf(const TargetCall &Call) {
  HttpFields Fields = Call.m_fields;
  Fields.set("Host", Call.m_address);
  Fields.set("Accept-Encoding", "identity");
  Fields.set("Connection", "close");
  return requestBytes(Call.m_method, Call.m_path, Fields, Call.m_body);
}

} // namespace
} // namespace internal

/// Reads the answer on the loop's thread and queues its events for the caller's
/// thread.
class TargetConnection::Reader : public ClientCallEvents {
public:
  // Called on the loop's thread.
  void begin(EventLoop &Loop, const TargetCall &Call);
  void end();
  /// Goes on reading if the queue has room again.
  void resume();
  bool onResponseHead(const HttpResponseHead &Head) override;
  void onResponseBody(std::string_view Bytes) override;
  void onCallEnd(ClientCallStatus End) override;

  /// Called on the caller's thread. Sets `MadeRoom` if the queue was full and
  /// no longer is.
  std::optional<ConnectionEvent> next(absl::Duration Timeout, bool &MadeRoom);

private:
  ConnectionEnd endOf(ClientCallStatus End) const;
  void push(ConnectionEvent Event);
  bool hasEvent() const ABSL_SHARED_LOCKS_REQUIRED(m_lock) {
    return !m_events.empty();
  }
  bool isFull() const ABSL_SHARED_LOCKS_REQUIRED(m_lock) {
    return m_queuedBytes >= internal::MaxQueuedBytes;
  }

  std::unique_ptr<HttpClientConnection> m_connection;
  bool m_endsWithConnection = false;
  absl::Mutex m_lock;
  std::deque<ConnectionEvent> m_events ABSL_GUARDED_BY(m_lock);
  std::size_t m_queuedBytes ABSL_GUARDED_BY(m_lock) = 0;
};

void TargetConnection::Reader::begin(EventLoop &Loop, const TargetCall &Call) {
  ClientConnectionOptions Options;
  Options.m_connectTimeout = Call.m_connectTimeout;
  Options.m_unresponsiveTimeout = internal::UnresponsiveTimeout;
  m_connection =
      std::make_unique<HttpClientConnection>(Loop, Call.m_address, Options);
  m_connection->call(internal::bytesOf(Call), Call.m_method == "HEAD", *this);
}

void TargetConnection::Reader::end() { m_connection.reset(); }

void TargetConnection::Reader::resume() {
  absl::MutexLock Lock(&m_lock);
  if (m_connection && !isFull())
    m_connection->setReading(true);
}

bool TargetConnection::Reader::onResponseHead(const HttpResponseHead &Head) {
  m_endsWithConnection = Head.m_endsWithConnection;
  ConnectionEvent Event;
  Event.m_head = internal::headOf(Head);
  Event.m_contentType = Head.m_fields.find("Content-Type").value_or("");
  push(std::move(Event));
  return true;
}

void TargetConnection::Reader::onResponseBody(std::string_view Bytes) {
  ConnectionEvent Event;
  Event.m_bytes = Bytes;
  push(std::move(Event));
}

ConnectionEnd TargetConnection::Reader::endOf(ClientCallStatus End) const {
  switch (End) {
  case ClientCallStatus::Complete:
    // A target that crashes may end its connection in order.
    return m_endsWithConnection ? ConnectionEnd::Broken
                                : ConnectionEnd::MessageComplete;
  case ClientCallStatus::ConnectFailed:
  case ClientCallStatus::ConnectRefused:
    return ConnectionEnd::ConnectFailed;
  case ClientCallStatus::Malformed:
    return ConnectionEnd::Malformed;
  case ClientCallStatus::Broken:
    break;
  }
  return ConnectionEnd::Broken;
}

void TargetConnection::Reader::onCallEnd(ClientCallStatus End) {
  ConnectionEvent Event;
  Event.m_end = endOf(End);
  push(std::move(Event));
}

void TargetConnection::Reader::push(ConnectionEvent Event) {
  absl::MutexLock Lock(&m_lock);
  m_queuedBytes += Event.m_bytes.size();
  m_events.push_back(std::move(Event));
  if (isFull())
    m_connection->setReading(false);
}

std::optional<ConnectionEvent>
TargetConnection::Reader::next(absl::Duration Timeout, bool &MadeRoom) {
  absl::MutexLock Lock(&m_lock);
  if (!m_lock.AwaitWithTimeout(absl::Condition(this, &Reader::hasEvent),
                               Timeout))
    return std::nullopt;
  bool WasFull = isFull();
  ConnectionEvent Event = std::move(m_events.front());
  m_events.pop_front();
  m_queuedBytes -= Event.m_bytes.size();
  MadeRoom = WasFull && !isFull();
  return Event;
}

TargetConnection::TargetConnection(TargetLoop &Loop, const TargetCall &Call)
    : m_loop(Loop), m_reader(std::make_shared<Reader>()) {
  m_loop.loop().post(
      [Reader = m_reader, &Loop, Call] { Reader->begin(Loop.loop(), Call); });
}

TargetConnection::~TargetConnection() { close(); }

void TargetConnection::close() {
  m_loop.loop().post([Reader = m_reader] { Reader->end(); });
}

std::optional<ConnectionEvent> TargetConnection::next(absl::Duration Timeout) {
  bool MadeRoom = false;
  std::optional<ConnectionEvent> Event = m_reader->next(Timeout, MadeRoom);
  if (MadeRoom)
    m_loop.loop().post([Reader = m_reader] { Reader->resume(); });
  return Event;
}

} // namespace turmericdyke
