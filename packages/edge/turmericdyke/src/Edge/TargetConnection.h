#pragma once

#include <memory>
#include <optional>
#include <string>

#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Http/HttpFields.h"
#include "turmericdyke/src/Requests/AttemptTypes.h"

namespace turmericdyke {

class TargetLoop;

/// One HTTP request to a target.
struct TargetCall {
  /// IP:port.
  std::string m_address;
  std::string m_method;
  std::string m_path;
  /// Without the fields that every call has, and those for framing.
  HttpFields m_fields;
  std::string m_body;
  absl::Duration m_connectTimeout = absl::Seconds(1);
};

/// An event on the connection of an attempt: the head of the answer with its
/// content type, bytes of the body, or the end.
struct ConnectionEvent {
  std::optional<ResponseHead> m_head;
  std::string m_contentType;
  std::string m_bytes;
  std::optional<ConnectionEnd> m_end;
};

/// A request to a target on its own connection. The answer is read on the
/// thread of `TargetLoop`, so that the caller's thread can check timeouts and
/// the caller's connection while the target sends nothing.
class TargetConnection {
public:
  TargetConnection(TargetLoop &Loop, const TargetCall &Call);
  /// Closes the connection.
  ~TargetConnection();
  TargetConnection(const TargetConnection &) = delete;
  TargetConnection &operator=(const TargetConnection &) = delete;

  /// Returns the next event, or nothing if none arrived within `Timeout`. There
  /// are no events after the end.
  std::optional<ConnectionEvent> next(absl::Duration Timeout);
  void close();

private:
  class Reader;

  TargetLoop &m_loop;
  std::shared_ptr<Reader> m_reader;
};

} // namespace turmericdyke
