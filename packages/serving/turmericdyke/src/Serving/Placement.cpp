#include "turmericdyke/src/Serving/Placement.h"

#include <algorithm>

#include "turmericdyke/src/Serving/LoadInterpretation.h"
#include "turmericdyke/src/Serving/PlacementChoice.h"

namespace turmericdyke {

namespace internal {
namespace {

double slotsOf(const PlacementOption &Option) {
  return static_cast<double>(
      std::max<std::int64_t>(1, Option.m_target->m_slots));
}

double loadOf(const PlacementOption &Option) {
  return static_cast<double>(Option.m_ownRequests + Option.m_otherRequests) /
         slotsOf(Option);
}

ReportedLoad reportOf(const PlacementOption &Option,
                      const PlacementOptions &Settings) {
  ReportedLoad Report;
  Report.m_capacity = slotsOf(Option);
  Report.m_own = static_cast<double>(Option.m_ownRequests);
  Report.m_others = static_cast<double>(Option.m_otherRequests);
  Report.m_age = Option.m_otherRequestsAge + Settings.m_reportDelay;
  Report.m_meanRunTime = Option.m_meanRunTime > absl::ZeroDuration()
                             ? Option.m_meanRunTime
                             : Settings.m_defaultRunTime;
  return Report;
}

/// Places the request at one of the options in `Indexes`, unless all are full.
void placeAt(absl::Span<const PlacementOption> Options,
             absl::Span<const std::size_t> Indexes,
             const PlacementOptions &Settings, absl::BitGenRef Random,
             PlacementDecision &Decision) {
  if (Indexes.empty())
    return;
  std::vector<ReportedLoad> Reports;
  Reports.reserve(Indexes.size());
  for (std::size_t At : Indexes)
    Reports.push_back(reportOf(Options[At], Settings));
  LoadInterpretation Loads = interpretLoad(Reports, 1, Settings.m_levelingAges);
  Decision.m_level = Loads.m_level;
  Decision.m_arrivals = Loads.m_arrivals;
  double Bound = 1 + Settings.m_waitingPerSlot;
  std::vector<double> Weights = Loads.m_deficits;
  bool AnyRemote =
      std::any_of(Indexes.begin(), Indexes.end(),
                  [&](std::size_t At) { return Options[At].m_remote; });
  for (std::size_t At = 0; At < Indexes.size(); ++At) {
    double Load = Loads.loadOf(At, Reports[At]);
    if (Options[Indexes[At]].m_remote || (AnyRemote && Load > Loads.m_level))
      Weights[At] *= Settings.m_remoteWeight;
    if (Load >= Bound)
      Weights[At] = 0;
  }
  if (std::all_of(Weights.begin(), Weights.end(),
                  [](double Weight) { return Weight <= 0; }))
    return;
  std::size_t Best =
      chooseByDeficit(Reports, Weights, Settings.m_draws, Random);
  Decision.m_outcome = PlacementOutcome::Placed;
  Decision.m_index = Indexes[Best];
  Decision.m_load = loadOf(Options[Decision.m_index]);
}

} // namespace
} // namespace internal

std::string_view nameOf(PlacementOutcome Outcome) {
  constexpr std::string_view Names[] = {"placed", "no_target", "all_full"};
  return Names[static_cast<std::size_t>(Outcome)];
}

PlacementDecision place(absl::Span<const PlacementOption> Options,
                        const PlacementOptions &Settings,
                        absl::BitGenRef Random) {
  PlacementDecision Decision;
  if (Options.empty())
    return Decision;
  Decision.m_outcome = PlacementOutcome::AllFull;
  bool AllAvoided = std::all_of(Options.begin(), Options.end(),
                                [](const PlacementOption &Option) {
                                  return Option.m_avoided || Option.m_closed;
                                });
  std::vector<std::size_t> Usable;
  std::vector<std::size_t> Sound;
  Decision.m_load = internal::loadOf(Options.front());
  for (std::size_t At = 0; At < Options.size(); ++At) {
    Decision.m_load = std::min(Decision.m_load, internal::loadOf(Options[At]));
    if (Options[At].m_closed || (Options[At].m_avoided && !AllAvoided))
      continue;
    Usable.push_back(At);
    if (!Options[At].m_quiet)
      Sound.push_back(At);
  }
  internal::placeAt(Options, Sound, Settings, Random, Decision);
  if (Decision.m_outcome != PlacementOutcome::Placed)
    internal::placeAt(Options, Usable, Settings, Random, Decision);
  return Decision;
}

} // namespace turmericdyke
