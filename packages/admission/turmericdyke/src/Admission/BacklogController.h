#pragma once

#include "turmericdyke/src/Admission/ConcurrencyController.h"

namespace turmericdyke {

struct BacklogOptions {
  /// Requests that should wait inside the engine. They keep a freed slot busy
  /// until the next request arrives, and make up for work that is spread
  /// unevenly: on the bench a limit equal to the slots left a tenth of them
  /// idle at the crest. A target of 6 answered 1 % more than 4, but in one
  /// workload a third more callers hung up.
  double m_target = 4;
  /// Part by which the limit changes for a backlog of twice the target.
  double m_gain = 0.1;
  /// Largest change of the limit by one sample. A fall by 30 % at once followed
  /// the noise of single reports.
  double m_leastFactor = 0.9;
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
