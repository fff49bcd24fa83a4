#pragma once

#include "turmericdyke/src/Base/Instant.h"

namespace turmericdyke {

/// Paces loads from the weight store: a token bucket whose burst stays below
/// the store's allowance.
class LoadPacer {
public:
  /// Most loads that may begin at one moment, beside the rate. The store
  /// tolerates 3 beside a tenth over its rate in a window.
  static constexpr double Burst = 3;

  void setRate(double LoadsPerSecond) { m_rate = LoadsPerSecond; }
  /// Takes `Count` loads if all of them may begin now. A count above the burst
  /// is taken once the bucket is full, and paid off afterwards.
  bool tryTake(Instant Now, double Count);

private:
  double m_rate = 1;
  double m_tokens = Burst;
  Instant m_filled = absl::InfinitePast();
};

} // namespace turmericdyke
