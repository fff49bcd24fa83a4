#pragma once

#include "turmericdyke/src/Base/Instant.h"

namespace turmericdyke {

/// Limits the rate of loads from the weight store with a token bucket whose
/// burst stays below the store's allowance.
class LoadRateLimiter {
public:
  /// Loads that may start at once, in addition to the rate. The store tolerates
  /// 3 loads more than its rate plus a tenth, counted over a window.
  static constexpr double Burst = 3;

  void setRate(double LoadsPerSecond) { m_rate = LoadsPerSecond; }
  /// Takes `Count` loads if all of them may start now. A count above the burst
  /// is granted when the bucket is full; the excess is then a debt that later
  /// refills pay off.
  bool tryTake(Instant Now, double Count);

private:
  double m_rate = 1;
  double m_tokens = Burst;
  Instant m_refilled = absl::InfinitePast();
};

} // namespace turmericdyke
