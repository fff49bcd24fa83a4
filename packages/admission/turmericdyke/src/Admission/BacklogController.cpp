#include "turmericdyke/src/Admission/BacklogController.h"

#include <algorithm>
#include <cassert>

namespace turmericdyke {

namespace {

/// Part of the limit that must be in use before the limit may grow.
constexpr double UsedShare = 0.8;

} // namespace

BacklogController::BacklogController(ConcurrencyBounds Bounds,
                                     BacklogOptions Options)
    : m_bounds(Bounds), m_options(Options),
      m_limit(static_cast<double>(Bounds.m_start)) {
  assert(Bounds.m_least >= 1 && Bounds.m_least <= Bounds.m_most &&
         "a replica must be able to take a request");
  assert(Options.m_target > 0 && "the backlog is measured against the target");
}

void BacklogController::observe(Instant, const ConcurrencySample &Sample) {
  double Backlog = static_cast<double>(Sample.m_backlog);
  double Error = Backlog / m_options.m_target - 1;
  double Factor = std::clamp(1 - m_options.m_gain * Error,
                             m_options.m_leastFactor, m_options.m_mostFactor);
  double Used = static_cast<double>(Sample.m_running) + Backlog;
  if (Factor > 1 && Used < UsedShare * m_limit)
    return;
  m_limit = std::clamp(m_limit * Factor, static_cast<double>(m_bounds.m_least),
                       static_cast<double>(m_bounds.m_most));
}

std::int64_t BacklogController::limit() const {
  return static_cast<std::int64_t>(m_limit);
}

} // namespace turmericdyke
