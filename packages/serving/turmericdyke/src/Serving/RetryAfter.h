#pragma once

#include <optional>
#include <string_view>

#include "absl/random/bit_gen_ref.h"
#include "turmericdyke/src/Base/Instant.h"

namespace turmericdyke {

/// Why a request that has not run is rejected.
enum class RetryAfterCause {
  /// The node does not know which routes and keys are in force.
  NotInformed,
  /// No target serves the model now.
  NoTarget,
  /// All targets are at capacity.
  Full,
  /// All attempts failed before the request ran.
  AttemptsFailed,
  /// Requests like this one crash their targets.
  CrashesTargets,
  /// This node reaches no target, but other nodes do.
  CutOff,
  /// The node stops; other nodes serve the caller.
  Stopping
};

/// Input of `retryAfter`.
struct RetryAfterInput {
  RetryAfterCause m_cause = RetryAfterCause::Full;
  /// Time since this node started.
  absl::Duration m_uptime = absl::InfiniteDuration();
  /// Whether the node has had a valid routing document since it started.
  bool m_everInformed = true;
  /// How long until a target takes requests from this node again, if all of
  /// them have stated that they take none now.
  std::optional<absl::Duration> m_untilOpen;
  /// Mean run time of requests of this kind at a target.
  absl::Duration m_meanRunTime = absl::ZeroDuration();
};

/// Returns the delay after which a rejected caller should retry, which is when
/// capacity is likely to be available. Callers retry only once or twice, so a
/// retry that comes too early loses the request. This matters most after a
/// restart of the whole system, when all callers arrive at once, and when peak
/// load lasts longer than one request. Delays are jittered so that callers do
/// not retry at the same moment.
absl::Duration retryAfter(const RetryAfterInput &Input, absl::BitGenRef Random);

} // namespace turmericdyke
