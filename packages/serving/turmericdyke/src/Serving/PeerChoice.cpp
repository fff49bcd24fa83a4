#include "turmericdyke/src/Serving/PeerChoice.h"

#include <algorithm>
#include <limits>

#include "absl/random/distributions.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Requests that a peer of the own failure domain may have in addition to one
/// of another domain before the other one is chosen.
constexpr std::int64_t SameDomainAdvantage = 4;

std::int64_t costOf(const PeerOption &Option) {
  return Option.m_ownRequests + (Option.m_sameDomain ? 0 : SameDomainAdvantage);
}

} // namespace
} // namespace internal

std::optional<std::size_t> choosePeer(absl::Span<const PeerOption> Options,
                                      absl::BitGenRef Random) {
  bool AllAvoided =
      std::all_of(Options.begin(), Options.end(),
                  [](const PeerOption &Option) { return Option.m_avoided; });
  std::optional<std::size_t> Chosen;
  std::int64_t Least = std::numeric_limits<std::int64_t>::max();
  std::size_t Equal = 0;
  for (std::size_t At = 0; At < Options.size(); ++At) {
    if (Options[At].m_avoided && !AllAvoided)
      continue;
    std::int64_t Cost = internal::costOf(Options[At]);
    if (Cost > Least)
      continue;
    Equal = Cost < Least ? 1 : Equal + 1;
    Least = Cost;
    // Each of the options of equal cost is kept with the same probability.
    if (absl::Uniform<std::size_t>(Random, 0, Equal) == 0)
      Chosen = At;
  }
  return Chosen;
}

} // namespace turmericdyke
