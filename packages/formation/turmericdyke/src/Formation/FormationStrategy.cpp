#include "turmericdyke/src/Formation/FormationStrategy.h"

#include <algorithm>
#include <tuple>

namespace turmericdyke {

namespace internal {
namespace {

/// Lower is better. Having enough hosts with the same engine build comes first,
/// because members with different builds cannot serve together. The smallest
/// number of hosts left over keeps the other domains large enough for whole
/// replicas, but a domain without any host left over has no spare for repairs.
auto placementCost(const DomainCandidate &Candidate) {
  std::int64_t Remaining = Candidate.m_freeHosts - Candidate.m_hostsNeeded;
  return std::make_tuple(Candidate.m_sameBuildHosts < Candidate.m_hostsNeeded,
                         Candidate.m_poolReplicasInFailureDomain,
                         Candidate.m_poolReplicasInDomain, Remaining == 0,
                         Remaining);
}

std::size_t chooseSpread(absl::Span<const DomainCandidate> Candidates) {
  auto Best =
      std::min_element(Candidates.begin(), Candidates.end(),
                       [](const DomainCandidate &A, const DomainCandidate &B) {
                         return placementCost(A) < placementCost(B);
                       });
  return static_cast<std::size_t>(Best - Candidates.begin());
}

std::size_t chooseFirst(absl::Span<const DomainCandidate>) { return 0; }

} // namespace
} // namespace internal

FormationStrategy defaultStrategy() {
  return {"keep-survivors", internal::chooseSpread, true};
}

FormationStrategy firstFitStrategy() {
  return {"first-fit", internal::chooseFirst, true};
}

FormationStrategy rebuildWholeStrategy() {
  return {"rebuild-whole", internal::chooseSpread, false};
}

} // namespace turmericdyke
