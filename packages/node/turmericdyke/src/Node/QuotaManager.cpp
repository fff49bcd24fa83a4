#include "turmericdyke/src/Node/QuotaManager.h"

#include <algorithm>
#include <utility>

namespace turmericdyke {

namespace internal {
namespace {

/// A change in demand affects the shares within two intervals.
constexpr absl::Duration QuotaInterval = absl::Milliseconds(200);

QuotaOptions quotaOptions(std::size_t Nodes) {
  QuotaOptions Options;
  Options.m_maxNodes = static_cast<std::int64_t>(Nodes);
  return Options;
}

} // namespace
} // namespace internal

QuotaManager::QuotaManager(NodeId Node, std::uint64_t Incarnation,
                           std::size_t Nodes)
    : m_node(std::move(Node)), m_nodes(Nodes),
      m_options(internal::quotaOptions(Nodes)),
      m_holder(m_node, Incarnation, m_options) {}

void QuotaManager::updateAllocator(Instant Now, const QuotaInput &Input) {
  if (!Input.m_leads) {
    m_allocator.reset();
    return;
  }
  if (!m_allocator)
    m_allocator.emplace(Now, m_options);
  for (const auto &[Pool, Slots] : Input.m_slots)
    m_allocator->setLimit(poolLimitId(Pool), Slots);
  for (const auto &[Id, Settings] : Input.m_declaration->m_customers)
    m_allocator->setLimit(customerLimitId(Id), Settings.m_capacityLimit);
}

std::vector<QuotaDemand> QuotaManager::demands(const QuotaInput &Input) const {
  std::vector<QuotaDemand> Demands;
  std::map<std::string, std::int64_t> PoolDemand;
  for (const auto &[Id, Settings] : Input.m_declaration->m_customers) {
    auto Found = Input.m_demand.find(Id);
    std::int64_t Demand = Found == Input.m_demand.end() ? 0 : Found->second;
    Demands.push_back({customerLimitId(Id), Demand, Demand});
    PoolDemand[poolName(Settings.m_resolved)] += Demand;
  }
  for (const auto &[Pool, Demand] : PoolDemand)
    Demands.push_back({poolLimitId(Pool), Demand, Demand});
  return Demands;
}

std::vector<AddressedMessage> QuotaManager::step(Instant Now,
                                                 const QuotaInput &Input) {
  std::vector<AddressedMessage> Messages;
  updateAllocator(Now, Input);
  if (m_nodes <= 1 || Now < m_nextRequest)
    return Messages;
  m_nextRequest = Now + internal::QuotaInterval;
  QuotaRequest Request = m_holder.makeRequest(Now, demands(Input));
  if (m_allocator) {
    std::optional<QuotaGrant> Grant = m_allocator->request(Now, Request);
    if (Grant)
      m_holder.onGrant(Now, *Grant);
  } else if (!Input.m_leader.empty()) {
    Messages.push_back({Input.m_leader, "", std::move(Request)});
  }
  return Messages;
}

void QuotaManager::receive(Instant Now, const QuotaRequest &Request,
                           std::vector<AddressedMessage> &Replies) {
  if (!m_allocator)
    return;
  std::optional<QuotaGrant> Grant = m_allocator->request(Now, Request);
  if (Grant)
    Replies.push_back({Request.m_node, "", std::move(*Grant)});
}

void QuotaManager::receive(Instant Now, const QuotaGrant &Grant) {
  m_holder.onGrant(Now, Grant);
}

QuotaShares QuotaManager::shares(Instant Now, const QuotaInput &Input) const {
  QuotaShares Shares;
  if (m_nodes <= 1) {
    Shares.m_slots = Input.m_slots;
    return Shares;
  }
  for (const auto &[Pool, Slots] : Input.m_slots)
    Shares.m_slots[Pool] = m_holder.amount(Now, poolLimitId(Pool), Slots);
  for (const auto &[Id, Settings] : Input.m_declaration->m_customers) {
    std::int64_t Leased =
        m_holder.amount(Now, customerLimitId(Id), Settings.m_capacityLimit);
    Shares.m_customers[Id] = leasedShare(Settings, Leased);
  }
  return Shares;
}

} // namespace turmericdyke
