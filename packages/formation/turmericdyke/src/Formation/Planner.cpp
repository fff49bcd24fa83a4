#include "turmericdyke/src/Formation/Planner.h"

#include "turmericdyke/src/Formation/PlanBuilder.h"

namespace turmericdyke {

Planner::Planner(PlannerOptions Options, FormationStrategy Strategy)
    : m_options(Options), m_strategy(Strategy), m_flapTracker(Options) {}

Plan Planner::plan(Instant Now, const PlannerInput &Input) {
  m_flapTracker.observe(Now, Input.m_targets);
  m_orders.start(Now, Input.m_fencingTokens);
  internal::PlanBuilder Builder(Now, Input,
                                {m_options, m_strategy, m_hooks, m_flapTracker,
                                 m_orders, m_endingSince, m_mixedSince});
  return Builder.build();
}

void Planner::setTestHooks(const internal::PlannerTestHooks &Hooks) {
  m_hooks = Hooks;
  if (Hooks.m_repeatFences)
    m_orders.repeatFences();
}

} // namespace turmericdyke
