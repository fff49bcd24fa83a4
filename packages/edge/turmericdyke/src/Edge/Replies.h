#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Requests/AttemptTypes.h"

namespace httplib {
struct Response;
} // namespace httplib

namespace turmericdyke {

/// An error reply to a caller.
struct ErrorReply {
  int m_status = 500;
  /// Stable machine-readable error type, for example `queue_full`.
  std::string_view m_type;
  std::string m_message;
  Outcome m_outcome = Outcome::NotRun;
  /// When the caller should retry; empty if waiting does not help.
  std::optional<absl::Duration> m_retryAfter;
};

/// The JSON body of an error: `{"error": {"type", "message", "outcome",
/// "request"}}`.
std::string errorBody(const ErrorReply &Reply, const RequestId &Request);

/// Writes status, headers and body.
void writeError(const ErrorReply &Reply, const RequestId &Request,
                httplib::Response &Response);

} // namespace turmericdyke
