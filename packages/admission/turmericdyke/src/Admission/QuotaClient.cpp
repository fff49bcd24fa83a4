#include "turmericdyke/src/Admission/QuotaClient.h"

#include <algorithm>
#include <cassert>

namespace turmericdyke {

namespace {

constexpr std::size_t MaxSent = 64;
/// Part of the lease that is used; the rest allows for clocks that run at
/// different speeds.
constexpr double UsedLease = 0.9;

} // namespace

QuotaClient::QuotaClient(NodeId Node, std::uint64_t Incarnation,
                         QuotaOptions Options)
    : m_node(std::move(Node)), m_incarnation(Incarnation), m_options(Options) {}

QuotaRequest QuotaClient::makeRequest(Instant Now,
                                      absl::Span<const QuotaDemand> Demands) {
  m_sent.push_back({++m_sequence, Now});
  if (m_sent.size() > MaxSent)
    m_sent.pop_front();
  return QuotaRequest{m_node,
                      m_incarnation,
                      m_sequence,
                      m_accepted,
                      {Demands.begin(), Demands.end()}};
}

void QuotaClient::onGrant(Instant Now, const QuotaGrant &Grant) {
  if (Grant.m_node != m_node || Grant.m_incarnation != m_incarnation)
    return;
  auto Found =
      std::find_if(m_sent.begin(), m_sent.end(), [&](const Sent &Entry) {
        return Entry.m_sequence == Grant.m_sequence;
      });
  if (Found == m_sent.end())
    return;
  Instant Expiry = Found->m_time + Grant.m_lease * UsedLease;
  if (Expiry <= Now)
    return;
  // Grants for this request and earlier ones are not taken any more.
  m_sent.erase(m_sent.begin(), std::next(Found));
  m_accepted = Grant.m_sequence;
  m_expiry = Expiry;
  m_amounts.clear();
  for (const QuotaAmount &Amount : Grant.m_amounts)
    m_amounts[Amount.m_limit] = Amount.m_amount;
}

std::int64_t QuotaClient::amount(Instant Now, const LimitId &Limit,
                                 std::int64_t Declared) const {
  std::int64_t Floor = quotaFloor(m_options, Declared);
  auto Found = m_amounts.find(Limit);
  if (!hasLease(Now) || Found == m_amounts.end())
    return Floor;
  return Floor + Found->second;
}

CustomerShare leasedShare(const Customer &Settings, std::int64_t Leased) {
  std::int64_t Limit = std::max<std::int64_t>(1, Settings.m_capacityLimit);
  std::int64_t Held = (Settings.m_capacity * Leased + Limit - 1) / Limit;
  return CustomerShare{std::min(Held, Leased), Leased};
}

} // namespace turmericdyke
