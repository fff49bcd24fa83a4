#pragma once

#include "absl/time/time.h"

namespace turmericdyke {

/// What one entry node may send to a cold target.
struct ColdShare {
  double m_perSecond = 0;
  /// How long an unused permission lasts.
  absl::Duration m_lifetime;
};

/// One node's equal part of the rate that all nodes together may send to a cold
/// target. `KnownNodes` nodes use targets, and one more that may just start.
/// `PerSecond` is that rate as published: half of what the target must not get
/// more of in any second.
///
/// In a second the nodes can use the permissions of that second, and those that
/// have been issued within a lifetime before it. Each node counts for itself,
/// so it may use one more than its part. For a few nodes these are added; for
/// many nodes, most of which have one permission or none, the sum is close to a
/// Poisson variable, and the rate leaves five standard deviations.
ColdShare coldShare(double PerSecond, double KnownNodes);

} // namespace turmericdyke
