#pragma once

#include "turmericdyke/src/Base/Instant.h"

namespace turmericdyke {

/// Averages the part of the time for which a thread was busy. Older time counts
/// exponentially less.
class BusyFraction {
public:
  explicit BusyFraction(absl::Duration HalfLife = absl::Milliseconds(500));

  /// The thread was busy for `Busy` up to `Now`, and idle before that since the
  /// last call.
  void record(Instant Now, absl::Duration Busy);
  /// From 0 to 1; 0 before the first record.
  double value() const { return m_value; }

private:
  absl::Duration m_halfLife;
  Instant m_last = absl::InfinitePast();
  double m_value = 0;
};

} // namespace turmericdyke
