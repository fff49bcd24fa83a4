#pragma once

#include <map>
#include <utility>

#include "turmericdyke/Fleet"
#include "turmericdyke/src/Base/Instant.h"

namespace turmericdyke::fuzz {

/// A simulated target, which carries out orders and announces its state.
/// `SimCluster` simulates the calls that it serves.
class SimTarget {
public:
  explicit SimTarget(TargetAnnouncement First)
      : m_announcement(std::move(First)) {}

  /// Carries out an order. Returns false if the target refuses it.
  bool follow(Instant Now, const Order &Received, bool ChecksFences);
  /// Finishes loading weights if the load time has passed.
  void tick(Instant Now);
  TargetAnnouncement announce();
  /// Restarts the process without any weights loaded.
  void restart();
  void leave(Instant Now);
  /// A node has accepted the announcement.
  void onAnnounced(Instant Now, const TargetAnnouncement &Said);
  /// Returns when a node last accepted an announcement that confirms this
  /// target as the member of `Value` with rank `Rank`.
  Instant confirmedAt(const Assignment &Value, std::size_t Rank) const;
  bool takesWork() const {
    return m_announcement.m_state == TargetState::Ready;
  }

  TargetAnnouncement m_announcement;
  Instant m_lastHeard = absl::InfinitePast();
  /// When this process first announced that it leaves.
  Instant m_leavingSince = absl::InfiniteFuture();
  std::uint64_t m_highestAccepted = 0;
  /// Index of the node that it announces to.
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
