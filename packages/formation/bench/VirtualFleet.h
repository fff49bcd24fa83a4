#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "turmericdyke/Control"
#include "turmericdyke/Formation"

namespace turmericdyke {

/// Size, load rates and order delays of a simulated fleet.
struct VirtualFleetOptions {
  int m_failureDomains = 3;
  int m_fabricDomainsEach = 2;
  int m_hostsPerFabricDomain = 10;
  /// Number of hosts of each fabric domain. If set, it replaces
  /// `m_fabricDomainsEach` and `m_hostsPerFabricDomain`.
  std::vector<int> m_domainSizes;
  std::int64_t m_acceleratorsPerHost = 8;
  /// Size of the weights that each member loads, in GB, and the transfer rates
  /// of the weight store and of one host, in GB/s.
  double m_weights = 80;
  double m_storeRate = 10;
  double m_hostRate = 4;
  /// Every n-th target ignores fencing tokens; 0 for none.
  int m_everyNthIgnoresFences = 3;
  /// Largest random delay of an order, and the fraction of orders that are
  /// delivered twice.
  absl::Duration m_maxOrderDelay = absl::Milliseconds(250);
  double m_duplicateShare = 0;
};

/// A target of the simulated fleet: its actual state and the state that the
/// nodes know from its last announcement.
struct VirtualTarget {
  TargetAnnouncement m_actual;
  bool m_up = true;
  Instant m_pausedUntil = absl::InfinitePast();
  double m_loaded = 0;
  bool m_ignoresOrders = false;
  /// The last announcement that the nodes received.
  TargetAnnouncement m_announced;
  Instant m_lastHeard = absl::InfinitePast();

  bool isRunning(Instant Now) const { return m_up && Now >= m_pausedUntil; }
};

/// Runs the production planner and control state in virtual time, with
/// simulated targets, a rate-limited weight store and delayed orders.
class VirtualFleet {
public:
  VirtualFleet(const VirtualFleetOptions &Options, PlannerOptions Settings,
               FormationStrategy Strategy, std::uint64_t Seed);

  static constexpr absl::Duration StepLength = absl::Milliseconds(250);

  /// Wraps the call to the planner, so that a benchmark can measure it.
  using PlanCall =
      std::function<Plan(Planner &, Instant, const PlannerInput &)>;
  void setPlanCall(PlanCall Call) { m_planCall = std::move(Call); }

  /// Advances the time by one step.
  void step();
  void run(absl::Duration Length);
  /// Advances until `Done` returns true. Returns the time that passed, or
  /// infinity if it exceeds `Limit`.
  absl::Duration runUntil(const std::function<bool()> &Done,
                          absl::Duration Limit);

  void setPools(std::vector<PoolView> Pools) { m_pools = std::move(Pools); }
  void fail(std::size_t Target) { m_targets[Target].m_up = false; }
  /// Starts a failed target under a new incarnation.
  void restore(std::size_t Target);
  /// Restarts a target without downtime, under a new incarnation.
  void restart(std::size_t Target);
  void pause(std::size_t Target, absl::Duration Length);
  void setDrained(std::size_t Target, bool Drained);
  /// Makes a target announce itself but ignore all orders.
  void ignoreOrders(std::size_t Target) {
    m_targets[Target].m_ignoresOrders = true;
  }
  /// Sets the load that a target reports.
  void setRunning(std::size_t Target, std::int64_t Requests) {
    m_targets[Target].m_actual.m_load.m_running = Requests;
  }
  void setBuild(std::size_t Target, std::string Build);
  /// Replaces the leader by one that knows no targets yet.
  void changeLeader();
  void setTestHooks(const internal::PlannerTestHooks &Hooks);

  Instant now() const { return m_now; }
  const ControlState &state() const { return m_state; }
  const std::vector<VirtualTarget> &targets() const { return m_targets; }
  const std::vector<PoolView> &pools() const { return m_pools; }
  const Plan &lastPlan() const { return m_plan; }
  bool planned() const { return m_planned; }
  std::size_t indexOf(const TargetId &Target) const;
  TargetView viewOf(const TargetId &Target) const;
  bool serves(const Assignment &Value) const;
  std::int64_t servingReplicas(std::string_view Pool) const;
  /// Whether each pool serves enough replicas for its capacity held.
  bool holdsCapacity() const;
  /// Accelerators of running hosts outside any serving replica.
  std::int64_t strandedAccelerators() const;
  std::mt19937_64 &random() { return m_random; }

private:
  struct Delivery {
    Instant m_at;
    Order m_order;
  };
  void loadWeights();
  void announce();
  void deliver();
  void applyOrder(VirtualTarget &Target, const Order &Received);
  void makePlan();
  void apply(const Command &Value);

  VirtualFleetOptions m_options;
  PlannerOptions m_settings;
  FormationStrategy m_strategy;
  internal::PlannerTestHooks m_hooks;
  std::mt19937_64 m_random;
  Instant m_now = absl::FromUnixSeconds(1000);
  Instant m_leaderSince = absl::InfinitePast();
  Instant m_observingSince;
  std::uint64_t m_steps = 0;
  std::uint64_t m_logIndex = 0;
  std::uint64_t m_changes = 0;
  FencingTokenRange m_fencingTokens;
  std::vector<VirtualTarget> m_targets;
  std::vector<PoolView> m_pools;
  std::vector<Delivery> m_deliveries;
  std::unique_ptr<Planner> m_planner;
  ControlState m_state;
  Plan m_plan;
  bool m_planned = false;
  PlanCall m_planCall;
};

/// Creates a pool of one model that needs `Held` replicas for its capacity held
/// and `Wanted` replicas for its capacity limit.
PoolView virtualPool(std::string_view Model, std::int64_t Hosts,
                     std::int64_t Held, std::int64_t Wanted,
                     EnginePatchPolicy Policy = EnginePatchPolicy::Accept);

} // namespace turmericdyke
