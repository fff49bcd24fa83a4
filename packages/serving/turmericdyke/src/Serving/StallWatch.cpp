#include "turmericdyke/src/Serving/StallWatch.h"

namespace turmericdyke {

StallWatch::StallWatch(StallWatchOptions Options) : m_options(Options) {}

void StallWatch::begun(Instant Now, const TargetId &Target) {
  auto [At, New] = m_targets.try_emplace(Target);
  // A new stream at a target that stands still is no sign of life.
  if (New)
    At->second.m_progress = Now;
  ++At->second.m_streams;
}

void StallWatch::progressed(Instant Now, const TargetId &Target) {
  auto Found = m_targets.find(Target);
  if (Found == m_targets.end())
    return;
  Found->second.m_progress = Now;
  m_progressed.insert(Target);
}

std::vector<TargetId> StallWatch::takeProgress() {
  std::vector<TargetId> Taken(m_progressed.begin(), m_progressed.end());
  m_progressed.clear();
  return Taken;
}

void StallWatch::ended(const TargetId &Target) {
  auto Found = m_targets.find(Target);
  if (Found != m_targets.end() && --Found->second.m_streams <= 0)
    m_targets.erase(Found);
}

std::vector<StallWatch::Stall> StallWatch::stalled(Instant Now) {
  std::vector<Stall> Named;
  for (auto &[Target, State] : m_targets) {
    if (Now - State.m_progress < m_options.m_silence ||
        Now - State.m_named < m_options.m_repeatAfter)
      continue;
    State.m_named = Now;
    Named.push_back(
        {Target, Now - State.m_progress >= m_options.m_abandonAfter});
  }
  return Named;
}

} // namespace turmericdyke
