#include "turmericdyke/src/Admission/QuotaAllocator.h"

#include <algorithm>
#include <cassert>

namespace turmericdyke {

namespace {

/// Unacknowledged leases kept per node. A node that renews every 250 ms has 8
/// at the default lease time; more requests wait until some have expired.
constexpr std::size_t MaxLeases = 32;
/// Time after which the parts left by rounding go to other nodes, so that a
/// limit below the number of nodes does not pass the same ones over for good.
constexpr absl::Duration RotationPeriod = absl::Seconds(10);

std::int64_t need(const QuotaDemand &Demand) {
  return std::max<std::int64_t>({Demand.m_demand, Demand.m_inUse, 0});
}

} // namespace

QuotaAllocator::QuotaAllocator(Instant Start, QuotaOptions Options)
    : m_options(Options), m_firstGrant(Start + Options.m_lease) {
  assert(Options.m_floorShare >= 0 && Options.m_floorShare <= 1 &&
         "the floor is a share of the limit");
}

void QuotaAllocator::setLimit(const LimitId &Limit, std::int64_t Amount) {
  m_limits[Limit] = Amount;
}

void QuotaAllocator::removeLimit(const LimitId &Limit) {
  m_limits.erase(Limit);
}

std::optional<QuotaGrant> QuotaAllocator::request(Instant Now,
                                                  const QuotaRequest &Request) {
  expire(Now);
  if (!accept(Now, Request) || Now < m_firstGrant)
    return std::nullopt;
  Node &N = m_nodes[Request.m_node];
  if (N.m_leases.size() >= MaxLeases)
    return std::nullopt;
  QuotaGrant Grant{Request.m_node,
                   Request.m_incarnation,
                   Request.m_sequence,
                   m_options.m_lease,
                   {}};
  Lease Granted{Request.m_sequence, Now + m_options.m_lease, {}};
  for (const auto &[Limit, Demand] : N.m_demands) {
    auto Found = m_limits.find(Limit);
    if (Found == m_limits.end())
      continue;
    std::int64_t Floors = quotaFloor(m_options, Found->second) *
                          std::max<std::int64_t>(0, m_options.m_maxNodes);
    std::int64_t Leasable = Found->second - Floors;
    std::int64_t Free = Leasable - countedOfOthers(Request.m_node, Limit);
    std::int64_t Target = target(Now, Request.m_node, Limit, Leasable);
    std::int64_t Amount = std::max<std::int64_t>(0, std::min(Target, Free));
    Grant.m_amounts.push_back({Limit, Amount});
    Granted.m_amounts[Limit] = Amount;
  }
  N.m_leases.push_back(std::move(Granted));
  return Grant;
}

bool QuotaAllocator::accept(Instant Now, const QuotaRequest &Request) {
  auto Found = m_nodes.find(Request.m_node);
  bool IsNew = Found == m_nodes.end();
  bool IsFull =
      m_options.m_maxNodes > 0 &&
      m_nodes.size() >= static_cast<std::size_t>(m_options.m_maxNodes);
  if (IsNew && IsFull)
    return false;
  Node &N = m_nodes[Request.m_node];
  bool IsLate = Request.m_incarnation < N.m_incarnation ||
                (Request.m_incarnation == N.m_incarnation &&
                 Request.m_sequence <= N.m_sequence);
  if (!IsNew && IsLate)
    return false;
  std::erase_if(N.m_leases, [&](const Lease &L) {
    return L.m_sequence < Request.m_accepted;
  });
  N.m_incarnation = Request.m_incarnation;
  N.m_sequence = Request.m_sequence;
  N.m_lastHeard = Now;
  N.m_demands.clear();
  for (const QuotaDemand &Demand : Request.m_demands)
    if (m_limits.contains(Demand.m_limit))
      N.m_demands[Demand.m_limit] = Demand;
  return true;
}

void QuotaAllocator::expire(Instant Now) {
  for (auto &[Id, N] : m_nodes)
    std::erase_if(N.m_leases,
                  [&](const Lease &L) { return L.m_expiry <= Now; });
  std::erase_if(m_nodes, [&](const auto &Entry) {
    const Node &N = Entry.second;
    return N.m_lastHeard + m_options.m_lease <= Now && N.m_leases.empty();
  });
}

std::int64_t QuotaAllocator::counted(const Node &N,
                                     const LimitId &Limit) const {
  std::int64_t Most = 0;
  for (const Lease &L : N.m_leases) {
    auto Found = L.m_amounts.find(Limit);
    if (Found != L.m_amounts.end())
      Most = std::max(Most, Found->second);
  }
  auto Demand = N.m_demands.find(Limit);
  if (Demand == N.m_demands.end())
    return Most;
  // Requests that still run from an earlier, larger lease take up the limit;
  // those within the floor are accounted for already.
  std::int64_t Floor = quotaFloor(m_options, m_limits.at(Limit));
  return std::max(Most, Demand->second.m_inUse - Floor);
}

std::int64_t QuotaAllocator::countedOfOthers(const NodeId &Id,
                                             const LimitId &Limit) const {
  std::int64_t Sum = 0;
  for (const auto &[Other, N] : m_nodes)
    if (Other != Id)
      Sum += counted(N, Limit);
  return Sum;
}

std::int64_t QuotaAllocator::target(Instant Now, const NodeId &Id,
                                    const LimitId &Limit,
                                    std::int64_t Leasable) const {
  std::vector<std::pair<NodeId, std::int64_t>> Needs;
  std::int64_t Total = 0;
  for (const auto &[Other, N] : m_nodes) {
    auto Found = N.m_demands.find(Limit);
    if (Found == N.m_demands.end())
      continue;
    Needs.emplace_back(Other, need(Found->second));
    Total += Needs.back().second;
  }
  auto Count = static_cast<std::int64_t>(Needs.size());
  std::int64_t Spare = std::max<std::int64_t>(0, Leasable - Total);
  // Running sums are rounded instead of parts, so that the parts add up. What
  // is not needed is divided equally, for requests that arrive before the next
  // renewal.
  double Scale = Total > Leasable ? static_cast<double>(Leasable) /
                                        static_cast<double>(Total)
                                  : 1;
  double Equal = static_cast<double>(Spare) / static_cast<double>(Count);
  std::int64_t Period =
      absl::ToUnixSeconds(Now) / absl::ToInt64Seconds(RotationPeriod);
  auto First = static_cast<std::size_t>(((Period % Count) + Count) % Count);
  double Sum = 0;
  for (std::size_t Index = 0; Index < Needs.size(); ++Index) {
    const auto &[Other, Need] = Needs[(First + Index) % Needs.size()];
    double Next = Sum + static_cast<double>(Need) * Scale + Equal;
    if (Other == Id)
      return static_cast<std::int64_t>(Next + 1e-6) -
             static_cast<std::int64_t>(Sum + 1e-6);
    Sum = Next;
  }
  return 0;
}

} // namespace turmericdyke
