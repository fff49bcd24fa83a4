#include "turmericdyke/src/Routing/WeightedStrategy.h"

#include <algorithm>
#include <cassert>
#include <cmath>

#include "absl/random/distributions.h"

namespace turmericdyke {

namespace {

/// Replaces weight 0 in scores if only such candidates are left.
constexpr double MinSpeedWeight = 0.01;

/// Whether to probe the replica now. A running request already measures it, and
/// a probe of a full replica would only lengthen its queue.
bool acceptsProbe(const Candidate &C) {
  std::int64_t Own = C.m_load.m_outstandingShort + C.m_load.m_outstandingLong;
  std::int64_t Others = C.m_load.m_othersShort + C.m_load.m_othersLong;
  return C.m_probeDue && Own == 0 && Others < C.m_slots;
}

std::optional<std::size_t> findProbe(absl::Span<const Candidate> Candidates,
                                     const RouteRequest &Request) {
  if (Request.m_class == RequestClass::Long)
    return std::nullopt;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index)
    if (acceptsProbe(Candidates[Index]) &&
        isAllowed(Candidates[Index], Request))
      return Index;
  return std::nullopt;
}

} // namespace

WeightedStrategy::WeightedStrategy(WeightedOptions Options)
    : m_options(Options) {
  assert(Options.m_choices > 0 && "at least one candidate must be drawn");
}

std::optional<std::size_t>
WeightedStrategy::choose(Instant, absl::Span<const Candidate> Candidates,
                         const RouteRequest &Request, absl::BitGenRef Random) {
  if (std::optional<std::size_t> Probe = findProbe(Candidates, Request))
    return Probe;
  std::vector<std::size_t> Allowed = allowedCandidates(Candidates, Request);
  if (Allowed.empty())
    return std::nullopt;
  double Mean = meanOthers(Candidates);
  auto HasShorterPrefix = [&](std::size_t A, std::size_t B) {
    return Candidates[A].m_cachedPrefixFraction <
           Candidates[B].m_cachedPrefixFraction;
  };
  std::size_t Best =
      *std::max_element(Allowed.begin(), Allowed.end(), HasShorterPrefix);
  if (Candidates[Best].m_cachedPrefixFraction == 0)
    Best = Allowed[absl::Uniform<std::size_t>(Random, 0, Allowed.size())];
  double BestScore = score(Candidates[Best], Mean);
  for (std::size_t Draw = 0; Draw < m_options.m_choices; ++Draw) {
    std::size_t Index =
        Allowed[absl::Uniform<std::size_t>(Random, 0, Allowed.size())];
    double Score = score(Candidates[Index], Mean);
    if (Score >= BestScore)
      continue;
    Best = Index;
    BestScore = Score;
  }
  return Best;
}

double WeightedStrategy::score(const Candidate &C, double MeanOthers) const {
  double ReportWeight = std::exp2(
      -absl::FDivDuration(C.m_load.m_reportAge, m_options.m_reportHalfLife));
  double Own =
      static_cast<double>(C.m_load.m_outstandingShort) +
      m_options.m_longWork * static_cast<double>(C.m_load.m_outstandingLong);
  double Others =
      ReportWeight * othersWork(C) + (1 - ReportWeight) * MeanOthers;
  double Slots = static_cast<double>(std::max<std::int64_t>(1, C.m_slots));
  // Count the new request too, so that an idle straggler does not score 0.
  double Utilization = (m_options.m_ownWeight * Own + Others + 1) / Slots;
  double Hit = std::clamp(C.m_cachedPrefixFraction, 0.0, 1.0);
  return Utilization / std::max(C.m_speedWeight, MinSpeedWeight) -
         Hit * m_options.m_prefixBonus;
}

double WeightedStrategy::othersWork(const Candidate &C) const {
  return static_cast<double>(C.m_load.m_othersShort) +
         m_options.m_longWork * static_cast<double>(C.m_load.m_othersLong);
}

double
WeightedStrategy::meanOthers(absl::Span<const Candidate> Candidates) const {
  double Sum = 0;
  for (const Candidate &C : Candidates)
    Sum += othersWork(C);
  return Candidates.empty() ? 0 : Sum / static_cast<double>(Candidates.size());
}

} // namespace turmericdyke
