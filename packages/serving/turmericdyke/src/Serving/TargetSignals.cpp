#include "turmericdyke/src/Serving/TargetSignals.h"

#include <algorithm>

#include "turmericdyke/src/Fleet/FeedMessage.h"
#include "turmericdyke/src/Serving/TargetSignal.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Longer than the leader keeps a statement, so that a limit does not end on
/// this node before it is reported again.
constexpr absl::Duration MaxStatementAge = absl::Seconds(75);
/// A server that leaves is gone long before.
constexpr absl::Duration MaxDepartureAge = absl::Minutes(10);
/// A longer pause is taken as a mistake of the target.
constexpr absl::Duration MaxPause = absl::Hours(1);
/// A target that names a lower limit still gets this many requests a second
/// from all nodes together. Without any, nobody would learn that it takes more
/// again.
constexpr double MinPerSecond = 0.25;

} // namespace
} // namespace internal

TargetSignalNews TargetSignals::onResponse(Instant Now, Instant SentAt,
                                           const ServingTarget &Target,
                                           const TargetSignal &Signal) {
  TargetSignalNews News;
  News.m_limit = hearLimit(Now, SentAt, Target, Signal);
  News.m_leaving = Signal.m_leaving && hearLeaving(Now, Target);
  News.m_paused = Signal.m_pause && hearPause(Now, Target, *Signal.m_pause);
  return News;
}

bool TargetSignals::hearPause(Instant Now, const ServingTarget &Target,
                              absl::Duration Wanted) {
  std::erase_if(m_pauses, [Now](const auto &Entry) {
    return Entry.second.m_until <= Now;
  });
  // Several requests may be rejected at once; the longest pause counts.
  Instant Until = Now + std::min(Wanted, internal::MaxPause);
  if (Until <= std::max(Now, pauseEnd(Target)))
    return false;
  m_pauses[Target.m_id] = {Target.m_instance, Until};
  return true;
}

Instant TargetSignals::pauseEnd(const ServingTarget &Target) const {
  auto Found = m_pauses.find(Target.m_id);
  bool Known =
      Found != m_pauses.end() && Found->second.m_instance == Target.m_instance;
  return Known ? Found->second.m_until : absl::InfinitePast();
}

bool TargetSignals::hearLeaving(Instant Now, const ServingTarget &Target) {
  std::erase_if(m_leaving, [Now](const auto &Entry) {
    return Now - Entry.second.m_heardAt > internal::MaxDepartureAge;
  });
  bool Known = isLeaving(Target);
  m_leaving[Target.m_id] = {Target.m_instance, Now};
  return !Known;
}

bool TargetSignals::isLeaving(const ServingTarget &Target) const {
  auto Found = m_leaving.find(Target.m_id);
  return Found != m_leaving.end() &&
         Found->second.m_instance == Target.m_instance;
}

bool TargetSignals::hearLimit(Instant Now, Instant SentAt,
                              const ServingTarget &Target,
                              const TargetSignal &Signal) {
  // Responses overtake each other. One without a limit withdraws it only if its
  // request was sent after the limit had been named, to this node or another.
  if (!Signal.m_perSecond &&
      (!limitOf(Target) || SentAt <= m_records.statedAt(Target.m_id)))
    return false;
  TargetLimit Limit{Target.m_id, Target.m_instance, Signal.m_perSecond, 0};
  m_heard[Target.m_id] = {Limit, Now};
  bool Changed = m_records.record(Now, Limit);
  m_news = m_news || Changed;
  return Changed;
}

void TargetSignals::learn(Instant Now, const TargetLimitList &List) {
  m_listed.clear();
  for (const TargetLimit &Limit : List.m_limits) {
    (void)m_listed.record(Now, Limit);
    (void)m_records.record(Now, Limit);
  }
  std::erase_if(m_heard, [Now](const auto &Entry) {
    return Now - Entry.second.m_at > internal::MaxStatementAge;
  });
}

void TargetSignals::setNodes(std::int64_t Nodes) {
  m_nodes = static_cast<double>(std::max<std::int64_t>(1, Nodes));
}

void TargetSignals::retain(const std::map<TargetId, ServingTarget> &Targets) {
  auto Unlisted = [&Targets](const auto &Entry) {
    return Targets.count(Entry.first) == 0;
  };
  std::erase_if(m_heard, Unlisted);
  std::erase_if(m_tokens, Unlisted);
}

std::optional<double>
TargetSignals::limitOf(const ServingTarget &Target) const {
  return m_records.limitOf(Target.m_id, Target.m_instance);
}

Instant TargetSignals::nextUse(Instant Now, const ServingTarget &Target,
                               absl::BitGenRef Random) {
  return std::max(pauseEnd(Target), nextPermission(Now, Target, Random));
}

Instant TargetSignals::nextPermission(Instant Now, const ServingTarget &Target,
                                      absl::BitGenRef Random) {
  std::optional<double> Limit = limitOf(Target);
  if (!Limit) {
    m_tokens.erase(Target.m_id);
    return Now;
  }
  double PerSecond = std::max(*Limit, internal::MinPerSecond);
  // Together the nodes hold at most what the target takes in a second, and one
  // request, which matters where it takes less than one.
  absl::Duration Lifetime = absl::Seconds(1 + 1 / PerSecond);
  auto [At, New] = m_tokens.try_emplace(Target.m_id, Now, PerSecond / m_nodes,
                                        Lifetime, Random);
  if (!New)
    At->second.setRate(Now, PerSecond / m_nodes, Lifetime);
  return At->second.next(Now);
}

void TargetSignals::onSend(Instant Now, const TargetId &Target) {
  auto Found = m_tokens.find(Target);
  if (Found != m_tokens.end())
    Found->second.take(Now);
}

void TargetSignals::addReports(Instant Now, FeedRequest &Request) {
  m_news = false;
  m_records.expire(Now, internal::MaxStatementAge);
  for (const auto &[Target, Heard] : m_heard) {
    if (m_listed.agreesWith(Heard.m_limit))
      continue;
    Request.m_limits.push_back(Heard.m_limit);
    Request.m_limits.back().m_ageMicros =
        absl::ToInt64Microseconds(Now - Heard.m_at);
  }
}

} // namespace turmericdyke
