#pragma once

#include "turmericdyke/src/Admission/ConcurrencyController.h"

namespace turmericdyke {

struct GradientOptions {
  /// Latency may grow to this multiple of the least one before the limit falls.
  double m_tolerance = 2;
  /// Part of a new limit that is taken over per sample.
  double m_smoothing = 0.2;
  /// The least latency is forgotten after this time, so that a change of the
  /// load's mix does not hold the limit down for good.
  absl::Duration m_window = absl::Seconds(30);
};

/// Lowers the limit as latency grows beyond the least latency seen lately, and
/// raises it by the root of the limit otherwise.
class GradientController : public ConcurrencyController {
public:
  explicit GradientController(ConcurrencyBounds Bounds,
                              GradientOptions Options = {});
  void observe(Instant Now, const ConcurrencySample &Sample) override;
  std::int64_t limit() const override;

private:
  void updateLeast(Instant Now, absl::Duration Latency);

  ConcurrencyBounds m_bounds;
  GradientOptions m_options;
  double m_limit;
  absl::Duration m_least = absl::InfiniteDuration();
  absl::Duration m_nextLeast = absl::InfiniteDuration();
  Instant m_windowEnd = absl::InfinitePast();
};

} // namespace turmericdyke
