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
#include "turmericdyke/src/Requests/RetryBudget.h"
#include "turmericdyke/src/Requests/RetryPolicy.h"

namespace turmericdyke {

/// What all request threads of a node share. Each part has its own locks.
struct EdgeServices {
  MetricsRegistry m_metrics;
  ViewHolder m_views;
  ReplicaRouter m_router;
  AdmissionGate m_gate;
  /// This node's name and the number drawn at its start; they make request
  /// identifiers unique.
  NodeId m_node;
  std::uint64_t m_incarnation = 0;
  /// The incarnation under which this node begins once-only calls. A node that
  /// was declared lost while it was cut off takes a new one, because the calls
  /// of the old one were closed as *may have run*.
  std::atomic<std::uint64_t> m_onceOnlyIncarnation{0};

  /// Replaces the ledger incarnation `Lost` unless another thread has done so,
  /// and returns the present one.
  std::uint64_t renewOnceOnlyIncarnation(std::uint64_t Lost);

  /// A new identifier `NODE-INCARNATION-COUNT`.
  std::string nextId();

  /// Counts a request of the pool for its retry budget.
  void onRequest(const std::string &Pool);
  /// Decides on a retry within the pool's budget; the pause before it, or
  /// nothing when there is none.
  std::optional<absl::Duration> retryPause(const std::string &Pool,
                                           const RetryRequest &Request,
                                           const AttemptResult &Result);

private:
  std::atomic<std::uint64_t> m_nextId{1};
  absl::Mutex m_budgetLock;
  std::map<std::string, RetryBudget> m_budgets ABSL_GUARDED_BY(m_budgetLock);
  absl::BitGen m_random ABSL_GUARDED_BY(m_budgetLock);
};

} // namespace turmericdyke
