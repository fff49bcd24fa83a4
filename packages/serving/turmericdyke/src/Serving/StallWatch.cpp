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

void StallWatch::closedToNew(const TargetId &Target) {
  auto Found = m_targets.find(Target);
  if (Found != m_targets.end())
    Found->second.m_closedToNew = true;
}

bool StallWatch::mayAbandon(Instant Now, const Watched &State) const {
  return Now - State.m_progress >= (State.m_closedToNew
                                        ? m_options.m_abandonEndedAfter
                                        : m_options.m_abandonAfter);
}

std::vector<StallWatch::Stall> StallWatch::stalled(Instant Now) {
  std::vector<Stall> Named;
  for (auto &[Target, State] : m_targets) {
    bool Abandon = mayAbandon(Now, State);
    bool Silent = Now - State.m_progress >= m_options.m_silence;
    // What can be moved is not left until the target is named again.
    bool Again = Now - State.m_named >= m_options.m_repeatAfter ||
                 (Abandon && State.m_closedToNew);
    if (!(Silent || Abandon) || !Again)
      continue;
    State.m_named = Now;
    Named.push_back({Target, Abandon});
  }
  return Named;
}

} // namespace turmericdyke
