#pragma once

#include <cstdint>

#include "absl/time/time.h"

namespace turmericdyke {

/// A member counts as present while its last announcement is at most this old.
constexpr absl::Duration FreshnessBound = absl::Milliseconds(2500);
/// Time after which an order expires.
constexpr absl::Duration OrderLifetime = absl::Seconds(5);
/// A member that was silent for this long counts as released: the read lease,
/// after which no node routes by the old assignment, plus the order lifetime.
constexpr absl::Duration ReleaseSilence = absl::Seconds(8);
/// Time that a new leader waits before its first order to a target that does
/// not check fencing tokens: the previous leader's lease (0.8 s) plus the
/// lifetime of the previous leader's orders.
constexpr absl::Duration NewLeaderWait = absl::Milliseconds(5800);
/// Nodes may route by an outdated assignment for up to the read lease after its
/// end was committed to the log.
constexpr absl::Duration RoutingLag = absl::Seconds(3);

struct PlannerOptions {
  /// A member that is silent for this long is replaced. Longer than
  /// `FreshnessBound`, so that a short pause does not cost a weight load.
  absl::Duration m_repairAfter = absl::Seconds(4);
  /// Free hosts to leave in a fabric domain when forming replicas beyond the
  /// capacity held.
  std::int64_t m_sparesPerDomain = 1;
  /// Limit on concurrent weight loads.
  std::int64_t m_maxLoads = 16;
  /// How long to wait for an engine patch to reach all members of a replica.
  absl::Duration m_mixedBuildWait = absl::Minutes(1);
  /// Limit on replicas formed, repaired or ended in one plan.
  std::int64_t m_maxReplicaChanges = 32;
  /// A target that is lost twice within this time is held down.
  absl::Duration m_flapWindow = absl::Minutes(10);
  /// Initial hold-down time; it doubles with each further loss.
  absl::Duration m_holdDown = absl::Seconds(10);
  absl::Duration m_maxHoldDown = absl::Seconds(160);
};

namespace internal {

/// Safety checks that tests disable one at a time, to verify that the test
/// oracle detects the resulting violation.
struct PlannerTestHooks {
  bool m_skipReleaseRule = false;
  bool m_mixFabricDomains = false;
  bool m_skipFreshness = false;
  bool m_repeatFences = false;
  bool m_skipRepair = false;
};

} // namespace internal
} // namespace turmericdyke
