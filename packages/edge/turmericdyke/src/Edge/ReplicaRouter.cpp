#include "turmericdyke/src/Edge/ReplicaRouter.h"

#include <set>
#include <utility>

namespace turmericdyke {

ReplicaRouter::Shard &ReplicaRouter::shardOf(const std::string &Pool) {
  absl::MutexLock Lock(&m_lock);
  std::unique_ptr<Shard> &Owner = m_shards[Pool];
  if (!Owner)
    Owner = std::make_unique<Shard>();
  return *Owner;
}

void ReplicaRouter::takeReports(Shard &Owner, Instant Now,
                                const std::vector<ServingReplica> &Serving) {
  std::set<ReplicaId> Present;
  for (const ServingReplica &Replica : Serving) {
    Present.insert(Replica.m_replica);
    Instant &Last =
        Owner.m_reports.try_emplace(Replica.m_replica, absl::InfinitePast())
            .first->second;
    if (Replica.m_loadTime <= Last)
      continue;
    Last = Replica.m_loadTime;
    absl::Duration Age =
        Now - Replica.m_loadTime + absl::Milliseconds(Replica.m_load.m_lagMs);
    Owner.m_loads.reported(Now, Replica.m_replica, Replica.m_load, Age);
    Owner.m_prefixes.apply(Replica.m_replica, Replica.m_headIncarnation,
                           Replica.m_cacheEvents);
  }
  for (auto Known = Owner.m_reports.begin(); Known != Owner.m_reports.end();) {
    if (Present.count(Known->first) > 0) {
      ++Known;
      continue;
    }
    Owner.m_loads.forget(Known->first);
    Owner.m_speeds.forget(Known->first);
    Owner.m_prefixes.forget(Known->first);
    Known = Owner.m_reports.erase(Known);
  }
}

Candidate ReplicaRouter::candidateOf(const Shard &Owner, Instant Now,
                                     const ServingReplica &Serving,
                                     const RouteRequest &Request) {
  Candidate Made;
  Made.m_replica = Serving.m_replica;
  Made.m_generation = Serving.m_generation;
  Made.m_slots = Serving.m_slots;
  Made.m_longShare = Serving.m_longShare;
  Made.m_load = Owner.m_loads.load(Now, Serving.m_replica);
  Made.m_speedWeight = Owner.m_speeds.weight(Serving.m_replica);
  Made.m_probeDue = Owner.m_speeds.probeDue(Now, Serving.m_replica);
  Made.m_prefixHit =
      Owner.m_prefixes.hit(Serving.m_replica, Request.m_prefixHashes);
  return Made;
}

std::optional<ServingReplica>
ReplicaRouter::start(const ClusterView &View, const std::string &Pool,
                     const AttemptId &Attempt, const RouteRequest &Request) {
  auto Found = View.m_pools.find(Pool);
  if (Found == View.m_pools.end())
    return std::nullopt;
  const std::vector<ServingReplica> &Serving = Found->second;
  Shard &Owner = shardOf(Pool);
  Instant Now = monotonicNow();
  absl::MutexLock Lock(&Owner.m_lock);
  takeReports(Owner, Now, Serving);
  std::vector<Candidate> Candidates;
  Candidates.reserve(Serving.size());
  for (const ServingReplica &Replica : Serving)
    Candidates.push_back(candidateOf(Owner, Now, Replica, Request));
  std::optional<std::size_t> Chosen =
      Owner.m_strategy.choose(Now, Candidates, Request, Owner.m_random);
  if (!Chosen)
    return std::nullopt;
  const ServingReplica &Replica = Serving[*Chosen];
  Owner.m_loads.started(Now, Attempt, Replica.m_replica, Request.m_class);
  Owner.m_prefixes.sent(Replica.m_replica, Request.m_prefixHashes);
  if (Candidates[*Chosen].m_probeDue)
    Owner.m_speeds.probeStarted(Now, Replica.m_replica);
  return Replica;
}

void ReplicaRouter::finish(const std::string &Pool, const AttemptId &Attempt,
                           const ReplicaId &Replica,
                           std::optional<double> SecondsPerToken) {
  Shard &Owner = shardOf(Pool);
  Instant Now = monotonicNow();
  absl::MutexLock Lock(&Owner.m_lock);
  Owner.m_loads.finished(Now, Attempt);
  if (SecondsPerToken && Owner.m_reports.count(Replica) > 0)
    Owner.m_speeds.observe(Now, Replica, *SecondsPerToken);
}

void ReplicaRouter::reclassify(const std::string &Pool,
                               const AttemptId &Attempt, RequestClass Class) {
  Shard &Owner = shardOf(Pool);
  absl::MutexLock Lock(&Owner.m_lock);
  Owner.m_loads.reclassified(monotonicNow(), Attempt, Class);
}

} // namespace turmericdyke
