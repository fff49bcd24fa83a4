#include "turmericdyke/src/Serving/TargetHealth.h"

#include <algorithm>

namespace turmericdyke {

namespace internal {
namespace {

constexpr int MaxDoublings = 10;

} // namespace
} // namespace internal

TargetHealth::TargetHealth(TargetHealthOptions Options) : m_options(Options) {}

void TargetHealth::recordFailure(Instant Now, const TargetId &Target) {
  Record &State = m_records[Target];
  // Concurrent requests that hit the same failure count as one.
  if (State.m_failures > 0 && Now < State.m_until)
    return;
  int Doublings = std::min(State.m_failures, internal::MaxDoublings);
  ++State.m_failures;
  State.m_until = Now + std::min(m_options.m_initialBackoff * (1 << Doublings),
                                 m_options.m_maxBackoff);
}

void TargetHealth::recordSuccess(const TargetId &Target) {
  m_records.erase(Target);
}

void TargetHealth::forget(const TargetId &Target) { m_records.erase(Target); }

bool TargetHealth::isAvoided(Instant Now, const TargetId &Target) const {
  auto Found = m_records.find(Target);
  return Found != m_records.end() && Now < Found->second.m_until;
}

} // namespace turmericdyke
