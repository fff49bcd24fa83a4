#pragma once

#include <cstdint>

#include "absl/time/time.h"

namespace turmericdyke {

/// Largest age of an announcement at which a member counts as present.
constexpr absl::Duration FreshnessBound = absl::Milliseconds(2500);
/// Largest lifetime of an order.
constexpr absl::Duration OrderLifetime = absl::Seconds(5);
/// After this silence a member is released: the read lease, after which no node
/// routes by the old assignment, plus the lifetime of an order.
constexpr absl::Duration ReleaseSilence = absl::Seconds(8);
/// A new leader's first order to a target that does not check fencing numbers
/// waits for the old leader lease (0.8 s) and the lifetime of its orders.
constexpr absl::Duration NewLeaderWait = absl::Milliseconds(5800);
/// After the end of an assignment is in the log, nodes may route by the old
/// state for the length of the read lease.
constexpr absl::Duration RoutingLag = absl::Seconds(3);

struct PlannerOptions {
  /// Silence after which a member is replaced. Above the freshness bound, so
  /// that a short pause costs no weight load.
  absl::Duration m_repairAfter = absl::Seconds(4);
  /// Free hosts that replicas above the capacity held leave in a fabric domain.
  std::int64_t m_sparesPerDomain = 1;
  /// Weight loads at a time.
  std::int64_t m_maxLoads = 16;
  /// How long a patch may take to reach all members of a replica.
  absl::Duration m_mixedBuildWait = absl::Minutes(1);
  /// Replicas formed, repaired or ended in one plan.
  std::int64_t m_maxMoves = 32;
  /// A target that was lost twice within this time is held down.
  absl::Duration m_flapMemory = absl::Minutes(10);
  /// First hold-down; it doubles with each further loss.
  absl::Duration m_holdDown = absl::Seconds(10);
  absl::Duration m_maxHoldDown = absl::Seconds(160);
};

namespace internal {

/// Guards that tests switch off one at a time, to show that their oracle sees
/// the fault.
struct PlannerTestHooks {
  bool m_skipReleaseRule = false;
  bool m_mixFabricDomains = false;
  bool m_skipFreshness = false;
  bool m_repeatFences = false;
  bool m_skipRepair = false;
};

} // namespace internal
} // namespace turmericdyke
