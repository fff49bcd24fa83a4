#include "turmericdyke/src/Feed/LimitRecords.h"

#include <algorithm>
#include <cmath>
#include <string>

#include <fmt/format.h>

#include "turmericdyke/src/Base/StableHash.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Limits that differ by less than this fraction count as equal, so that a
/// target that adjusts its limit with each answer causes no message each time.
constexpr double LimitTolerance = 0.05;

bool areClose(const std::optional<double> &A, const std::optional<double> &B) {
  if (!A || !B)
    return A.has_value() == B.has_value();
  return std::abs(*A - *B) <= LimitTolerance * std::max(*A, *B);
}

} // namespace
} // namespace internal

bool LimitRecords::record(Instant Now, const TargetLimit &Limit) {
  bool Full = m_statements.size() >= MaxTargetLimits;
  if (Full && m_statements.count(Limit.m_target) == 0)
    return false;
  Instant StatedAt =
      Now - absl::Microseconds(std::max<std::int64_t>(0, Limit.m_ageMicros));
  auto [At, New] = m_statements.try_emplace(Limit.m_target);
  Statement &Known = At->second;
  bool Replaces =
      New || Limit.m_instance > Known.m_instance ||
      (Limit.m_instance == Known.m_instance && StatedAt > Known.m_statedAt);
  if (!Replaces)
    return false;
  bool Same = !New && Limit.m_instance == Known.m_instance &&
              internal::areClose(Limit.m_perSecond, Known.m_perSecond);
  Known.m_instance = Limit.m_instance;
  Known.m_statedAt = StatedAt;
  if (Same)
    return false;
  Known.m_perSecond = Limit.m_perSecond;
  updateVersion();
  return !New || Limit.m_perSecond;
}

std::optional<double> LimitRecords::limitOf(const TargetId &Target,
                                            std::uint64_t Instance) const {
  auto Found = m_statements.find(Target);
  if (Found == m_statements.end() || Found->second.m_instance != Instance)
    return std::nullopt;
  return Found->second.m_perSecond;
}

std::optional<Instant> LimitRecords::statedAt(const TargetId &Target) const {
  auto Found = m_statements.find(Target);
  if (Found == m_statements.end())
    return std::nullopt;
  return Found->second.m_statedAt;
}

bool LimitRecords::agreesWith(const TargetLimit &Limit) const {
  auto Found = m_statements.find(Limit.m_target);
  if (Found == m_statements.end())
    return !Limit.m_perSecond;
  return Found->second.m_instance > Limit.m_instance ||
         (Found->second.m_instance == Limit.m_instance &&
          internal::areClose(Found->second.m_perSecond, Limit.m_perSecond));
}

void LimitRecords::expire(Instant Now, absl::Duration MaxAge) {
  if (std::erase_if(m_statements, [&](const auto &Entry) {
        return Now - Entry.second.m_statedAt > MaxAge;
      }) > 0)
    updateVersion();
}

void LimitRecords::clear() {
  m_statements.clear();
  m_version = 0;
}

void LimitRecords::updateVersion() {
  std::string Text;
  for (const auto &[Target, Known] : m_statements)
    Text += fmt::format("{}/{}/{:.6g};", Target.str(), Known.m_instance,
                        Known.m_perSecond.value_or(-1));
  m_version = Text.empty() ? 0 : stableHash({Text});
}

TargetLimitList LimitRecords::list(Instant Now) const {
  TargetLimitList List;
  List.m_version = m_version;
  for (const auto &[Target, Known] : m_statements)
    List.m_limits.push_back(
        {Target, Known.m_instance, Known.m_perSecond,
         absl::ToInt64Microseconds(Now - Known.m_statedAt)});
  return List;
}

} // namespace turmericdyke
