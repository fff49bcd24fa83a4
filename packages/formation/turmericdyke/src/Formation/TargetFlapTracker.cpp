#include "turmericdyke/src/Formation/TargetFlapTracker.h"

#include <algorithm>

namespace turmericdyke::internal {

void TargetFlapTracker::observe(Instant Now, const TargetView &View,
                                Record &Known) const {
  bool Present = Now - View.m_lastHeard <= FreshnessBound;
  bool Restarted = Known.m_incarnation != View.m_announcement->m_incarnation;
  if (Now - Known.m_lastLoss > m_options.m_flapWindow)
    Known.m_losses = 0;
  if ((Known.m_present && !Present) || (Restarted && Known.m_present)) {
    ++Known.m_losses;
    Known.m_lastLoss = Now;
  }
  if (Present && (!Known.m_present || Restarted))
    Known.m_lastReturn = Now;
  Known.m_present = Present;
  Known.m_incarnation = View.m_announcement->m_incarnation;
  Known.m_lastObserved = Now;
}

void TargetFlapTracker::observe(Instant Now,
                                absl::Span<const TargetView> Targets) {
  for (const TargetView &View : Targets) {
    if (View.m_announcement == nullptr)
      continue;
    auto [Found, New] = m_records.try_emplace(View.m_announcement->m_target);
    if (New)
      Found->second.m_incarnation = View.m_announcement->m_incarnation;
    observe(Now, View, Found->second);
  }
  if (Now - m_lastCleanup < m_options.m_flapWindow)
    return;
  m_lastCleanup = Now;
  absl::erase_if(m_records, [&](const auto &Entry) {
    return Now - Entry.second.m_lastObserved > m_options.m_flapWindow;
  });
}

bool TargetFlapTracker::isHeldDown(const TargetId &Target, Instant Now) const {
  auto Found = m_records.find(Target);
  if (Found == m_records.end() || Found->second.m_losses < 2)
    return false;
  absl::Duration Hold = m_options.m_holdDown;
  for (int Loss = 2;
       Loss < Found->second.m_losses && Hold < m_options.m_maxHoldDown; ++Loss)
    Hold *= 2;
  Hold = std::min(Hold, m_options.m_maxHoldDown);
  return Now < Found->second.m_lastReturn + Hold;
}

} // namespace turmericdyke::internal
