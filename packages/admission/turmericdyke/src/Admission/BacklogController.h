#pragma once

#include "turmericdyke/src/Admission/ConcurrencyController.h"

namespace turmericdyke {

struct BacklogOptions {
  /// Requests that should wait inside the engine. One keeps a freed slot busy
  /// until the next request arrives.
  double m_target = 1;
  /// Part by which the limit changes for a backlog of twice the target.
  double m_gain = 0.1;
  /// Largest change of the limit by one sample.
  double m_leastFactor = 0.7;
  double m_mostFactor = 1.1;
};

/// Proportional control of the backlog inside the engine:
/// limit *= clamp(1 - gain * (backlog / target - 1)).
class BacklogController : public ConcurrencyController {
public:
  explicit BacklogController(ConcurrencyBounds Bounds,
                             BacklogOptions Options = {});
  void observe(Instant Now, const ConcurrencySample &Sample) override;
  std::int64_t limit() const override;

private:
  ConcurrencyBounds m_bounds;
  BacklogOptions m_options;
  double m_limit;
};

} // namespace turmericdyke
