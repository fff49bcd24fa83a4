#include "turmericdyke/src/Feed/SuspectWatch.h"

#include <algorithm>
#include <utility>

#include "turmericdyke/src/Fleet/FeedMessage.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Reports of a crash of many targets at once are cut off here.
constexpr std::size_t MaxReports = 64;
/// A popular key that stays suspect is reported as sound again after this time.
constexpr absl::Duration ReportSoundAgain = absl::Milliseconds(250);
/// By then the leader's lists show whether a key is suspect, or the report was
/// lost.
constexpr absl::Duration LeaderKnowsAfter = absl::Seconds(2);

} // namespace
} // namespace internal

bool SuspectWatch::update(const SuspectLists &Lists) {
  m_version = Lists.m_version;
  m_suspects = {Lists.m_suspects.begin(), Lists.m_suspects.end()};
  std::set<SuspectKey> Refused(Lists.m_refused.begin(), Lists.m_refused.end());
  bool Added =
      std::any_of(Refused.begin(), Refused.end(),
                  [this](SuspectKey Key) { return !m_refused.contains(Key); });
  m_refused = std::move(Refused);
  std::erase_if(m_reportedSound, [this](const auto &Entry) {
    return !m_suspects.contains(Entry.first) &&
           !m_ownSuspects.contains(Entry.first);
  });
  return Added;
}

bool SuspectWatch::isRefused(absl::Span<const SuspectKey> Keys) const {
  return std::any_of(Keys.begin(), Keys.end(), [this](SuspectKey Key) {
    return m_refused.contains(Key);
  });
}

void SuspectWatch::attemptCrashed(Instant Now, CrashReport Report) {
  if (m_reports.size() >= internal::MaxReports)
    return;
  // The retry of this request may show at once which keys are sound.
  for (SuspectKey Key : Report.m_keys)
    m_ownSuspects[Key] = Now;
  m_reports.push_back(std::move(Report));
}

void SuspectWatch::requestProgressed(Instant Now,
                                     absl::Span<const SuspectKey> Keys) {
  for (SuspectKey Key : Keys) {
    if (!m_suspects.contains(Key) && !m_ownSuspects.contains(Key))
      continue;
    auto [Last, New] = m_reportedSound.try_emplace(Key, Now);
    if (!New && Now - Last->second < internal::ReportSoundAgain)
      continue;
    Last->second = Now;
    m_sound.insert(Key);
  }
}

void SuspectWatch::takeReports(Instant Now, FeedRequest &Request) {
  std::erase_if(m_ownSuspects, [Now](const auto &Entry) {
    return Now - Entry.second >= internal::LeaderKnowsAfter;
  });
  Request.m_crashes = std::exchange(m_reports, {});
  Request.m_sound.assign(m_sound.begin(), m_sound.end());
  m_sound.clear();
}

} // namespace turmericdyke
