#include "turmericdyke/src/Serving/TargetHealth.h"

#include <algorithm>

namespace turmericdyke {

namespace internal {
namespace {

constexpr int MostDoublings = 10;

} // namespace
} // namespace internal

TargetHealth::TargetHealth(TargetHealthOptions Options) : m_options(Options) {}

void TargetHealth::failed(Instant Now, const TargetId &Target) {
  Record &State = m_records[Target];
  // Requests that were under way at the same failure count as one.
  if (State.m_failures > 0 && Now < State.m_until)
    return;
  int Doublings = std::min(State.m_failures, internal::MostDoublings);
  ++State.m_failures;
  State.m_until = Now + std::min(m_options.m_firstPause * (1 << Doublings),
                                 m_options.m_longestPause);
}

void TargetHealth::succeeded(const TargetId &Target) {
  m_records.erase(Target);
}

void TargetHealth::forget(const TargetId &Target) { m_records.erase(Target); }

bool TargetHealth::avoided(Instant Now, const TargetId &Target) const {
  auto Found = m_records.find(Target);
  return Found != m_records.end() && Now < Found->second.m_until;
}

} // namespace turmericdyke
