#pragma once

#include "absl/container/flat_hash_map.h"
#include "turmericdyke/src/Formation/FormationStrategy.h"
#include "turmericdyke/src/Formation/OrderTracker.h"
#include "turmericdyke/src/Formation/Plan.h"
#include "turmericdyke/src/Formation/PlannerInput.h"
#include "turmericdyke/src/Formation/PlannerOptions.h"
#include "turmericdyke/src/Formation/TargetFlapTracker.h"

namespace turmericdyke {

/// Decides which hosts form which replicas. A planner lives for one leadership
/// term and keeps the orders it sent and the targets that flap. Call it only
/// while the node holds the leader lease, and only after the changes of the
/// last plan were applied or rejected.
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
  internal::TargetFlapTracker m_flapTracker;
  internal::OrderTracker m_orders;
  /// When this planner first saw each ending assignment in that phase.
  absl::flat_hash_map<ReplicaId, Instant> m_endingSince;
  /// When the members of a replica were first seen with different engine
  /// builds.
  absl::flat_hash_map<ReplicaId, Instant> m_mixedSince;
};

} // namespace turmericdyke
