#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <httplib.h>

#include "absl/synchronization/mutex.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Requests/AttemptTypes.h"

namespace turmericdyke {

/// One HTTP request to a target.
struct TargetCall {
  /// IP:port.
  std::string m_address;
  std::string m_method;
  std::string m_path;
  httplib::Headers m_headers;
  std::string m_body;
  absl::Duration m_connectTimeout = absl::Seconds(1);
  /// Read timeout of the socket; the limits of an attempt are shorter.
  absl::Duration m_readTimeout = absl::Seconds(60);
};

/// An event on the connection of an attempt: the head of the answer with its
/// content type, bytes of the body, or the end.
struct ConnectionEvent {
  std::optional<ResponseHead> m_head;
  std::string m_contentType;
  std::string m_bytes;
  std::optional<ConnectionEnd> m_end;
};

/// A request to a target on its own connection. A separate thread reads the
/// answer, so that the caller's thread can check timeouts and the caller's
/// connection while the target sends nothing.
class TargetConnection {
public:
  explicit TargetConnection(TargetCall Call);
  /// Closes the connection and waits for the thread.
  ~TargetConnection();
  TargetConnection(const TargetConnection &) = delete;
  TargetConnection &operator=(const TargetConnection &) = delete;

  /// Returns the next event, or nothing if none arrived within `Timeout`. There
  /// are no events after the end.
  std::optional<ConnectionEvent> next(absl::Duration Timeout);
  void close();

private:
  void run();
  bool push(ConnectionEvent Event);
  bool hasEvent() const ABSL_SHARED_LOCKS_REQUIRED(m_lock) {
    return !m_events.empty();
  }
  bool hasCapacity() const ABSL_SHARED_LOCKS_REQUIRED(m_lock);

  TargetCall m_call;
  httplib::Client m_client;
  absl::Mutex m_lock;
  std::deque<ConnectionEvent> m_events ABSL_GUARDED_BY(m_lock);
  std::size_t m_queuedBytes ABSL_GUARDED_BY(m_lock) = 0;
  bool m_closed ABSL_GUARDED_BY(m_lock) = false;
  bool m_finished ABSL_GUARDED_BY(m_lock) = false;
  std::thread m_thread;
};

} // namespace turmericdyke
