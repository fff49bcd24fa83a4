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

/// Chooses a replica for each attempt from what this node knows: its own
/// outstanding work, aged reports, observed speed and cached prefixes. One
/// shard a pool, with its own lock.
class ReplicaRouter {
public:
  /// The chosen replica; counts the attempt as started. Nothing when no serving
  /// replica of the pool is allowed.
  std::optional<ServingReplica> start(const ClusterView &View,
                                      const std::string &Pool,
                                      const AttemptId &Attempt,
                                      const RouteRequest &Request);
  /// Ends the attempt. `SecondsPerToken` is the observed speed, if any.
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
    /// When the last report that was taken of each replica arrived.
    std::map<ReplicaId, Instant> m_reports ABSL_GUARDED_BY(m_lock);
  };

  Shard &shardOf(const std::string &Pool);
  static void takeReports(Shard &Owner, Instant Now,
                          const std::vector<ServingReplica> &Serving)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Owner.m_lock);
  static Candidate candidateOf(const Shard &Owner, Instant Now,
                               const ServingReplica &Serving,
                               const RouteRequest &Request)
      ABSL_SHARED_LOCKS_REQUIRED(Owner.m_lock);

  absl::Mutex m_lock;
  std::map<std::string, std::unique_ptr<Shard>>
      m_shards ABSL_GUARDED_BY(m_lock);
};

} // namespace turmericdyke
