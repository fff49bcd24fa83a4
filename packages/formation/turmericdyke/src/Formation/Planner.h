#pragma once

#include "absl/container/flat_hash_map.h"
#include "turmericdyke/src/Formation/FormationStrategy.h"
#include "turmericdyke/src/Formation/HostHistory.h"
#include "turmericdyke/src/Formation/OrderBook.h"
#include "turmericdyke/src/Formation/Plan.h"
#include "turmericdyke/src/Formation/PlannerInput.h"
#include "turmericdyke/src/Formation/PlannerOptions.h"

namespace turmericdyke {

/// Decides which hosts form which replicas. One planner serves one term of
/// leadership: it remembers the orders it sent and which hosts come and go. It
/// is called while the node holds the leader lease, and again only after the
/// changes of the last plan were applied or refused.
class Planner {
public:
  explicit Planner(PlannerOptions Options = {},
                   FormationStrategy Strategy = defaultStrategy());

  Plan plan(Instant Now, const PlannerInput &Input);

  void setTestHooks(const internal::PlannerTestHooks &Hooks);

private:
  PlannerOptions m_options;
  FormationStrategy m_strategy;
  internal::PlannerTestHooks m_hooks;
  internal::HostHistory m_history;
  internal::OrderBook m_orders;
  /// When each ending assignment was first seen as ending.
  absl::flat_hash_map<ReplicaId, Instant> m_endingSince;
  /// Since when the members of a replica show different engine builds.
  absl::flat_hash_map<ReplicaId, Instant> m_mixedSince;
};

} // namespace turmericdyke
