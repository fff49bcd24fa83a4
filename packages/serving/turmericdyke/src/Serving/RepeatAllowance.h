#pragma once

#include "turmericdyke/src/Base/Instant.h"

namespace turmericdyke {

struct RepeatAllowanceOptions {
  /// Repeats for each request, of all nodes together, within a window.
  double m_ratio = 0.2;
  /// Repeats beside the ratio, of all nodes together, within a window.
  double m_slack = 100;
  absl::Duration m_window = absl::Seconds(10);
};

/// This node's part of the repeats that all entry nodes may send to a service.
/// Each node takes an equal part of the slack, and the ratio of its own
/// requests, so that the sum stays within the bound however uneven the load is,
/// without a message.
class RepeatAllowance {
public:
  explicit RepeatAllowance(RepeatAllowanceOptions Options = {});

  /// How many nodes share the slack now.
  void setNodes(double Nodes);
  void onRequest(Instant Now);
  /// Takes one repeat if the allowance holds it.
  bool tryTake(Instant Now);
  double available(Instant Now);

private:
  void refill(Instant Now);
  double mostTokens() const;

  RepeatAllowanceOptions m_options;
  double m_nodes = 1;
  double m_tokens = 0;
  bool m_started = false;
  Instant m_refilled = absl::InfinitePast();
};

} // namespace turmericdyke
