#pragma once

#include <map>
#include <utility>

#include "turmericdyke/Fleet"
#include "turmericdyke/src/Base/Instant.h"

namespace turmericdyke::fuzz {

/// A back end in memory: follows orders and says what it is. The calls it
/// serves are simulated by `World`.
class SimTarget {
public:
  explicit SimTarget(TargetAnnouncement First) : m_truth(std::move(First)) {}

  /// Returns whether the order was followed.
  bool follow(Instant Now, const Order &Received, bool ChecksFences);
  /// Ends a load that is due.
  void tick(Instant Now);
  TargetAnnouncement announce();
  /// A new process with nothing loaded.
  void restart();
  void leave(Instant Now);
  /// A node took the announcement, which was made at `Sent`.
  void heard(Instant Now, const TargetAnnouncement &Said);
  /// When a node last took an announcement that confirms `Member` as a part of
  /// `Value`.
  Instant confirmedAt(const Assignment &Value, std::size_t Rank) const;
  bool takesWork() const { return m_truth.m_state == TargetState::Ready; }

  TargetAnnouncement m_truth;
  Instant m_lastHeard = absl::InfinitePast();
  /// When this process first announced that it leaves.
  Instant m_leavingSince = absl::InfiniteFuture();
  std::uint64_t m_highestAccepted = 0;
  /// Node that it announces to.
  std::size_t m_node = 0;

private:
  struct Confirmation {
    std::uint64_t m_incarnation = 0;
    ReplicaMembership m_membership;
    ModelSpec m_spec;
    Instant m_at;
  };
  Instant m_loadedAt = absl::InfiniteFuture();
  std::map<std::pair<ReplicaId, std::uint64_t>, Confirmation> m_confirmations;
};

} // namespace turmericdyke::fuzz
