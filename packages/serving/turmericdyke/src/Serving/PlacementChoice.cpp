#include "turmericdyke/src/Serving/PlacementChoice.h"

#include <cassert>
#include <numeric>

#include "absl/random/distributions.h"
#include "turmericdyke/src/Serving/LoadInterpretation.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Draws an index with a probability in proportion to its weight. Never one of
/// weight 0, also where sums are rounded.
std::size_t drawWeighted(absl::Span<const double> Weights, double Sum,
                         absl::BitGenRef Random) {
  double Draw = absl::Uniform(Random, 0.0, Sum);
  std::size_t Last = 0;
  for (std::size_t At = 0; At < Weights.size(); ++At) {
    if (Weights[At] <= 0)
      continue;
    Last = At;
    if (Draw < Weights[At])
      break;
    Draw -= Weights[At];
  }
  return Last;
}

} // namespace
} // namespace internal

std::size_t chooseByDeficit(absl::Span<const ReportedLoad> Reports,
                            absl::Span<const double> Deficits,
                            std::size_t Draws, absl::BitGenRef Random) {
  double Sum = std::accumulate(Deficits.begin(), Deficits.end(), 0.0);
  assert(Sum > 0 && "no target may be drawn");
  auto OwnLoad = [&](std::size_t At) {
    return Reports[At].m_own / Reports[At].m_capacity;
  };
  std::size_t Best = internal::drawWeighted(Deficits, Sum, Random);
  for (std::size_t Draw = 1; Draw < Draws; ++Draw) {
    std::size_t Other = internal::drawWeighted(Deficits, Sum, Random);
    if (OwnLoad(Other) < OwnLoad(Best))
      Best = Other;
  }
  return Best;
}

} // namespace turmericdyke
