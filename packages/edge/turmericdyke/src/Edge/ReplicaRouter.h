#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/random/random.h"
#include "absl/synchronization/mutex.h"
#include "turmericdyke/Routing"
#include "turmericdyke/src/Edge/ClusterView.h"

namespace turmericdyke {

/// Chooses a replica for each attempt, based on this node's outstanding work,
/// the load reports with their age, observed speed and cached prefixes. Each
/// pool has a shard with its own lock.
class ReplicaRouter {
public:
  /// Chooses a replica and counts the attempt as started. Returns nothing if no
  /// serving replica of the pool is eligible.
  std::optional<ServingReplica> start(const ClusterView &View,
                                      const std::string &Pool,
                                      const AttemptId &Attempt,
                                      const RouteRequest &Request);
  /// Counts the attempt as finished. `SecondsPerToken` is the observed speed,
  /// if any.
  void finish(const std::string &Pool, const AttemptId &Attempt,
              const ReplicaId &Replica, std::optional<double> SecondsPerToken);
  void reclassify(const std::string &Pool, const AttemptId &Attempt,
                  RequestClass Class);

private:
  struct Shard {
    absl::Mutex m_lock;
    LoadTracker m_loads ABSL_GUARDED_BY(m_lock);
    StragglerTracker m_speeds ABSL_GUARDED_BY(m_lock);
    PrefixIndex m_prefixes ABSL_GUARDED_BY(m_lock);
    WeightedStrategy m_strategy ABSL_GUARDED_BY(m_lock);
    absl::BitGen m_random ABSL_GUARDED_BY(m_lock);
    /// Arrival time of the last report that was applied for each replica.
    std::map<ReplicaId, Instant> m_reports ABSL_GUARDED_BY(m_lock);
  };

  Shard &shardOf(const std::string &Pool);
  static void takeReports(Shard &PoolShard, Instant Now,
                          const std::vector<ServingReplica> &Serving)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(PoolShard.m_lock);
  static Candidate candidateOf(const Shard &PoolShard, Instant Now,
                               const ServingReplica &Serving,
                               const RouteRequest &Request)
      ABSL_SHARED_LOCKS_REQUIRED(PoolShard.m_lock);

  absl::Mutex m_lock;
  std::map<std::string, std::unique_ptr<Shard>>
      m_shards ABSL_GUARDED_BY(m_lock);
};

} // namespace turmericdyke
