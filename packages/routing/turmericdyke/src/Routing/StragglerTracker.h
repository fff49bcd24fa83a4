#pragma once

#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

struct StragglerOptions {
  /// Weight of a new observation in the exponential moving average.
  double m_smoothing = 0.2;
  /// A speed of at least this fraction of the median counts as normal. Batch
  /// size alone makes the replicas of a balanced pool differ by about a
  /// quarter.
  double m_fullSpeed = 0.75;
  /// Below this fraction of the median speed a replica receives only probes.
  double m_probeOnlySpeed = 0.2;
  /// Observations needed before the weight of a replica can be reduced.
  std::int64_t m_minSamples = 5;
  /// Time without an observation after which a replica of reduced weight is
  /// probed with one short request.
  absl::Duration m_probeInterval = absl::Seconds(1);
};

/// Tracks the speed of each replica relative to the median of its pool, based
/// on the time per token that this node observed. Each pool has its own
/// instance. A slow replica gets a lower weight and so fewer requests. Probes
/// measure it again, so that its weight rises when its speed recovers.
class StragglerTracker {
public:
  explicit StragglerTracker(StragglerOptions Options = {});

  /// Records an observed time per token, which covers at least one token.
  void observe(Instant Now, const ReplicaId &Replica, double SecondsPerToken);
  /// Records that a probe was sent, so that at most one is due per interval.
  void probeStarted(Instant Now, const ReplicaId &Replica);
  void forget(const ReplicaId &Replica);

  /// Returns 1 for a replica of normal or unknown speed, its fraction of the
  /// median speed for a slow one, and 0 for one that receives only probes.
  double weight(const ReplicaId &Replica) const;
  bool probeDue(Instant Now, const ReplicaId &Replica) const;

private:
  struct Replica {
    double m_secondsPerToken = 0;
    std::int64_t m_samples = 0;
    Instant m_lastObserved = absl::InfinitePast();
    Instant m_lastProbe = absl::InfinitePast();
    double m_weight = 1;
  };

  void updateWeights();

  StragglerOptions m_options;
  absl::flat_hash_map<ReplicaId, Replica> m_replicas;
  Instant m_nextUpdate = absl::InfinitePast();
};

} // namespace turmericdyke
