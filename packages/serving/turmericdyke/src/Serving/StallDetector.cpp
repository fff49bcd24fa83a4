#include "turmericdyke/src/Serving/StallDetector.h"

#include <algorithm>

namespace turmericdyke {

StallDetector::StallDetector(StallDetectorOptions Options)
    : m_options(Options) {}

void StallDetector::streamStarted(Instant Now, const TargetId &Target,
                                  absl::Duration FirstEvent) {
  auto [At, New] = m_targets.try_emplace(Target);
  // A new stream is no evidence that a stalled target works.
  if (New)
    At->second.m_progress = Now;
  ++At->second.m_streams;
  At->second.m_firstEventsBy =
      std::max(At->second.m_firstEventsBy, Now + FirstEvent);
}

bool StallDetector::isReading(Instant Now, const TargetState &State) {
  return State.m_flowing == 0 && Now < State.m_firstEventsBy;
}

void StallDetector::streamProgressed(Instant Now, const TargetId &Target,
                                     bool First) {
  auto Found = m_targets.find(Target);
  if (Found == m_targets.end())
    return;
  Found->second.m_flowing += First ? 1 : 0;
  Found->second.m_progress = Now;
  Found->second.m_abandonReported = false;
  m_progressed.insert(Target);
}

std::vector<TargetId> StallDetector::takeProgress() {
  std::vector<TargetId> Taken(m_progressed.begin(), m_progressed.end());
  m_progressed.clear();
  return Taken;
}

void StallDetector::streamEnded(const TargetId &Target, bool Flowing) {
  auto Found = m_targets.find(Target);
  if (Found == m_targets.end())
    return;
  Found->second.m_flowing -= Flowing ? 1 : 0;
  if (--Found->second.m_streams <= 0)
    m_targets.erase(Found);
}

bool StallDetector::isQuiet(Instant Now, const TargetId &Target) const {
  auto Found = m_targets.find(Target);
  if (Found == m_targets.end())
    return false;
  // New streams are silent until their prompt has been processed.
  absl::Duration Bound = Found->second.m_flowing > 0 ? m_options.m_quietAfter
                                                     : m_options.m_stalledAfter;
  return Now - Found->second.m_progress >= Bound;
}

void StallDetector::closedToNew(const TargetId &Target) {
  auto Found = m_targets.find(Target);
  if (Found != m_targets.end())
    Found->second.m_closedToNew = true;
}

void StallDetector::openedToNew(const TargetId &Target) {
  auto Found = m_targets.find(Target);
  if (Found != m_targets.end())
    Found->second.m_closedToNew = false;
}

bool StallDetector::mayAbandon(Instant Now, const TargetState &State) const {
  if (!State.m_closedToNew && isReading(Now, State))
    return false;
  return Now - State.m_progress >= (State.m_closedToNew
                                        ? m_options.m_abandonEndedAfter
                                        : m_options.m_abandonAfter);
}

absl::Duration StallDetector::silence(Instant Now,
                                      const TargetId &Target) const {
  auto Found = m_targets.find(Target);
  if (Found == m_targets.end() || isReading(Now, Found->second))
    return absl::ZeroDuration();
  return Now - Found->second.m_progress;
}

std::vector<StallDetector::Stall> StallDetector::stalled(Instant Now) {
  std::vector<Stall> Stalls;
  for (auto &[Target, State] : m_targets) {
    bool Abandon = mayAbandon(Now, State);
    bool Silent = !isReading(Now, State) &&
                  Now - State.m_progress >= m_options.m_stalledAfter;
    bool Suspect = State.m_flowing > 0 &&
                   Now - State.m_progress >= m_options.m_suspectAfter;
    // Streams that can be moved do not wait for the next report.
    bool MayReport =
        Now - State.m_lastReported >= m_options.m_reportAgainAfter ||
        (Abandon && State.m_closedToNew && !State.m_abandonReported) ||
        (Silent &&
         State.m_lastReported - State.m_progress < m_options.m_stalledAfter);
    if (!(Suspect || Silent || Abandon) || !MayReport)
      continue;
    State.m_lastReported = Now;
    State.m_abandonReported = State.m_abandonReported || Abandon;
    Stalls.push_back({Target, Silent, Abandon});
  }
  return Stalls;
}

} // namespace turmericdyke
