#include "turmericdyke/src/Admission/GradientController.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace turmericdyke {

GradientController::GradientController(ConcurrencyBounds Bounds,
                                       GradientOptions Options)
    : m_bounds(Bounds), m_options(Options),
      m_limit(static_cast<double>(Bounds.m_start)) {
  assert(Bounds.m_least >= 1 && Bounds.m_least <= Bounds.m_most &&
         "a replica must be able to take a request");
}

void GradientController::observe(Instant Now, const ConcurrencySample &Sample) {
  if (Sample.m_latency <= absl::ZeroDuration())
    return;
  updateLeast(Now, Sample.m_latency);
  double Ratio = absl::FDivDuration(m_least, Sample.m_latency);
  double Gradient = std::clamp(m_options.m_tolerance * Ratio, 0.5, 1.0);
  // A limit that is not used tells nothing about a higher one.
  bool IsUsed = 2 * static_cast<double>(Sample.m_running) >= m_limit;
  double Room = IsUsed ? std::sqrt(m_limit) : 0;
  double Next = m_limit * Gradient + Room;
  m_limit += m_options.m_smoothing * (Next - m_limit);
  m_limit = std::clamp(m_limit, static_cast<double>(m_bounds.m_least),
                       static_cast<double>(m_bounds.m_most));
}

std::int64_t GradientController::limit() const {
  return static_cast<std::int64_t>(m_limit);
}

void GradientController::updateLeast(Instant Now, absl::Duration Latency) {
  if (Now >= m_windowEnd) {
    m_windowEnd = Now + m_options.m_window;
    m_least = m_nextLeast;
    m_nextLeast = absl::InfiniteDuration();
  }
  m_nextLeast = std::min(m_nextLeast, Latency);
  m_least = std::min(m_least, Latency);
}

} // namespace turmericdyke
