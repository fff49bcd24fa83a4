#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "absl/random/random.h"
#include "absl/synchronization/mutex.h"
#include "turmericdyke/src/Base/Metrics.h"
#include "turmericdyke/src/Edge/AdmissionGate.h"
#include "turmericdyke/src/Edge/ClusterView.h"
#include "turmericdyke/src/Edge/ReplicaRouter.h"
#include "turmericdyke/src/Edge/TargetLoop.h"
#include "turmericdyke/src/Requests/RetryBudget.h"
#include "turmericdyke/src/Requests/RetryPolicy.h"

namespace turmericdyke {

/// The state that all request threads of a node share. Each member has its own
/// locks.
struct EdgeServices {
  MetricsRegistry m_metrics;
  ViewHolder m_views;
  ReplicaRouter m_router;
  AdmissionGate m_gate;
  TargetLoop m_targets;
  /// This node's name and the incarnation of this process; together they make
  /// request identifiers unique.
  NodeId m_node;
  std::uint64_t m_incarnation = 0;
  /// The incarnation under which this node begins once-only calls. If this node
  /// was declared lost while it was disconnected, the calls of that incarnation
  /// were closed as *may have run*, so the node must use a new one.
  std::atomic<std::uint64_t> m_onceOnlyIncarnation{0};

  /// Replaces the incarnation `Lost` unless another thread has already done so,
  /// and returns the current one.
  std::uint64_t renewOnceOnlyIncarnation(std::uint64_t Lost);

  /// Returns a new identifier `NODE-INCARNATION-COUNT`.
  std::string nextId();

  /// Counts a request for the retry budget of the pool.
  void onRequest(const std::string &Pool);
  /// Decides whether to retry within the pool's retry budget. Returns the delay
  /// before the retry, or nothing if there must be none.
  std::optional<absl::Duration> retryDelay(const std::string &Pool,
                                           const RetryRequest &Request,
                                           const AttemptResult &Result);

private:
  std::atomic<std::uint64_t> m_nextId{1};
  absl::Mutex m_budgetLock;
  std::map<std::string, RetryBudget> m_budgets ABSL_GUARDED_BY(m_budgetLock);
  absl::BitGen m_random ABSL_GUARDED_BY(m_budgetLock);
};

} // namespace turmericdyke
