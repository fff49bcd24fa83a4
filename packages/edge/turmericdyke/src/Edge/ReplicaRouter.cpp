#include "turmericdyke/src/Edge/ReplicaRouter.h"

#include <set>
#include <utility>

namespace turmericdyke {

ReplicaRouter::Shard &ReplicaRouter::shardOf(const std::string &Pool) {
  absl::MutexLock Lock(&m_lock);
  std::unique_ptr<Shard> &PoolShard = m_shards[Pool];
  if (!PoolShard)
    PoolShard = std::make_unique<Shard>();
  return *PoolShard;
}

void ReplicaRouter::takeReports(Shard &PoolShard, Instant Now,
                                const std::vector<ServingReplica> &Serving) {
  std::set<ReplicaId> Present;
  for (const ServingReplica &Replica : Serving) {
    Present.insert(Replica.m_replica);
    Instant &Last =
        PoolShard.m_reports.try_emplace(Replica.m_replica, absl::InfinitePast())
            .first->second;
    if (Replica.m_loadTime <= Last)
      continue;
    Last = Replica.m_loadTime;
    absl::Duration Age =
        Now - Replica.m_loadTime + absl::Milliseconds(Replica.m_load.m_lagMs);
    PoolShard.m_loads.reported(Now, Replica.m_replica, Replica.m_load, Age);
    PoolShard.m_prefixes.apply(Replica.m_replica, Replica.m_headIncarnation,
                               Replica.m_cacheEvents);
  }
  for (auto Known = PoolShard.m_reports.begin();
       Known != PoolShard.m_reports.end();) {
    if (Present.count(Known->first) > 0) {
      ++Known;
      continue;
    }
    PoolShard.m_loads.forget(Known->first);
    PoolShard.m_speeds.forget(Known->first);
    PoolShard.m_prefixes.forget(Known->first);
    Known = PoolShard.m_reports.erase(Known);
  }
}

Candidate ReplicaRouter::candidateOf(const Shard &PoolShard, Instant Now,
                                     const ServingReplica &Serving,
                                     const RouteRequest &Request) {
  Candidate Created;
  Created.m_replica = Serving.m_replica;
  Created.m_generation = Serving.m_generation;
  Created.m_slots = Serving.m_slots;
  Created.m_longShare = Serving.m_longShare;
  Created.m_load = PoolShard.m_loads.load(Now, Serving.m_replica);
  Created.m_speedWeight = PoolShard.m_speeds.weight(Serving.m_replica);
  Created.m_probeDue = PoolShard.m_speeds.probeDue(Now, Serving.m_replica);
  Created.m_cachedPrefixFraction = PoolShard.m_prefixes.cachedFraction(
      Serving.m_replica, Request.m_prefixHashes);
  return Created;
}

std::optional<ServingReplica>
ReplicaRouter::start(const ClusterView &View, const std::string &Pool,
                     const AttemptId &Attempt, const RouteRequest &Request) {
  auto Found = View.m_pools.find(Pool);
  if (Found == View.m_pools.end())
    return std::nullopt;
  const std::vector<ServingReplica> &Serving = Found->second;
  Shard &PoolShard = shardOf(Pool);
  Instant Now = monotonicNow();
  absl::MutexLock Lock(&PoolShard.m_lock);
  takeReports(PoolShard, Now, Serving);
  std::vector<Candidate> Candidates;
  Candidates.reserve(Serving.size());
  for (const ServingReplica &Replica : Serving)
    Candidates.push_back(candidateOf(PoolShard, Now, Replica, Request));
  std::optional<std::size_t> Chosen =
      PoolShard.m_strategy.choose(Now, Candidates, Request, PoolShard.m_random);
  if (!Chosen)
    return std::nullopt;
  const ServingReplica &Replica = Serving[*Chosen];
  PoolShard.m_loads.started(Now, Attempt, Replica.m_replica, Request.m_class);
  PoolShard.m_prefixes.sent(Replica.m_replica, Request.m_prefixHashes);
  if (Candidates[*Chosen].m_probeDue)
    PoolShard.m_speeds.probeStarted(Now, Replica.m_replica);
  return Replica;
}

void ReplicaRouter::finish(const std::string &Pool, const AttemptId &Attempt,
                           const ReplicaId &Replica,
                           std::optional<double> SecondsPerToken) {
  Shard &PoolShard = shardOf(Pool);
  Instant Now = monotonicNow();
  absl::MutexLock Lock(&PoolShard.m_lock);
  PoolShard.m_loads.finished(Now, Attempt);
  if (SecondsPerToken && PoolShard.m_reports.count(Replica) > 0)
    PoolShard.m_speeds.observe(Now, Replica, *SecondsPerToken);
}

void ReplicaRouter::reclassify(const std::string &Pool,
                               const AttemptId &Attempt, RequestClass Class) {
  Shard &PoolShard = shardOf(Pool);
  absl::MutexLock Lock(&PoolShard.m_lock);
  PoolShard.m_loads.reclassified(monotonicNow(), Attempt, Class);
}

} // namespace turmericdyke
