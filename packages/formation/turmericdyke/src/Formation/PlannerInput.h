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

/// A node's current view of a target. The announcement is the one with the
/// highest incarnation and sequence number; null if none was ever received.
struct TargetView {
  const TargetAnnouncement *m_announcement = nullptr;
  /// When any node last received an announcement, on this node's clock.
  Instant m_lastHeard = absl::InfinitePast();
};

/// The combined demand of all customers of one pool.
struct PoolView {
  std::string m_name;
  ResolvedModel m_model;
  /// Sum of the customers' capacity held, in concurrent requests.
  std::int64_t m_capacityHeld = 0;
  /// Sum of the customers' capacity limits, in concurrent requests.
  std::int64_t m_capacityLimit = 0;

  /// Replicas needed to serve the capacity held.
  std::int64_t replicasHeld() const;
  /// Replicas needed to serve the capacity limits; at least `replicasHeld()`.
  std::int64_t replicasWanted() const;
  ModelSpec spec() const;
};

/// The pools of a declaration, sorted by name.
std::vector<PoolView> poolsOf(const Declaration &Value);

/// The fencing tokens from `m_first` up to but not including `m_end`, reserved
/// for this leader.
struct FencingTokenRange {
  std::uint64_t m_first = 0;
  std::uint64_t m_end = 0;
};

/// The complete input of one call to `Planner::plan`. Pointers and spans must
/// be valid only during that call.
struct PlannerInput {
  absl::Span<const TargetView> m_targets;
  absl::Span<const PoolView> m_pools;
  absl::Span<const std::shared_ptr<const Assignment>> m_assignments;
  absl::Span<const DepartingMember> m_departing;
  const std::set<TargetId> *m_drainedTargets = nullptr;
  const std::set<HostId> *m_drainedHosts = nullptr;
  /// The latest range of fencing tokens granted to this leader in its term.
  FencingTokenRange m_fencingTokens;
  /// When this node became leader.
  Instant m_leaderSince = absl::InfinitePast();
  /// Start of the time in which this node sees the announcements that any node
  /// receives.
  Instant m_observingSince = absl::InfinitePast();
};

} // namespace turmericdyke
