#include "turmericdyke/src/Formation/FormationStrategy.h"

#include <algorithm>
#include <tuple>

namespace turmericdyke {

namespace internal {
namespace {

/// Smaller is better. Hosts of one build come before the fit, since members
/// with different builds cannot serve together; the smallest remainder keeps
/// whole replicas possible in the other domains, but a remainder of none leaves
/// no spare for repair.
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
