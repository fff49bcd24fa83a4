#pragma once

#include <cstdint>
#include <string_view>

#include "absl/types/span.h"

namespace turmericdyke {

/// A fabric domain with enough free hosts for a new replica. Candidates are
/// sorted by domain name.
struct DomainCandidate {
  std::int64_t m_freeHosts = 0;
  /// Size of the largest group of free hosts that run the same engine build.
  std::int64_t m_sameBuildHosts = 0;
  std::int64_t m_hostsNeeded = 0;
  /// Replicas of the same pool in the failure domain that contains this fabric
  /// domain, and in the fabric domain itself.
  std::int64_t m_poolReplicasInFailureDomain = 0;
  std::int64_t m_poolReplicasInDomain = 0;
};

/// The placement and repair decisions that differ between the strategies in the
/// benchmark.
struct FormationStrategy {
  std::string_view m_name;
  /// Returns the index of the domain for a new replica. There is at least one
  /// candidate.
  std::size_t (*m_chooseDomain)(absl::Span<const DomainCandidate>);
  /// Whether a repair keeps the remaining members and their loaded weights.
  /// Otherwise the whole replica is ended and formed again.
  bool m_keepsSurvivors = true;
};

/// Spreads replicas over failure domains, then uses best fit within them.
FormationStrategy defaultStrategy();
/// Baseline: first fit in the order of domain names.
FormationStrategy firstFitStrategy();
/// Baseline: placement as in the default, but losing a member rebuilds the
/// whole replica.
FormationStrategy rebuildWholeStrategy();

} // namespace turmericdyke
