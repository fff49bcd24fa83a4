#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// What a caller may conclude about its request.
enum class Outcome { NotRun, MayHaveRun, Ran };

/// `not_run`, `may_have_run` or `ran`, as in the header
/// `X-Turmericdyke-Outcome`.
std::string_view nameOf(Outcome Value);

/// Shape of the answer that an attempt expects.
enum class AnswerShape {
  /// Server-sent events that end in `[DONE]` after a finish reason.
  EventStream,
  /// One JSON object with a finish reason in each choice.
  Completion,
  /// Any body of a plain service, complete with its declared length or final
  /// chunk.
  Plain
};

/// Why an attempt ended.
enum class AttemptEnd {
  /// The answer is complete.
  Complete,
  /// No connection could be made; nothing left this process.
  ConnectFailed,
  /// The target refused and stated that it did not run the request.
  RefusedByTarget,
  /// The target answered with an error status.
  TargetError,
  /// The answer names another attempt.
  Crossed,
  /// The connection or the stream ended before the proper end of the answer.
  EndedEarly,
  /// The answer does not have the expected shape or is too large.
  Malformed,
  /// No first byte or no progress within its bound, or past the deadline.
  TimedOut,
  /// The caller went away.
  CallerGone,
  /// Not started: the request crashed two targets.
  CrashingRequest,
  /// Not started: the request is suspect and could not run alone in time.
  SuspectWaiting
};

std::string_view nameOf(AttemptEnd Value);

/// How the connection of an attempt ended.
enum class ConnectionEnd {
  /// The HTTP message was received in full.
  MessageComplete,
  ConnectFailed,
  /// The connection broke or was closed within a message.
  Broken
};

/// Bounds on one attempt. A duration without a token or byte beyond its bound
/// ends the attempt.
struct AttemptLimits {
  absl::Duration m_firstByte = absl::Seconds(10);
  absl::Duration m_progress = absl::Seconds(5);
  Instant m_deadline = absl::InfiniteFuture();
  std::size_t m_answerBytes = 64 << 20;
  std::size_t m_eventBytes = 1 << 20;
};

/// The status line and the headers of an answer that decisions need.
struct AnswerHead {
  int m_status = 0;
  /// Value of `X-Turmericdyke-Attempt` as echoed by the target; empty when
  /// absent.
  AttemptId m_attempt;
  /// Whether the target states `X-Turmericdyke-Outcome: not_run`.
  bool m_statesNotRun = false;
};

struct AttemptResult {
  AttemptEnd m_end = AttemptEnd::Complete;
  /// HTTP status of the target; 0 when there was none.
  int m_status = 0;
  /// Whether the request may have left this process.
  bool m_leftProcess = false;
  /// Whether bytes of the answer were handed on to the caller.
  bool m_forwarded = false;
  std::int64_t m_tokens = 0;
  /// An earlier attempt of the request may have run.
  bool m_earlierMayHaveRun = false;

  /// What is known about the request.
  Outcome outcome() const;
};

/// What the shell does after an event, in this order.
struct AttemptActions {
  /// Bytes to hand on to the caller now; whole events only for event streams.
  std::string m_forward;
  /// Close the connection to the target; it carries nothing else.
  bool m_closeConnection = false;
  /// Ask the target to cancel the attempt.
  bool m_cancelAtTarget = false;
  /// Set once, when the attempt has ended.
  std::optional<AttemptResult> m_result;
};

} // namespace turmericdyke
