#pragma once

#include <cstdint>
#include <string_view>

#include "absl/types/span.h"

namespace turmericdyke {

/// A fabric domain with enough free hosts for a new replica. Candidates are
/// sorted by the name of the domain.
struct DomainCandidate {
  std::int64_t m_freeHosts = 0;
  /// Free hosts of the largest group with one engine build.
  std::int64_t m_sameBuildHosts = 0;
  std::int64_t m_hostsNeeded = 0;
  /// Replicas of the same pool in the failure domain of this fabric domain, and
  /// in the fabric domain.
  std::int64_t m_poolReplicasInFailureDomain = 0;
  std::int64_t m_poolReplicasInDomain = 0;
};

/// The decisions that the bench compares.
struct FormationStrategy {
  std::string_view m_name;
  /// Index of the domain for a new replica; there is at least one candidate.
  std::size_t (*m_chooseDomain)(absl::Span<const DomainCandidate>);
  /// Whether a repair keeps the members that are left, with their weights. If
  /// not, the replica ends and is formed again.
  bool m_keepsSurvivors = true;
};

/// Spreads over failure domains, then fills the domain that fits best.
FormationStrategy defaultStrategy();
/// Baseline: the first domain in name order that has room.
FormationStrategy firstFitStrategy();
/// Baseline: the placement of the default, but a loss rebuilds the replica.
FormationStrategy rebuildWholeStrategy();

} // namespace turmericdyke
