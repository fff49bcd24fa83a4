#pragma once

#include <cstdint>
#include <deque>

#include "absl/container/flat_hash_map.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Base/RequestClass.h"
#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Fleet/TargetAnnouncement.h"
#include "turmericdyke/src/Routing/Candidate.h"

namespace turmericdyke {

/// Tracks the outstanding requests of each replica. Requests of this node are
/// counted exactly, by attempt; repeated or unknown events have no effect. The
/// requests of other nodes are estimated as the last report minus the requests
/// that this node had outstanding when the report was taken. Requests sent
/// after that are therefore counted exactly once. Memory is bounded by the open
/// attempts and the replicas that were not forgotten.
class LoadTracker {
public:
  void started(Instant Now, const AttemptId &Attempt, const ReplicaId &Replica,
               RequestClass Class);
  /// Moves an open attempt to another request class, after its estimate was
  /// corrected.
  void reclassified(Instant Now, const AttemptId &Attempt, RequestClass Class);
  void finished(Instant Now, const AttemptId &Attempt);

  /// Records a load report that arrived at `Now` and that the engine took `Age`
  /// earlier. A report older than the last one is ignored.
  void reported(Instant Now, const ReplicaId &Replica, const TargetLoad &Load,
                absl::Duration Age);
  /// Drops the report of the replica, and the replica itself once its attempts
  /// have finished.
  void forget(const ReplicaId &Replica);

  ReplicaLoad load(Instant Now, const ReplicaId &Replica) const;
  std::size_t openAttempts() const { return m_attempts.size(); }
  std::size_t replicas() const { return m_replicas.size(); }

private:
  struct Attempt {
    ReplicaId m_replica;
    RequestClass m_class;
  };
  struct Counts {
    std::int64_t m_short = 0;
    std::int64_t m_long = 0;
  };
  struct CountsSample {
    Instant m_time;
    Counts m_counts;
  };
  struct Replica {
    Counts m_own;
    /// Own counts after each change, oldest first, of bounded length.
    std::deque<CountsSample> m_history;
    bool m_hasReport = false;
    bool m_forgotten = false;
    Instant m_reportTaken;
    Counts m_others;
  };

  void updateCounts(Instant Now, Replica &R, RequestClass Class, int By);
  static Counts ownCountsAt(const Replica &R, Instant Time);

  absl::flat_hash_map<AttemptId, Attempt> m_attempts;
  absl::flat_hash_map<ReplicaId, Replica> m_replicas;
};

} // namespace turmericdyke
