#include "turmericdyke/src/Serving/RetryAfter.h"

#include <algorithm>

#include "absl/random/distributions.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Time from a start of all nodes until entry nodes know targets again:
/// election timeouts of 1 to 2 s, then some hundred ms for the feed and the
/// first announcements.
constexpr absl::Duration RecoveryTime = absl::Milliseconds(2000);
/// A leader change, or the repair of a group without a load.
constexpr absl::Duration ShortOutage = absl::Milliseconds(600);
/// Delay after which another attempt may reach a healthy target.
constexpr absl::Duration RetryDelay = absl::Milliseconds(300);
/// Another node can serve the caller at once; the delay only spreads the
/// callers of a node that stops or is cut off.
constexpr absl::Duration OtherNodeDelay = absl::Milliseconds(20);
/// How long the coordinators have such requests refused.
constexpr absl::Duration SuspectRefusalTime = absl::Minutes(10);
/// Delays are extended by up to this fraction of themselves.
constexpr double JitterFraction = 0.4;

absl::Duration minDelay(const RetryAfterInput &Input) {
  if (Input.m_untilOpen && Input.m_cause != RetryAfterCause::CrashesTargets)
    return std::max(*Input.m_untilOpen, RetryDelay);
  switch (Input.m_cause) {
  case RetryAfterCause::NotInformed:
  case RetryAfterCause::NoTarget:
    // If this node has just started, the whole system may have, so the recovery
    // time is known.
    if (!Input.m_everInformed || Input.m_uptime < RecoveryTime)
      return std::max(RecoveryTime - Input.m_uptime, ShortOutage);
    return ShortOutage;
  case RetryAfterCause::Full:
    // By then the requests that occupy the targets now have finished.
    return std::max(Input.m_meanRunTime, RetryDelay);
  case RetryAfterCause::AttemptsFailed:
    return RetryDelay;
  case RetryAfterCause::CrashesTargets:
    return SuspectRefusalTime;
  case RetryAfterCause::CutOff:
  case RetryAfterCause::Stopping:
    return OtherNodeDelay;
  }
  return RetryDelay;
}

} // namespace
} // namespace internal

absl::Duration retryAfter(const RetryAfterInput &Input,
                          absl::BitGenRef Random) {
  absl::Duration MinDelay = internal::minDelay(Input);
  return MinDelay * (1 + absl::Uniform(Random, 0.0, internal::JitterFraction));
}

} // namespace turmericdyke
