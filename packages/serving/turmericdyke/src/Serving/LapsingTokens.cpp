#include "turmericdyke/src/Serving/LapsingTokens.h"

#include <algorithm>
#include <cassert>
#include <cmath>

#include "absl/random/distributions.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr absl::Duration MinInterval = absl::Microseconds(10);
constexpr absl::Duration MaxInterval = absl::Hours(1);

absl::Duration intervalOf(double PerSecond) {
  assert(PerSecond > 0 && "a rate of 0 has no interval");
  return std::clamp(absl::Seconds(1 / PerSecond), MinInterval, MaxInterval);
}

} // namespace
} // namespace internal

LapsingTokens::LapsingTokens(Instant Now, double PerSecond,
                             absl::Duration Lifetime, absl::BitGenRef Random)
    : m_interval(internal::intervalOf(PerSecond)), m_lifetime(Lifetime),
      m_oldest(Now + m_interval * absl::Uniform(Random, 0.0, 1.0)) {}

void LapsingTokens::setRate(Instant Now, double PerSecond,
                            absl::Duration Lifetime) {
  absl::Duration Interval = internal::intervalOf(PerSecond);
  if (Interval == m_interval && Lifetime == m_lifetime)
    return;
  dropLapsed(Now);
  m_lifetime = Lifetime;
  // The wait for the next permission is scaled, so that the moments of
  // different nodes stay apart.
  if (m_oldest > Now)
    m_oldest = Now + Interval * absl::FDivDuration(m_oldest - Now, m_interval);
  m_interval = Interval;
}

void LapsingTokens::dropLapsed(Instant Now) {
  absl::Duration Lapsed = Now - m_lifetime - m_oldest;
  if (Lapsed < absl::ZeroDuration())
    return;
  m_oldest +=
      m_interval * (std::floor(absl::FDivDuration(Lapsed, m_interval)) + 1);
}

void LapsingTokens::take(Instant Now) {
  if (next(Now) <= Now)
    m_oldest += m_interval;
}

Instant LapsingTokens::next(Instant Now) {
  dropLapsed(Now);
  return m_oldest;
}

} // namespace turmericdyke
