#include "turmericdyke/src/Serving/BusyFraction.h"

#include <algorithm>
#include <cmath>

namespace turmericdyke {

BusyFraction::BusyFraction(absl::Duration HalfLife) : m_halfLife(HalfLife) {}

void BusyFraction::record(Instant Now, absl::Duration Busy) {
  if (m_last == absl::InfinitePast())
    m_last = Now - Busy;
  absl::Duration Span = Now - m_last;
  if (Span <= absl::ZeroDuration())
    return;
  m_last = Now;
  double Share = std::clamp(absl::FDivDuration(Busy, Span), 0.0, 1.0);
  double Kept = std::exp2(-absl::FDivDuration(Span, m_halfLife));
  m_value = m_value * Kept + Share * (1 - Kept);
}

} // namespace turmericdyke
