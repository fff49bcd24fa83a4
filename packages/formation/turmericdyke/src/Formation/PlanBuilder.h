#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "turmericdyke/src/Formation/FormationStrategy.h"
#include "turmericdyke/src/Formation/HostHistory.h"
#include "turmericdyke/src/Formation/OrderBook.h"
#include "turmericdyke/src/Formation/Plan.h"
#include "turmericdyke/src/Formation/PlannerInput.h"
#include "turmericdyke/src/Formation/PlannerOptions.h"

namespace turmericdyke::internal {

/// Settings and memory that a planner lends to one plan.
struct PlanContext {
  const PlannerOptions &m_options;
  const FormationStrategy &m_strategy;
  const PlannerTestHooks &m_hooks;
  const HostHistory &m_history;
  OrderBook &m_orders;
  absl::flat_hash_map<ReplicaId, Instant> &m_endingSince;
  absl::flat_hash_map<ReplicaId, Instant> &m_mixedSince;
};

/// Builds one plan, step by step.
class PlanBuilder {
public:
  PlanBuilder(Instant Now, const PlannerInput &Input, PlanContext Context);
  Plan build();

private:
  enum class MemberCondition {
    /// Echoes its place.
    Echoing,
    /// Present, but does not echo its place yet.
    Joining,
    /// Silent for a short time.
    Absent,
    /// Silent for long, leaving, in another fabric domain, or it does not
    /// follow orders.
    Lost,
    /// Present under a newer incarnation, without its weights.
    Restarted,
  };

  struct Pool {
    const PoolView *m_view = nullptr;
    std::int64_t m_serving = 0;
    /// Replicas that serve or will serve without a further move, and that are
    /// not to be drained.
    std::int64_t m_sound = 0;
    /// Those of them that serve.
    std::int64_t m_soundServing = 0;
    std::string m_reason;
    std::map<FailureDomainId, std::int64_t> m_byFailureDomain;
    std::map<FabricDomainId, std::int64_t> m_byFabricDomain;

    std::int64_t missingRequests() const;
  };

  struct Replica {
    const Assignment *m_assignment = nullptr;
    Pool *m_pool = nullptr;
    std::vector<MemberCondition> m_members;
    std::int64_t m_toReplace = 0;
    std::int64_t m_drained = 0;
    std::int64_t m_work = 0;
    bool m_serves = false;
    bool m_absent = false;
    /// The members show different engine builds for long.
    bool m_mixed = false;
    /// Being ended, by the log or by this plan.
    bool m_ending = false;
    /// Replaced by a new generation in this plan.
    bool m_repaired = false;
    /// Finishes its requests before a drained member is replaced.
    bool m_finishing = false;
    std::string m_reason;
    /// Build that replacements should show, if not the accepted one.
    std::string m_wantedBuild;

    bool isSound() const {
      return !m_ending && !m_mixed && m_toReplace == 0 && m_drained == 0;
    }
  };

  struct Domain {
    FailureDomainId m_failureDomain;
    std::vector<const TargetView *> m_free;
    /// Hosts of ending replicas and departing hosts, which become free soon.
    std::int64_t m_incoming = 0;
  };

  void indexTargets();
  void indexOccupied();
  void indexPools();
  void assessReplicas();
  Replica assess(const Assignment &Value);
  MemberCondition conditionOf(const Assignment &Value, std::size_t Rank,
                              const TargetView &View) const;
  void finishEndings();
  void acceptBuilds();
  void resolveMixedBuilds(Replica &Value,
                          absl::flat_hash_map<ReplicaId, Instant> &MixedSince);
  static void countSound(const Replica &Value, std::int64_t By);
  void endUnneeded();
  void endExcess(Pool &Value);
  void repairReplicas();
  void repair(Replica &Value);
  void replaceMembers(Replica &Value, bool ReplaceDrained);
  void findHostsFor(Replica &Value);
  bool endVictim(Replica &For);
  void formHeld();
  bool finishesWork(Replica &Value);
  void swapDrained();
  bool sendOrder(Order Wanted, const TargetView &View, bool NeedsLoad);
  void formSurplus();
  bool formReplica(Pool &Value, std::int64_t Spares);
  bool reclaimFor(Pool &Value);
  void issueOrders();
  void orderRelease(const AssignedMember &Member, const TargetView &View);
  void orderJoin(const Replica &Value, std::size_t Rank);
  void report();
  ReplicaStatus statusOf(const Replica &Value) const;

  const TargetView *view(const TargetId &Target) const;
  bool isFresh(const TargetView &View) const;
  bool isDrained(const TargetAnnouncement &Said) const;
  static bool holdsNoReplica(const TargetAnnouncement &Said);
  bool isFree(const TargetView &View) const;
  bool mayMove();
  void end(Replica &Value, std::string_view Reason);
  std::vector<const TargetView *> takeSameBuild(Domain &From,
                                                std::int64_t Count,
                                                std::int64_t Accelerators,
                                                std::string_view Build);
  std::vector<DomainCandidate> candidatesFor(const Pool &Value,
                                             std::int64_t Spares,
                                             std::vector<Domain *> &Domains,
                                             std::vector<FabricDomainId> &Ids);
  std::vector<Pool *> poolsByNeed();
  std::int64_t soundOthers(const Replica &Value) const;
  bool isSurplus(const Replica &Value) const;

  Instant m_now;
  const PlannerInput &m_input;
  PlanContext m_context;
  Plan m_plan;
  std::int64_t m_moves = 0;
  bool m_settled = false;
  /// By target.
  absl::flat_hash_map<std::string_view, const TargetView *> m_views;
  /// Hosts and targets in an assignment or departing.
  absl::flat_hash_set<std::string_view> m_occupied;
  absl::flat_hash_set<const TargetView *> m_occupiedViews;
  std::map<FabricDomainId, Domain> m_domains;
  std::map<std::string, Pool> m_pools;
  std::vector<Replica> m_replicas;
  /// Replicas that an active assignment gives each fabric domain.
  std::map<FabricDomainId, std::vector<std::size_t>> m_replicasByDomain;
};

} // namespace turmericdyke::internal
