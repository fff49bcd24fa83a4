#include "turmericdyke/src/Serving/TargetSignals.h"

#include <algorithm>

#include "turmericdyke/src/Catalog/Catalog.h"
#include "turmericdyke/src/Feed/ColdShare.h"
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
/// Until the leader has told the nodes that a target is warm.
constexpr absl::Duration WarmMargin = absl::Milliseconds(500);
/// Grants come with the responses to requests at this interval.
constexpr absl::Duration GrantInterval = absl::Milliseconds(250);
/// A leader that is not heard for so long has been replaced, or does not reach
/// this node. It reserves the equal parts of such nodes; see `ColdGrants`.
constexpr absl::Duration LeaderSilence = absl::Seconds(2);

} // namespace
} // namespace internal

TargetSignalNews TargetSignals::onResponse(Instant Now, Instant SentAt,
                                           const ServingTarget &Target,
                                           const TargetSignal &Signal) {
  TargetSignalNews News;
  News.m_limit = hearLimit(Now, SentAt, Target, Signal);
  News.m_leaving = Signal.m_leaving && hearLeaving(Now, Target);
  News.m_paused = Signal.m_pause && hearPause(Now, Target, *Signal.m_pause);
  News.m_cold = Signal.m_coldFor && hearCold(Now, Target, *Signal.m_coldFor);
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

bool TargetSignals::hearCold(Instant Now, const ServingTarget &Target,
                             absl::Duration Remaining) {
  bool Known = coldRate(Now, Target).has_value();
  // A warm target ends what it has stated itself. What the leader publishes
  // lasts until the leader takes it away.
  if (Remaining <= absl::ZeroDuration())
    m_coldHeard.erase(Target.m_id);
  else if (m_coldServices.count(Target.m_service) > 0)
    m_coldHeard[Target.m_id] = {Target.m_instance, Now + Remaining};
  return !Known && coldRate(Now, Target).has_value();
}

std::optional<double>
TargetSignals::coldRate(Instant Now, const ServingTarget &Target) const {
  if (Target.m_coldPerSecond)
    return Target.m_coldPerSecond;
  auto Heard = m_coldHeard.find(Target.m_id);
  auto Service = m_coldServices.find(Target.m_service);
  if (Heard == m_coldHeard.end() || Service == m_coldServices.end() ||
      Heard->second.m_instance != Target.m_instance ||
      Heard->second.m_until <= Now)
    return std::nullopt;
  // The bounds on a cold server are settings of the coordinators. Half of the
  // rate that it can take is within any of them.
  return Service->second.m_perSecond / 2;
}

void TargetSignals::setServices(absl::Span<const ServiceEntry> Services) {
  m_coldServices.clear();
  for (const ServiceEntry &Service : Services)
    if (Service.m_coldPerSecond > 0)
      m_coldServices[Service.m_id] = {Service.m_coldStart,
                                      Service.m_coldPerSecond};
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
  std::erase_if(m_coldHeard, Unlisted);
  std::erase_if(m_grants, Unlisted);
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

Instant TargetSignals::expectedUse(Instant Now, const ServingTarget &Target,
                                   absl::BitGenRef Random) {
  Instant Permission = nextPermission(Now, Target, Random);
  auto Service = m_coldServices.find(Target.m_service);
  if (Service != m_coldServices.end() && coldRate(Now, Target) &&
      !limitOf(Target))
    Permission = std::min(Permission,
                          Now + Service->second.m_start + internal::WarmMargin);
  return std::max(pauseEnd(Target), Permission);
}

Instant TargetSignals::nextPermission(Instant Now, const ServingTarget &Target,
                                      absl::BitGenRef Random) {
  bool Lent = isLent(Now, Target);
  Instant Granted =
      Lent && !hasGrant(Now, Target) ? Now + internal::GrantInterval : Now;
  std::optional<ColdShare> Share = shareOf(Now, Target, Lent);
  if (!Share) {
    m_tokens.erase(Target.m_id);
    return Granted;
  }
  auto [At, New] = m_tokens.try_emplace(Target.m_id, Now, Share->m_perSecond,
                                        Share->m_lifetime, Random);
  if (!New)
    At->second.setRate(Now, Share->m_perSecond, Share->m_lifetime);
  return std::max(Granted, At->second.next(Now));
}

bool TargetSignals::isLent(Instant Now, const ServingTarget &Target) const {
  return Target.m_coldPerSecond && Target.m_coldLent &&
         Now - m_leaderHeard < internal::LeaderSilence;
}

bool TargetSignals::hasGrant(Instant Now, const ServingTarget &Target) {
  auto Found = m_grants.find(Target.m_id);
  if (Found == m_grants.end())
    return false;
  std::erase_if(Found->second.m_until,
                [Now](Instant Until) { return Until <= Now; });
  return !Found->second.m_until.empty() &&
         Found->second.m_generation == Target.m_generation;
}

void TargetSignals::takeGrants(Instant Until,
                               absl::Span<const ColdGrant> Grants) {
  for (const ColdGrant &Grant : Grants) {
    Granted &Account = m_grants[Grant.m_target];
    if (Account.m_generation != Grant.m_generation)
      Account.m_until.clear();
    Account.m_generation = Grant.m_generation;
    Account.m_until.push_back(Until);
  }
}

std::optional<ColdShare> TargetSignals::shareOf(Instant Now,
                                                const ServingTarget &Target,
                                                bool Lent) const {
  std::optional<ColdShare> Share;
  if (std::optional<double> Limit = limitOf(Target)) {
    double PerSecond = std::max(*Limit, internal::MinPerSecond);
    // Together the nodes hold at most what the target takes in a second, and
    // one request, which matters where it takes less than one.
    Share = {PerSecond / m_nodes, absl::Seconds(1 + 1 / PerSecond)};
  }
  std::optional<double> Cold = coldRate(Now, Target);
  if (Cold && !Lent) {
    ColdShare Lower = coldShare(*Cold, m_nodes);
    if (Share) {
      Lower.m_perSecond = std::min(Lower.m_perSecond, Share->m_perSecond);
      Lower.m_lifetime = std::min(Lower.m_lifetime, Share->m_lifetime);
    }
    Share = Lower;
  }
  return Share;
}

void TargetSignals::onSend(Instant Now, const TargetId &Target) {
  auto Found = m_tokens.find(Target);
  if (Found != m_tokens.end())
    Found->second.take(Now);
  auto Granted = m_grants.find(Target);
  if (Granted != m_grants.end() && !Granted->second.m_until.empty())
    Granted->second.m_until.pop_front();
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
