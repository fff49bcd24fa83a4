#pragma once

#include "absl/random/bit_gen_ref.h"
#include "turmericdyke/src/Base/Instant.h"

namespace turmericdyke {

/// One node's part of a rate that all nodes share: permissions that come at
/// even intervals and lapse if they are not used for some time. Nodes that
/// saved them up would spend them at the same moment, when load rises, and
/// exceed the rate together. The first permission comes at a random moment for
/// the same reason.
class LapsingTokens {
public:
  /// This node may send `PerSecond` requests; a permission lapses after
  /// `Lifetime`. Both must be above 0.
  LapsingTokens(Instant Now, double PerSecond, absl::Duration Lifetime,
                absl::BitGenRef Random);

  void setRate(Instant Now, double PerSecond, absl::Duration Lifetime);
  /// Uses the oldest permission, if there is one.
  void take(Instant Now);
  /// When the next permission is at hand; `Now` or earlier if one is.
  Instant next(Instant Now);

private:
  void dropLapsed(Instant Now);

  absl::Duration m_interval;
  absl::Duration m_lifetime;
  /// When the oldest permission that is neither used nor lapsed was or will be
  /// issued.
  Instant m_oldest;
};

} // namespace turmericdyke
