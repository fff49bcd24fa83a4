#include "turmericdyke/src/Feed/CrashAttribution.h"

#include <algorithm>
#include <limits>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

#include <fmt/format.h>

namespace turmericdyke {

namespace internal {
namespace {

/// Identifies one crash of one target.
std::string crashOf(const CrashReport &Report) {
  return fmt::format("{}/{}", Report.m_target.str(), Report.m_generation);
}

} // namespace
} // namespace internal

CrashAttribution::CrashAttribution(CrashAttributionOptions Options)
    : m_options(Options) {}

bool CrashAttribution::Recorded::allCleared() const {
  return std::find(m_cleared.begin(), m_cleared.end(), false) ==
         m_cleared.end();
}

void CrashAttribution::reset() {
  m_reports.clear();
  m_accused.clear();
}

void CrashAttribution::record(Instant Now, CrashReport Report) {
  expire(Now);
  evict(Report.m_pastStart);
  std::vector<bool> Cleared(Report.m_keys.size());
  m_reports.push_back({Now, std::move(Report), std::move(Cleared)});
}

void CrashAttribution::evict(bool PastStart) {
  auto SameKind = [PastStart](const Recorded &Value) {
    return Value.m_report.m_pastStart == PastStart;
  };
  std::size_t Max =
      PastStart ? m_options.m_maxReportsPastStart : m_options.m_maxReports;
  if (static_cast<std::size_t>(
          std::count_if(m_reports.begin(), m_reports.end(), SameKind)) < Max)
    return;
  auto Victim = m_reports.end();
  if (PastStart) {
    // A stream that met a single crash is most likely a sound one that its
    // caller has given up.
    std::map<SuspectKey, int> Crashes;
    for (const Recorded &Value : m_reports)
      ++Crashes[Value.m_report.m_keys.back()];
    Victim = std::find_if(
        m_reports.begin(), m_reports.end(), [&](const Recorded &Value) {
          return SameKind(Value) && Crashes[Value.m_report.m_keys.back()] == 1;
        });
  }
  if (Victim == m_reports.end())
    Victim = std::find_if(m_reports.begin(), m_reports.end(), SameKind);
  m_reports.erase(Victim);
}

void CrashAttribution::markProgress(const KeyProgress &Progress) {
  for (Recorded &Value : m_reports)
    for (std::size_t At = 0; At < Value.m_cleared.size(); ++At)
      if (Value.m_report.m_keys[At] == Progress.m_key &&
          Progress.m_events >= Value.eventsAt(At) + EventsPastCrash)
        Value.m_cleared[At] = true;
  std::erase_if(m_reports,
                [](const Recorded &Value) { return Value.allCleared(); });
}

void CrashAttribution::expire(Instant Now) {
  while (!m_reports.empty() &&
         Now - m_reports.front().m_at >= m_options.m_memory)
    m_reports.pop_front();
}

bool CrashAttribution::isBystander(const Recorded &Value) const {
  if (Value.m_report.m_began)
    return false;
  return std::any_of(
      m_reports.begin(), m_reports.end(), [&](const Recorded &Other) {
        return Other.m_report.m_began && !Other.m_report.m_pastStart &&
               Other.m_report.m_target == Value.m_report.m_target &&
               Other.m_report.m_generation == Value.m_report.m_generation;
      });
}

std::map<SuspectKey, CrashAttribution::Evidence>
CrashAttribution::evidence() const {
  std::map<SuspectKey, Evidence> All;
  // Several nodes report the same crash, also with the same part.
  std::map<std::tuple<SuspectKey, std::string_view, std::uint64_t>, std::size_t>
      Seen;
  for (const Recorded &Value : m_reports) {
    if (isBystander(Value))
      continue;
    const std::vector<SuspectKey> &Keys = Value.m_report.m_keys;
    for (std::size_t At = 0; At < Keys.size(); ++At) {
      if (Value.m_cleared[At])
        continue;
      Evidence &Entry = All[Keys[At]];
      auto [Known, New] =
          Seen.try_emplace({Keys[At], Value.m_report.m_target.str(),
                            Value.m_report.m_generation},
                           Entry.m_crashes.size());
      if (New)
        Entry.m_crashes.push_back(&Value);
      // Of equal requests at one target, the one that was at its start counts.
      else if (Entry.m_crashes[Known->second]->m_report.m_pastStart)
        Entry.m_crashes[Known->second] = &Value;
      Entry.m_position = std::max(Entry.m_position, At);
      Entry.m_exact = At + 1 == Keys.size();
    }
  }
  return All;
}

int CrashAttribution::pointsOf(const Evidence &Value,
                               int PointsIfPastStart) const {
  std::map<SuspectKey, int> ByRequest;
  for (const Recorded *Crash : Value.m_crashes) {
    const CrashReport &Report = Crash->m_report;
    ByRequest[Report.m_keys.back()] += Report.m_pastStart ? PointsIfPastStart
                                       : Report.m_began
                                           ? m_options.m_pointsIfBegun
                                           : m_options.m_pointsIfWaiting;
  }
  int MaxOfRequest = Value.m_exact ? std::numeric_limits<int>::max()
                                   : m_options.m_guiltyPointsOfPart / 2;
  int Points = 0;
  for (const auto &[Request, OfRequest] : ByRequest)
    Points += std::min(OfRequest, MaxOfRequest);
  return Points;
}

bool CrashAttribution::isGuilty(const Evidence &Value, bool WasRefused) const {
  if (WasRefused)
    return pointsOf(Value, m_options.m_pointsIfBegun) >=
           m_options.m_guiltyPointsAgain;
  int Points = pointsOf(Value, m_options.m_pointsIfPastStart);
  int Needed = Value.m_exact ? m_options.m_guiltyPointsOfRequest
                             : m_options.m_guiltyPointsOfPart;
  return Points >= Needed &&
         Value.m_crashes.back()->m_at - Value.m_crashes.front()->m_at >=
             m_options.m_minSpan;
}

std::vector<CrashAttribution::Verdict>
CrashAttribution::judge(Instant Now,
                        const std::function<bool(SuspectKey)> &WasRefused) {
  std::vector<Verdict> Verdicts;
  expire(Now);
  while (!m_reports.empty()) {
    std::map<SuspectKey, Evidence> All = evidence();
    std::erase_if(All, [&](const auto &Entry) {
      return !isGuilty(Entry.second, WasRefused(Entry.first));
    });
    std::erase_if(m_accused, [&](const auto &Entry) {
      return !All.contains(Entry.first);
    });
    for (const auto &[Key, Entry] : All)
      m_accused.try_emplace(Key, Now);
    // Exact requests are accused one after the other, and must not hold back
    // the verdict on a part of their prompts.
    std::erase_if(All, [&](const auto &Entry) {
      return Entry.second.m_exact &&
             Now - m_accused.at(Entry.first) < m_options.m_verdictDelay;
    });
    auto Guilty = std::max_element(
        All.begin(), All.end(), [](const auto &A, const auto &B) {
          return A.second.m_position < B.second.m_position;
        });
    if (Guilty == All.end() ||
        Now - m_accused.at(Guilty->first) < m_options.m_verdictDelay)
      break;
    Verdict &Value = Verdicts.emplace_back();
    Value.m_key = Guilty->first;
    Value.m_points = pointsOf(Guilty->second, m_options.m_pointsIfPastStart);
    for (const Recorded *Crash : Guilty->second.m_crashes)
      Value.m_crashes.push_back(internal::crashOf(Crash->m_report));
    explain(Guilty->first, Guilty->second);
  }
  return Verdicts;
}

void CrashAttribution::explain(SuspectKey Key, const Evidence &Guilty) {
  // The crashes of one request may still be those of a part of its prompt.
  if (Guilty.m_exact)
    return markProgress({Key, KeyProgress::Whole});
  std::set<std::string> Crashes;
  for (const Recorded *Crash : Guilty.m_crashes)
    Crashes.insert(internal::crashOf(Crash->m_report));
  std::erase_if(m_reports, [&](const Recorded &Value) {
    return Crashes.contains(internal::crashOf(Value.m_report));
  });
}

std::vector<SuspectKey> CrashAttribution::suspects() const {
  std::vector<SuspectKey> Keys;
  for (bool PastStart : {false, true})
    for (auto Value = m_reports.rbegin(); Value != m_reports.rend(); ++Value) {
      if (Value->m_report.m_pastStart != PastStart || isBystander(*Value))
        continue;
      for (std::size_t At = 0; At < Value->m_cleared.size(); ++At) {
        if (Keys.size() >= m_options.m_maxSuspects)
          return Keys;
        SuspectKey Key = Value->m_report.m_keys[At];
        if (!Value->m_cleared[At] &&
            std::find(Keys.begin(), Keys.end(), Key) == Keys.end())
          Keys.push_back(Key);
      }
    }
  return Keys;
}

} // namespace turmericdyke
