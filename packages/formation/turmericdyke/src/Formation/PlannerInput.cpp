#include "turmericdyke/src/Formation/PlannerInput.h"

#include <algorithm>
#include <map>

namespace turmericdyke {

namespace internal {
namespace {

std::int64_t replicasFor(std::int64_t Requests, std::int64_t Slots) {
  std::int64_t Divisor = std::max<std::int64_t>(Slots, 1);
  return (Requests + Divisor - 1) / Divisor;
}

} // namespace
} // namespace internal

std::int64_t PoolView::replicasHeld() const {
  return internal::replicasFor(m_capacityHeld, m_model.m_slotsPerReplica);
}

std::int64_t PoolView::replicasWanted() const {
  std::int64_t Limit = std::max(m_capacityHeld, m_capacityLimit);
  return internal::replicasFor(Limit, m_model.m_slotsPerReplica);
}

ModelSpec PoolView::spec() const {
  return {m_model.m_model, m_model.m_adapters, m_model.m_version};
}

std::vector<PoolView> poolsOf(const Declaration &Value) {
  std::map<std::string, PoolView> Pools;
  for (const auto &[Id, Customer] : Value.m_customers) {
    std::string Name = poolName(Customer.m_resolved);
    PoolView &Pool = Pools[Name];
    Pool.m_name = Name;
    Pool.m_model = Customer.m_resolved;
    Pool.m_capacityHeld += Customer.m_capacity;
    Pool.m_capacityLimit += Customer.m_capacityLimit;
  }
  std::vector<PoolView> Sorted;
  Sorted.reserve(Pools.size());
  for (auto &[Name, Pool] : Pools)
    Sorted.push_back(std::move(Pool));
  return Sorted;
}

} // namespace turmericdyke
