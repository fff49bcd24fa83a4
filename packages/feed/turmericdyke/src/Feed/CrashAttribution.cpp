#include "turmericdyke/src/Feed/CrashAttribution.h"

#include <algorithm>
#include <limits>
#include <set>
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

void CrashAttribution::reset() {
  m_reports.clear();
  m_sound.clear();
  m_accused.clear();
}

void CrashAttribution::record(Instant Now, CrashReport Report) {
  expire(Now);
  if (m_reports.size() >= m_options.m_maxReports)
    m_reports.pop_front();
  m_reports.push_back({Now, std::move(Report)});
}

void CrashAttribution::markSound(Instant Now, SuspectKey Key) {
  m_sound[Key] = Now;
  std::erase_if(m_reports, [this](const Recorded &Value) {
    const std::vector<SuspectKey> &Keys = Value.m_report.m_keys;
    return std::none_of(Keys.begin(), Keys.end(),
                        [&](SuspectKey Other) { return isOpen(Value, Other); });
  });
  if (m_reports.empty())
    m_sound.clear();
}

void CrashAttribution::expire(Instant Now) {
  while (!m_reports.empty() &&
         Now - m_reports.front().m_at >= m_options.m_memory)
    m_reports.pop_front();
  if (m_reports.empty())
    m_sound.clear();
}

bool CrashAttribution::isOpen(const Recorded &Value, SuspectKey Key) const {
  auto Sound = m_sound.find(Key);
  return Sound == m_sound.end() || Sound->second < Value.m_at;
}

bool CrashAttribution::isBystander(const Recorded &Value) const {
  if (Value.m_report.m_began)
    return false;
  return std::any_of(
      m_reports.begin(), m_reports.end(), [&](const Recorded &Other) {
        return Other.m_report.m_began &&
               Other.m_report.m_target == Value.m_report.m_target &&
               Other.m_report.m_generation == Value.m_report.m_generation;
      });
}

std::map<SuspectKey, CrashAttribution::Evidence>
CrashAttribution::evidence() const {
  std::map<SuspectKey, Evidence> All;
  // Several nodes report the same crash, also with the same part.
  std::set<std::pair<SuspectKey, std::string>> Seen;
  for (const Recorded &Value : m_reports) {
    if (isBystander(Value))
      continue;
    const std::vector<SuspectKey> &Keys = Value.m_report.m_keys;
    for (std::size_t At = 0; At < Keys.size(); ++At) {
      if (!isOpen(Value, Keys[At]) ||
          !Seen.insert({Keys[At], internal::crashOf(Value.m_report)}).second)
        continue;
      Evidence &Entry = All[Keys[At]];
      Entry.m_crashes.push_back(&Value);
      Entry.m_position = std::max(Entry.m_position, At);
      Entry.m_exact = At + 1 == Keys.size();
    }
  }
  return All;
}

int CrashAttribution::pointsOf(const Evidence &Value) const {
  std::map<SuspectKey, int> ByRequest;
  for (const Recorded *Crash : Value.m_crashes)
    ByRequest[Crash->m_report.m_keys.back()] +=
        Crash->m_report.m_began ? m_options.m_pointsIfBegun
                                : m_options.m_pointsIfWaiting;
  int MaxOfRequest = Value.m_exact ? std::numeric_limits<int>::max()
                                   : m_options.m_guiltyPointsOfPart / 2;
  int Points = 0;
  for (const auto &[Request, OfRequest] : ByRequest)
    Points += std::min(OfRequest, MaxOfRequest);
  return Points;
}

bool CrashAttribution::isGuilty(const Evidence &Value, bool WasRefused) const {
  int Points = pointsOf(Value);
  if (WasRefused)
    return Points >= m_options.m_guiltyPointsAgain;
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
    Value.m_points = pointsOf(Guilty->second);
    for (const Recorded *Crash : Guilty->second.m_crashes)
      Value.m_crashes.push_back(internal::crashOf(Crash->m_report));
    explain(Guilty->first, Guilty->second);
  }
  return Verdicts;
}

void CrashAttribution::explain(SuspectKey Key, const Evidence &Guilty) {
  // The crashes of one request may still be those of a part of its prompt.
  if (Guilty.m_exact) {
    m_sound[Key] = Guilty.m_crashes.back()->m_at;
    return;
  }
  std::set<std::string> Crashes;
  for (const Recorded *Crash : Guilty.m_crashes)
    Crashes.insert(internal::crashOf(Crash->m_report));
  std::erase_if(m_reports, [&](const Recorded &Value) {
    return Crashes.contains(internal::crashOf(Value.m_report));
  });
}

std::vector<SuspectKey> CrashAttribution::suspects() const {
  std::vector<SuspectKey> Keys;
  for (auto At = m_reports.rbegin(); At != m_reports.rend(); ++At) {
    if (isBystander(*At))
      continue;
    for (SuspectKey Key : At->m_report.m_keys) {
      if (Keys.size() >= m_options.m_maxSuspects)
        return Keys;
      if (isOpen(*At, Key) &&
          std::find(Keys.begin(), Keys.end(), Key) == Keys.end())
        Keys.push_back(Key);
    }
  }
  return Keys;
}

} // namespace turmericdyke
