#include "TrialChoosers.h"

#include <vector>

#include "absl/random/distributions.h"

namespace turmericdyke::bench {

namespace {

double loadOf(const PlacementOption &Option) {
  return static_cast<double>(Option.m_ownRequests + Option.m_otherRequests) /
         static_cast<double>(Option.m_target->m_slots);
}

std::vector<std::size_t> withRoom(absl::Span<const PlacementOption> Options) {
  std::vector<std::size_t> Indexes;
  for (std::size_t At = 0; At < Options.size(); ++At)
    if (loadOf(Options[At]) < 1.25)
      Indexes.push_back(At);
  return Indexes;
}

PlacementDecision placedAt(std::size_t At) {
  PlacementDecision Decision;
  Decision.m_outcome = PlacementOutcome::Placed;
  Decision.m_index = At;
  return Decision;
}

} // namespace

Chooser weighted(const WeightedOptions &Settings) {
  return [Settings](absl::Span<const PlacementOption> Options,
                    absl::BitGenRef Random) {
    std::vector<std::size_t> Indexes = withRoom(Options);
    std::vector<Candidate> Candidates;
    for (std::size_t At : Indexes) {
      Candidate Value;
      Value.m_replica = ReplicaId(Options[At].m_target->m_id.str());
      Value.m_slots = Options[At].m_target->m_slots;
      Value.m_load.m_outstandingShort = Options[At].m_ownRequests;
      Value.m_load.m_othersShort = Options[At].m_otherRequests;
      Value.m_load.m_reportAge = Options[At].m_otherRequestsAge;
      Candidates.push_back(Value);
    }
    if (Candidates.empty())
      return PlacementDecision();
    return placedAt(Indexes[*WeightedStrategy(Settings).choose(
        absl::UnixEpoch(), Candidates, RouteRequest(), Random)]);
  };
}

Chooser leastOf(std::size_t Draws) {
  return [Draws](absl::Span<const PlacementOption> Options,
                 absl::BitGenRef Random) {
    std::vector<std::size_t> Indexes = withRoom(Options);
    if (Indexes.empty())
      return PlacementDecision();
    std::size_t Best = Indexes.size();
    for (std::size_t Draw = 0; Draw < Draws; ++Draw) {
      std::size_t At = absl::Uniform<std::size_t>(Random, 0, Indexes.size());
      if (Best == Indexes.size() ||
          loadOf(Options[Indexes[At]]) < loadOf(Options[Indexes[Best]]))
        Best = At;
    }
    return placedAt(Indexes[Best]);
  };
}

} // namespace turmericdyke::bench
