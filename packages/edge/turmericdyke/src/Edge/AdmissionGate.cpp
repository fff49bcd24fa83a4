#include "turmericdyke/src/Edge/AdmissionGate.h"

#include <set>
#include <utility>

namespace turmericdyke {

namespace internal {
namespace {

/// How often a waiting thread makes the controller expire queued requests.
constexpr absl::Duration QueueTickInterval = absl::Milliseconds(50);

} // namespace
} // namespace internal

AdmissionGate::Shard *AdmissionGate::find(const std::string &Pool) const {
  absl::MutexLock Lock(&m_lock);
  auto Found = m_shards.find(Pool);
  return Found == m_shards.end() ? nullptr : Found->second.get();
}

AdmissionGate::Shard &AdmissionGate::findOrAdd(const std::string &Pool) {
  absl::MutexLock Lock(&m_lock);
  std::unique_ptr<Shard> &PoolShard = m_shards[Pool];
  if (!PoolShard)
    PoolShard = std::make_unique<Shard>();
  return *PoolShard;
}

void AdmissionGate::configure(Instant Now, const ClusterView &View) {
  {
    absl::MutexLock Lock(&m_lock);
    if (m_configured == View.m_declaration)
      return;
    m_configured = View.m_declaration;
    // A pool without customers keeps its shard, as requests may still be
    // running in it.
    for (const auto &[Id, Settings] : View.m_declaration->m_customers) {
      std::unique_ptr<Shard> &PoolShard =
          m_shards[poolName(Settings.m_resolved)];
      if (!PoolShard)
        PoolShard = std::make_unique<Shard>();
    }
    for (auto &[Pool, PoolShard] : m_shards) {
      absl::MutexLock ShardLock(&PoolShard->m_lock);
      std::map<CustomerId, Customer> Previous =
          std::exchange(PoolShard->m_customers, {});
      for (const auto &[Id, Settings] : View.m_declaration->m_customers) {
        if (poolName(Settings.m_resolved) != Pool)
          continue;
        PoolShard->m_controller.setCustomer(Now, Settings);
        PoolShard->m_controller.setLongShare(Now,
                                             Settings.m_resolved.m_longShare);
        PoolShard->m_customers.emplace(Id, Settings);
        Previous.erase(Id);
      }
      for (const auto &[Id, Settings] : Previous)
        PoolShard->m_controller.removeCustomer(Now, Id);
      takeDecisions(*PoolShard);
    }
  }
}

void AdmissionGate::setSlots(Instant Now, const std::string &Pool,
                             std::int64_t Slots, std::int64_t Total) {
  Shard &PoolShard = findOrAdd(Pool);
  absl::MutexLock Lock(&PoolShard.m_lock);
  PoolShard.m_controller.setLeaseable(Total > 0);
  if (PoolShard.m_controller.slots() == Slots)
    return;
  PoolShard.m_controller.setSlots(Now, Slots);
  takeDecisions(PoolShard);
}

void AdmissionGate::setShare(Instant Now, const std::string &Pool,
                             const CustomerId &Customer, CustomerShare Share) {
  Shard &PoolShard = findOrAdd(Pool);
  absl::MutexLock Lock(&PoolShard.m_lock);
  PoolShard.m_controller.setShare(Now, Customer, Share);
  takeDecisions(PoolShard);
}

void AdmissionGate::takeDecisions(Shard &PoolShard) {
  for (AdmissionDecision &Decision : PoolShard.m_controller.takeDecisions()) {
    RequestId Id = Decision.m_id;
    PoolShard.m_decided.insert_or_assign(std::move(Id), std::move(Decision));
  }
}

AdmissionDecision AdmissionGate::acquire(const std::string &Pool,
                                         const AdmissionRequest &Request) {
  Shard &PoolShard = findOrAdd(Pool);
  absl::MutexLock Lock(&PoolShard.m_lock);
  AdmissionDecision Decision =
      PoolShard.m_controller.offer(monotonicNow(), Request);
  takeDecisions(PoolShard);
  if (Decision.m_outcome != AdmissionOutcome::Queued)
    return Decision;
  auto Decided = [&]() ABSL_SHARED_LOCKS_REQUIRED(PoolShard.m_lock) {
    return PoolShard.m_decided.count(Request.m_id) > 0;
  };
  while (!PoolShard.m_lock.AwaitWithTimeout(absl::Condition(&Decided),
                                            internal::QueueTickInterval)) {
    PoolShard.m_controller.tick(monotonicNow());
    takeDecisions(PoolShard);
  }
  auto Found = PoolShard.m_decided.find(Request.m_id);
  Decision = Found->second;
  PoolShard.m_decided.erase(Found);
  return Decision;
}

void AdmissionGate::firstToken(const std::string &Pool,
                               const RequestId &Request) {
  Shard *PoolShard = find(Pool);
  absl::MutexLock Lock(&PoolShard->m_lock);
  PoolShard->m_controller.firstToken(monotonicNow(), Request);
}

void AdmissionGate::reclassify(const std::string &Pool,
                               const RequestId &Request, RequestClass Class) {
  Shard *PoolShard = find(Pool);
  absl::MutexLock Lock(&PoolShard->m_lock);
  PoolShard->m_controller.reclassify(monotonicNow(), Request, Class);
  takeDecisions(*PoolShard);
}

void AdmissionGate::release(const std::string &Pool, const RequestId &Request) {
  Shard *PoolShard = find(Pool);
  absl::MutexLock Lock(&PoolShard->m_lock);
  PoolShard->m_controller.finish(monotonicNow(), Request);
  takeDecisions(*PoolShard);
}

AdmissionGate::Usage AdmissionGate::usage(const std::string &Pool,
                                          const CustomerId &Customer) const {
  Shard *PoolShard = find(Pool);
  if (PoolShard == nullptr)
    return {};
  absl::MutexLock Lock(&PoolShard->m_lock);
  return {PoolShard->m_controller.runningOf(Customer),
          PoolShard->m_controller.queuedOf(Customer)};
}

} // namespace turmericdyke
