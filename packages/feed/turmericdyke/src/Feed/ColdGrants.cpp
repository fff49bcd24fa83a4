#include "turmericdyke/src/Feed/ColdGrants.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "turmericdyke/src/Feed/ColdShare.h"
#include "turmericdyke/src/Fleet/FeedMessage.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Nodes ask every 250 ms. Permissions of so long accumulate, so that a few
/// nodes can use the whole rate.
constexpr double FillTime = 0.25;
/// A node turns to its equal part when it has not heard from the leader for two
/// seconds, and sends nothing without a lease, which ends after four.
constexpr absl::Duration SilentAfter = absl::Milliseconds(1500);
constexpr absl::Duration ForgottenAfter = absl::Seconds(7);
/// A target that becomes cold again shortly after keeps its account.
constexpr absl::Duration AccountKept = absl::Seconds(5);
/// Requests of a node are smoothed over this time.
constexpr absl::Duration RateTime = absl::Seconds(2);
/// A node with fewer requests a second gets a grant only if others leave one.
constexpr double BusyRate = 0.5;
constexpr double IdleReserve = 1;
/// A node that holds grants for all requests that it expects within their
/// lifetime lets many of them lapse.
constexpr double UsedFraction = 0.6;
/// The rest of the lifetime of a grant that is renewed: one interval of the
/// node and a margin.
constexpr absl::Duration RenewedBefore = absl::Milliseconds(300);

/// The most that `Silent` nodes with equal parts send in a second.
double reserved(double PerSecond, double Nodes, double Silent) {
  if (Silent <= 0)
    return 0;
  ColdShare Share = coldShare(PerSecond, Nodes);
  double Each =
      Share.m_perSecond * (1 + absl::ToDoubleSeconds(Share.m_lifetime));
  double Mean = Silent * Each;
  return std::min(Silent * (Each + 1), Mean + 5 * std::sqrt(Mean) + 1);
}

} // namespace
} // namespace internal

double grantRate(double PerSecond, double Nodes, double Silent) {
  double Most =
      2 * PerSecond - internal::reserved(PerSecond, Nodes, Silent) - 1;
  double Window =
      1 + absl::ToDoubleSeconds(ColdGrantLifetime) + internal::FillTime;
  return std::clamp(Most / Window, 0.0, PerSecond);
}

void ColdGrants::setTargets(Instant Now,
                            absl::Span<const ServingTarget> Targets) {
  m_published = Now;
  for (const ServingTarget &Target : Targets) {
    if (!Target.m_coldPerSecond || !Target.m_coldLent)
      continue;
    auto [At, New] = m_buckets.try_emplace(Target.m_id);
    Bucket &Account = At->second;
    if (New)
      Account.m_filledAt = Now;
    Account.m_generation = Target.m_generation;
    Account.m_perSecond = *Target.m_coldPerSecond;
    Account.m_lastCold = Now;
  }
  std::erase_if(m_buckets, [Now](const auto &Entry) {
    return Now - Entry.second.m_lastCold > internal::AccountKept;
  });
}

double ColdGrants::silentNodes(Instant Now) const {
  return static_cast<double>(std::count_if(
      m_clients.begin(), m_clients.end(), [Now](const auto &Entry) {
        return Now - Entry.second.m_heard >= internal::SilentAfter;
      }));
}

void ColdGrants::fill(Instant Now, Bucket &Value) const {
  double Rate =
      grantRate(Value.m_perSecond, static_cast<double>(m_clients.size()),
                silentNodes(Now));
  double Filled = absl::ToDoubleSeconds(Now - Value.m_filledAt) * Rate;
  Value.m_level =
      std::min(Value.m_level + Filled, 1 + internal::FillTime * Rate);
  Value.m_filledAt = Now;
}

std::size_t ColdGrants::lacking(Instant Now, const FeedRequest &Request,
                                Client &Value) {
  absl::Duration Elapsed = std::clamp(
      Now - Value.m_heard, absl::Milliseconds(1), internal::RateTime);
  Value.m_heard = Now;
  auto Requests = static_cast<double>(Request.m_modelRequests);
  double Weight = absl::FDivDuration(Elapsed, internal::RateTime);
  Value.m_rate +=
      Weight * (Requests / absl::ToDoubleSeconds(Elapsed) - Value.m_rate);
  double Used = Value.m_rate * absl::ToDoubleSeconds(ColdGrantLifetime) *
                internal::UsedFraction;
  auto Wanted = static_cast<std::size_t>(
      std::clamp(Used, 1.0, static_cast<double>(MaxColdGrants)));
  // Requests since the last report have used grants, the oldest ones first.
  for (std::int64_t Count = 0;
       Count < Request.m_modelRequests && !Value.m_issued.empty(); ++Count)
    Value.m_issued.pop_front();
  while (!Value.m_issued.empty() &&
         Now - Value.m_issued.front() >=
             ColdGrantLifetime - internal::RenewedBefore)
    Value.m_issued.pop_front();
  return Wanted - std::min(Wanted, Value.m_issued.size());
}

std::vector<ColdGrant> ColdGrants::grant(Instant Now,
                                         const FeedRequest &Request) {
  std::vector<ColdGrant> Grants;
  if (Request.m_relay || !Request.m_follows)
    return Grants;
  Client &Asking = m_clients[Request.m_node];
  std::size_t Most = lacking(Now, Request, Asking);
  std::erase_if(m_clients, [Now](const auto &Entry) {
    return Now - Entry.second.m_heard >= internal::ForgottenAfter;
  });
  if (m_buckets.empty())
    return Grants;
  double Left = Asking.m_rate >= internal::BusyRate ? 0 : internal::IdleReserve;
  auto At = std::next(m_buckets.begin(),
                      static_cast<std::ptrdiff_t>(m_next++ % m_buckets.size()));
  for (std::size_t Seen = 0; Seen < m_buckets.size(); ++Seen, ++At) {
    if (At == m_buckets.end())
      At = m_buckets.begin();
    Bucket &Account = At->second;
    fill(Now, Account);
    bool Cold = Account.m_lastCold == m_published;
    if (!Cold || Account.m_level < 1 + Left || Grants.size() >= Most)
      continue;
    Account.m_level -= 1;
    Asking.m_issued.push_back(Now);
    Grants.push_back({At->first, Account.m_generation});
  }
  return Grants;
}

} // namespace turmericdyke
