#pragma once

#include "turmericdyke/src/Base/Instant.h"

namespace turmericdyke {

struct SharedRetryBudgetOptions {
  /// Retries per request of all nodes together, within a window.
  double m_ratio = 0.2;
  /// Retries in addition to the ratio, of all nodes together, within a window.
  double m_slack = 100;
  absl::Duration m_window = absl::Seconds(10);
};

/// This node's part of the retry budget that all entry nodes share for a
/// service. Each node takes an equal part of the slack, and the ratio of its
/// own requests. The sum thus stays within the limit without coordination,
/// however uneven the load is.
class SharedRetryBudget {
public:
  explicit SharedRetryBudget(SharedRetryBudgetOptions Options = {});

  /// Sets the number of nodes that share the slack.
  void setNodes(double Nodes);
  void onRequest(Instant Now);
  /// Takes one retry if the budget allows it.
  bool tryTake(Instant Now);
  double available(Instant Now);

private:
  void refill(Instant Now);
  double maxTokens() const;

  SharedRetryBudgetOptions m_options;
  double m_nodes = 1;
  double m_tokens = 0;
  bool m_started = false;
  Instant m_refilled = absl::InfinitePast();
};

} // namespace turmericdyke
