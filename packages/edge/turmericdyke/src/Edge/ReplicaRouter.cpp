#include "turmericdyke/src/Edge/ReplicaRouter.h"

namespace turmericdyke {

std::optional<ServingReplica>
ReplicaRouter::start(const ClusterView &View, const std::string &Pool,
                     const std::set<ReplicaId> &Excluded) {
  auto Found = View.m_pools.find(Pool);
  if (Found == View.m_pools.end())
    return std::nullopt;
  absl::MutexLock Lock(&m_lock);
  const ServingReplica *Best = nullptr;
  for (const ServingReplica &Candidate : Found->second) {
    if (Excluded.count(Candidate.m_replica) != 0)
      continue;
    if (Best == nullptr ||
        m_outstanding[Candidate.m_replica] < m_outstanding[Best->m_replica])
      Best = &Candidate;
  }
  if (Best == nullptr)
    return std::nullopt;
  ++m_outstanding[Best->m_replica];
  return *Best;
}

void ReplicaRouter::finish(const ReplicaId &Replica) {
  absl::MutexLock Lock(&m_lock);
  auto Found = m_outstanding.find(Replica);
  if (Found != m_outstanding.end() && --Found->second == 0)
    m_outstanding.erase(Found);
}

} // namespace turmericdyke
