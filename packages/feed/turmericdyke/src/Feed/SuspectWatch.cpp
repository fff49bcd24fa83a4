#include "turmericdyke/src/Feed/SuspectWatch.h"

#include <algorithm>
#include <utility>

#include "turmericdyke/src/Fleet/FeedMessage.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Reports of a crash of many targets at once are cut off here, those of
/// attempts at the start of their response and of others each.
constexpr std::ptrdiff_t MaxReports = 64;
/// The same progress of a popular key that stays suspect is reported again
/// after this time.
constexpr absl::Duration ReportAgain = absl::Milliseconds(250);
/// By then most streams that broke off with a target have ended at another one.
/// The leader's list may be too short for all of them.
constexpr absl::Duration OwnSuspectsFor = absl::Seconds(10);

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
  std::erase_if(m_reported, [this](const auto &Entry) {
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
  if (std::count_if(m_reports.begin(), m_reports.end(),
                    [&Report](const CrashReport &Other) {
                      return Other.m_pastStart == Report.m_pastStart;
                    }) >= internal::MaxReports)
    return;
  // The retry of this request may show at once which keys are sound.
  for (SuspectKey Key : Report.m_keys)
    m_ownSuspects[Key] = Now;
  m_reports.push_back(std::move(Report));
}

void SuspectWatch::requestProgressed(Instant Now,
                                     absl::Span<const SuspectKey> Keys,
                                     const RequestProgress &Progress) {
  for (std::size_t At = 0; At < Keys.size(); ++At) {
    SuspectKey Key = Keys[At];
    if (!m_suspects.contains(Key) && !m_ownSuspects.contains(Key))
      continue;
    bool Exact = At + 1 == Keys.size();
    std::uint64_t Events = Exact ? Progress.m_ofStream : Progress.m_ofAttempt;
    auto [Last, New] = m_reported.try_emplace(Key, Reported{Now, Events});
    // Parts are only asked for the start of a response.
    bool Farther = (Exact || Events == KeyProgress::Whole) &&
                   Events > Last->second.m_events;
    if (!New && !Farther && Now - Last->second.m_at < internal::ReportAgain)
      continue;
    Last->second = {Now, Events};
    m_progress.add({Key, Events});
  }
}

void SuspectWatch::takeReports(Instant Now, FeedRequest &Request) {
  std::erase_if(m_ownSuspects, [Now](const auto &Entry) {
    return Now - Entry.second >= internal::OwnSuspectsFor;
  });
  Request.m_crashes = std::exchange(m_reports, {});
  Request.m_progress = m_progress.take();
}

} // namespace turmericdyke
