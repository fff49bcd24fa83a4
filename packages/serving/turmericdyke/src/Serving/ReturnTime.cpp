#include "turmericdyke/src/Serving/ReturnTime.h"

#include <algorithm>

#include "absl/random/distributions.h"

namespace turmericdyke {

namespace internal {
namespace {

/// From a start of all nodes until entry nodes know targets again: voters wait
/// 1 to 2 s before one of them leads; the feed and the first announcements take
/// some hundred ms.
constexpr absl::Duration RecoveryTime = absl::Milliseconds(2000);
/// A change of the leader, or a repair without a load.
constexpr absl::Duration ShortOutage = absl::Milliseconds(600);
/// The next moment at which another attempt may meet a sound target.
constexpr absl::Duration RepeatTime = absl::Milliseconds(300);
/// Returns are spread over this part of their time.
constexpr double Spread = 0.4;

absl::Duration leastTime(const ReturnFacts &Facts) {
  switch (Facts.m_cause) {
  case ReturnCause::NotInformed:
  case ReturnCause::NoTarget:
    // After a start everything may have started, so the way back is known.
    if (!Facts.m_everInformed || Facts.m_upFor < RecoveryTime)
      return std::max(RecoveryTime - Facts.m_upFor, ShortOutage);
    return ShortOutage;
  case ReturnCause::Full:
    // By then the requests that fill the targets now have ended.
    return std::max(Facts.m_meanRun, RepeatTime);
  case ReturnCause::AttemptsFailed:
    return RepeatTime;
  }
  return RepeatTime;
}

} // namespace
} // namespace internal

absl::Duration returnTime(const ReturnFacts &Facts, absl::BitGenRef Random) {
  absl::Duration Least = internal::leastTime(Facts);
  return Least * (1 + absl::Uniform(Random, 0.0, internal::Spread));
}

} // namespace turmericdyke
