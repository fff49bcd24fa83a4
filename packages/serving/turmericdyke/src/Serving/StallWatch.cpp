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

void StallWatch::progressed(Instant Now, const TargetId &Target, bool First) {
  auto Found = m_targets.find(Target);
  if (Found == m_targets.end())
    return;
  Found->second.m_flowing += First ? 1 : 0;
  Found->second.m_progress = Now;
  m_progressed.insert(Target);
}

std::vector<TargetId> StallWatch::takeProgress() {
  std::vector<TargetId> Taken(m_progressed.begin(), m_progressed.end());
  m_progressed.clear();
  return Taken;
}

void StallWatch::ended(const TargetId &Target, bool Flowing) {
  auto Found = m_targets.find(Target);
  if (Found == m_targets.end())
    return;
  Found->second.m_flowing -= Flowing ? 1 : 0;
  if (--Found->second.m_streams <= 0)
    m_targets.erase(Found);
}

bool StallWatch::quiet(Instant Now, const TargetId &Target) const {
  auto Found = m_targets.find(Target);
  if (Found == m_targets.end())
    return false;
  // New streams are silent until their prompt has been read.
  absl::Duration Bound =
      Found->second.m_flowing > 0 ? m_options.m_quiet : m_options.m_silence;
  return Now - Found->second.m_progress >= Bound;
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
    bool Doubtful =
        State.m_flowing > 0 && Now - State.m_progress >= m_options.m_doubtful;
    // What can be moved is not left until the target is named again.
    bool Again =
        Now - State.m_named >= m_options.m_repeatAfter ||
        (Abandon && State.m_closedToNew) ||
        (Silent && State.m_named - State.m_progress < m_options.m_silence);
    if (!(Doubtful || Silent || Abandon) || !Again)
      continue;
    State.m_named = Now;
    Named.push_back({Target, Silent, Abandon});
  }
  return Named;
}

} // namespace turmericdyke
