#pragma once

#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

struct StragglerOptions {
  /// Part of a new observation in the running mean.
  double m_smoothing = 0.2;
  /// Speeds from this part of the median upwards count as full. Batch size
  /// alone makes replicas of a balanced pool differ by about a quarter.
  double m_fullSpeed = 0.75;
  /// Below this part of the median a replica gets probes only.
  double m_stopSpeed = 0.2;
  /// Observations before a replica can be weighted down.
  std::int64_t m_minSamples = 5;
  /// Time without an observation after which a weighted-down replica is probed
  /// with one short request.
  absl::Duration m_probeInterval = absl::Seconds(1);
};

/// Speed of each replica relative to the median of its pool, from the time per
/// token that this node observed. One instance serves one pool. A replica that
/// is slow gets less work by its weight; probes measure it again, so that it
/// recovers as its speed does.
class StragglerTracker {
public:
  explicit StragglerTracker(StragglerOptions Options = {});

  /// Takes an observation of at least one token, in seconds per token.
  void observe(Instant Now, const ReplicaId &Replica, double SecondsPerToken);
  /// Notes that a probe was sent, so that one is due only once an interval.
  void probeStarted(Instant Now, const ReplicaId &Replica);
  void forget(const ReplicaId &Replica);

  /// 1 for a replica of usual or unknown speed, its part of the median speed
  /// for a slow one, 0 for one that gets probes only.
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
