#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// Whether a request was executed, as far as the caller can know.
enum class Outcome { NotRun, MayHaveRun, Ran };

/// Returns `not_run`, `may_have_run` or `ran`, as sent in the header
/// `X-Turmericdyke-Outcome`.
std::string_view nameOf(Outcome Value);

/// Format of the answer that an attempt expects.
enum class ResponseFormat {
  /// Server-sent events that end in `[DONE]` after a finish reason.
  EventStream,
  /// One JSON object with a finish reason in each choice.
  Completion,
  /// Any body of a plain service, whose content is not checked. It is complete
  /// once the declared number of bytes or the final chunk of a chunked body was
  /// received.
  Plain
};

/// Why an attempt ended.
enum class AttemptEnd {
  /// The whole answer was received.
  Complete,
  /// No connection could be established; nothing was sent.
  ConnectFailed,
  /// The target refused the request and stated that it did not run it.
  RefusedByTarget,
  /// The target answered with an error status.
  TargetError,
  /// The answer names a different attempt.
  AttemptMismatch,
  /// The connection or the stream ended before the answer was complete.
  EndedEarly,
  /// The answer does not have the expected format or is too large.
  Malformed,
  /// The first byte or the next progress came too late, or the deadline passed.
  TimedOut,
  /// The caller disconnected.
  CallerGone,
  /// Not started, because the request crashed two targets.
  CrashingRequest,
  /// Not started, because the request is suspected of crashing targets. Such
  /// a request runs in isolation, and there was no opportunity for that in
  /// time.
  SuspectWaiting
};

std::string_view nameOf(AttemptEnd Value);

/// How the connection of an attempt ended.
enum class ConnectionEnd {
  /// The HTTP message was received in full.
  MessageComplete,
  ConnectFailed,
  /// The connection broke or was closed within a message.
  Broken,
  /// The received bytes are no HTTP message.
  Malformed
};

/// Limits of one attempt. It ends when no byte arrives within a timeout, when
/// the deadline passes, or when a size is exceeded.
struct AttemptLimits {
  absl::Duration m_firstByte = absl::Seconds(10);
  absl::Duration m_progress = absl::Seconds(5);
  Instant m_deadline = absl::InfiniteFuture();
  std::size_t m_maxBodyBytes = 64 << 20;
  std::size_t m_maxEventBytes = 1 << 20;
};

/// The status and the headers of an answer that decisions depend on.
struct ResponseHead {
  int m_status = 0;
  /// Value of `X-Turmericdyke-Attempt` in the answer; empty if absent.
  AttemptId m_attempt;
  /// Whether the target states `X-Turmericdyke-Outcome: not_run`.
  bool m_statesNotRun = false;
};

struct AttemptResult {
  AttemptEnd m_end = AttemptEnd::Complete;
  /// HTTP status of the target; 0 if there was none.
  int m_status = 0;
  /// Whether any part of the request may have been sent.
  bool m_mayHaveBeenSent = false;
  /// Whether any bytes of the answer were forwarded to the caller.
  bool m_forwarded = false;
  std::int64_t m_tokens = 0;
  /// Whether an earlier attempt of the request may have run.
  bool m_earlierMayHaveRun = false;

  /// Whether the request was executed, judging from all its attempts.
  Outcome outcome() const;
};

/// What the caller of `AttemptMachine` must do after an event, in this order.
struct AttemptActions {
  /// Bytes to forward to the client now; for event streams, complete events
  /// only.
  std::string m_forward;
  /// Whether to close the connection to the target, which must not be reused.
  bool m_closeConnection = false;
  /// Whether to ask the target to cancel the attempt.
  bool m_cancelAtTarget = false;
  /// Set exactly once, when the attempt ends.
  std::optional<AttemptResult> m_result;
};

} // namespace turmericdyke
