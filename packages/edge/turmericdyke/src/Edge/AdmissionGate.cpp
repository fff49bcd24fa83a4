#include "turmericdyke/src/Edge/AdmissionGate.h"

#include <set>
#include <utility>

namespace turmericdyke {

namespace internal {
namespace {

/// How often a waiting thread lets the controller expire queued requests.
constexpr absl::Duration GateTick = absl::Milliseconds(50);

} // namespace
} // namespace internal

AdmissionGate::Shard *AdmissionGate::find(const std::string &Pool) const {
  absl::MutexLock Lock(&m_lock);
  auto Found = m_shards.find(Pool);
  return Found == m_shards.end() ? nullptr : Found->second.get();
}

AdmissionGate::Shard &AdmissionGate::findOrAdd(const std::string &Pool) {
  absl::MutexLock Lock(&m_lock);
  std::unique_ptr<Shard> &Owner = m_shards[Pool];
  if (!Owner)
    Owner = std::make_unique<Shard>();
  return *Owner;
}

void AdmissionGate::configure(Instant Now, const ClusterView &View) {
  {
    absl::MutexLock Lock(&m_lock);
    if (m_configured == View.m_declaration)
      return;
    m_configured = View.m_declaration;
    // A pool that lost its last customer keeps its shard: requests may still
    // run in it.
    for (const auto &[Id, Settings] : View.m_declaration->m_customers) {
      std::unique_ptr<Shard> &Owner = m_shards[poolName(Settings.m_resolved)];
      if (!Owner)
        Owner = std::make_unique<Shard>();
    }
    for (auto &[Pool, Owner] : m_shards) {
      absl::MutexLock ShardLock(&Owner->m_lock);
      std::map<CustomerId, Customer> Previous =
          std::exchange(Owner->m_customers, {});
      for (const auto &[Id, Settings] : View.m_declaration->m_customers) {
        if (poolName(Settings.m_resolved) != Pool)
          continue;
        Owner->m_controller.setCustomer(Now, Settings);
        Owner->m_controller.setLongShare(Now, Settings.m_resolved.m_longShare);
        Owner->m_customers.emplace(Id, Settings);
        Previous.erase(Id);
      }
      for (const auto &[Id, Settings] : Previous)
        Owner->m_controller.removeCustomer(Now, Id);
      takeDecisions(*Owner);
    }
  }
}

void AdmissionGate::setSlots(Instant Now, const std::string &Pool,
                             std::int64_t Slots, std::int64_t Total) {
  Shard &Owner = findOrAdd(Pool);
  absl::MutexLock Lock(&Owner.m_lock);
  Owner.m_controller.setLeaseable(Total > 0);
  if (Owner.m_controller.slots() == Slots)
    return;
  Owner.m_controller.setSlots(Now, Slots);
  takeDecisions(Owner);
}

void AdmissionGate::setShare(Instant Now, const std::string &Pool,
                             const CustomerId &Customer, CustomerShare Share) {
  Shard &Owner = findOrAdd(Pool);
  absl::MutexLock Lock(&Owner.m_lock);
  Owner.m_controller.setShare(Now, Customer, Share);
  takeDecisions(Owner);
}

void AdmissionGate::takeDecisions(Shard &Owner) {
  for (AdmissionDecision &Decision : Owner.m_controller.takeDecisions()) {
    RequestId Id = Decision.m_id;
    Owner.m_decided.insert_or_assign(std::move(Id), std::move(Decision));
  }
}

AdmissionDecision AdmissionGate::acquire(const std::string &Pool,
                                         const AdmissionRequest &Request) {
  Shard &Owner = findOrAdd(Pool);
  absl::MutexLock Lock(&Owner.m_lock);
  AdmissionDecision Decision =
      Owner.m_controller.offer(monotonicNow(), Request);
  takeDecisions(Owner);
  if (Decision.m_outcome != AdmissionOutcome::Queued)
    return Decision;
  auto Decided = [&]() ABSL_SHARED_LOCKS_REQUIRED(Owner.m_lock) {
    return Owner.m_decided.count(Request.m_id) > 0;
  };
  while (!Owner.m_lock.AwaitWithTimeout(absl::Condition(&Decided),
                                        internal::GateTick)) {
    Owner.m_controller.tick(monotonicNow());
    takeDecisions(Owner);
  }
  auto Found = Owner.m_decided.find(Request.m_id);
  Decision = Found->second;
  Owner.m_decided.erase(Found);
  return Decision;
}

void AdmissionGate::firstToken(const std::string &Pool,
                               const RequestId &Request) {
  Shard *Owner = find(Pool);
  absl::MutexLock Lock(&Owner->m_lock);
  Owner->m_controller.firstToken(monotonicNow(), Request);
}

void AdmissionGate::reclassify(const std::string &Pool,
                               const RequestId &Request, RequestClass Class) {
  Shard *Owner = find(Pool);
  absl::MutexLock Lock(&Owner->m_lock);
  Owner->m_controller.reclassify(monotonicNow(), Request, Class);
  takeDecisions(*Owner);
}

void AdmissionGate::release(const std::string &Pool, const RequestId &Request) {
  Shard *Owner = find(Pool);
  absl::MutexLock Lock(&Owner->m_lock);
  Owner->m_controller.finish(monotonicNow(), Request);
  takeDecisions(*Owner);
}

AdmissionGate::Usage AdmissionGate::usage(const std::string &Pool,
                                          const CustomerId &Customer) const {
  Shard *Owner = find(Pool);
  if (Owner == nullptr)
    return {};
  absl::MutexLock Lock(&Owner->m_lock);
  return {Owner->m_controller.runningOf(Customer),
          Owner->m_controller.queuedOf(Customer)};
}

} // namespace turmericdyke
