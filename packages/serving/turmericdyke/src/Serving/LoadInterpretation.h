#pragma once

#include <cstddef>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"

namespace turmericdyke {

/// What a node knows of the load of one target. The unit of load is the same
/// for all targets of an interpretation, for example requests.
struct ReportedLoad {
  /// Load at which the target is fully used, above 0.
  double m_capacity = 1;
  /// Load of this node's own requests now, exact.
  double m_own = 0;
  /// Load of the other nodes' requests when the report was made.
  double m_others = 0;
  /// Age of the report.
  absl::Duration m_age = absl::ZeroDuration();
  /// Mean time from placing a request to its end, above 0.
  absl::Duration m_meanRunTime = absl::Seconds(1);
};

/// The present load of targets, estimated from reports of the past.
struct LoadInterpretation {
  /// Load that has not completed since the report, for each target, without
  /// what other nodes have placed since.
  std::vector<double> m_remaining;
  /// What all nodes together have placed since the reports.
  double m_arrivals = 0;
  /// Load per capacity to which the arrivals fill the least loaded targets.
  double m_level = 0;
  /// What each target lacks to the level that it should reach in some multiple
  /// of the age of the reports.
  std::vector<double> m_deficits;

  /// Estimated present load per capacity of a target.
  double loadOf(std::size_t At, const ReportedLoad &Report) const;
};

/// Estimates the present load of each target and what it lacks. Requests run
/// for their mean run time, so a fraction of those reported has completed that
/// is the age divided by the run time. By Little's law as many have been placed
/// since, by nodes that all choose by their view of the same reports. `Request`
/// is the load of the request to be placed, above 0. Differences between
/// targets are levelled out by the arrivals of `Ages` times the age of the
/// reports, at least 1.
LoadInterpretation interpretLoad(absl::Span<const ReportedLoad> Reports,
                                 double Request, double Ages);

} // namespace turmericdyke
