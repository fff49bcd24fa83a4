#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "turmericdyke/Declaration"
#include "turmericdyke/Fleet"
#include "turmericdyke/src/Base/Instant.h"

namespace turmericdyke {

/// A target as a node knows it. The announcement is that of the newest
/// incarnation and sequence number; null when nothing was ever heard.
struct TargetView {
  const TargetAnnouncement *m_announcement = nullptr;
  /// Last announcement to any node, on this node's clock.
  Instant m_lastHeard = absl::InfinitePast();
};

/// What the customers of one pool need together.
struct PoolView {
  std::string m_name;
  ResolvedModel m_model;
  /// Sum of the capacities held, concurrent requests.
  std::int64_t m_capacityHeld = 0;
  /// Sum of the capacity limits, concurrent requests.
  std::int64_t m_capacityLimit = 0;

  /// Replicas that the capacity held needs.
  std::int64_t replicasHeld() const;
  /// Replicas that the capacity limits could use; at least `replicasHeld()`.
  std::int64_t replicasWanted() const;
  ModelSpec spec() const;
};

/// The pools of a declaration, sorted by name.
std::vector<PoolView> poolsOf(const Declaration &Value);

/// Fencing numbers `m_first` to `m_end - 1`, which this leader may use.
struct FenceBlock {
  std::uint64_t m_first = 0;
  std::uint64_t m_end = 0;
};

/// Everything the planner looks at. The pointers and spans need to live for the
/// call only.
struct PlannerInput {
  absl::Span<const TargetView> m_targets;
  absl::Span<const PoolView> m_pools;
  absl::Span<const std::shared_ptr<const Assignment>> m_assignments;
  absl::Span<const DepartingMember> m_departing;
  const std::set<TargetId> *m_drainedTargets = nullptr;
  const std::set<HostId> *m_drainedHosts = nullptr;
  /// The newest block that was granted to this leader in its term.
  FenceBlock m_fences;
  /// When this node became leader.
  Instant m_leaderSince = absl::InfinitePast();
  /// Since when an announcement to any node would have been noticed here.
  Instant m_observingSince = absl::InfinitePast();
};

} // namespace turmericdyke
