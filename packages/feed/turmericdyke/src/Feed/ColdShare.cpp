#include "turmericdyke/src/Feed/ColdShare.h"

#include <algorithm>
#include <cmath>

namespace turmericdyke {

namespace internal {
namespace {

/// A longer lifetime uses more of the rate while nodes have few requests, but
/// lets a burst use more permissions at once, so that the rate must be lower.
constexpr double MinLifetime = 0.5;
constexpr double MaxLifetime = 1;
/// At 31 requests in a second, more than allowed are sent in one of 100,000
/// seconds in which all nodes use all permissions.
constexpr double Deviations = 5;

/// The largest mean of a Poisson variable that is `Deviations` below `Most`.
double safeMean(double Most) {
  double Root =
      (std::sqrt(Deviations * Deviations + 4 * Most) - Deviations) / 2;
  return Root * Root;
}

} // namespace
} // namespace internal

ColdShare coldShare(double PerSecond, double KnownNodes) {
  // A node that has just started is known to the others a quarter of a second
  // later, and to one that is cut off not at all.
  double Nodes = KnownNodes + 1;
  double Most = 2 * PerSecond;
  // Permissions that the nodes may be able to use in one second.
  double Usable = std::max(Most - Nodes, internal::safeMean(Most));
  double Rate = std::min(PerSecond, Usable / (1 + internal::MinLifetime));
  double Lifetime = std::min(Usable / Rate - 1, internal::MaxLifetime);
  return {Rate / Nodes, absl::Seconds(Lifetime)};
}

} // namespace turmericdyke
