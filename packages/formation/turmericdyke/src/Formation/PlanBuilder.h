#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "turmericdyke/src/Formation/FormationStrategy.h"
#include "turmericdyke/src/Formation/OrderTracker.h"
#include "turmericdyke/src/Formation/Plan.h"
#include "turmericdyke/src/Formation/PlannerInput.h"
#include "turmericdyke/src/Formation/PlannerOptions.h"
#include "turmericdyke/src/Formation/TargetFlapTracker.h"

namespace turmericdyke::internal {

/// Settings and state of the planner that outlive a single plan.
struct PlanContext {
  const PlannerOptions &m_options;
  const FormationStrategy &m_strategy;
  const PlannerTestHooks &m_hooks;
  const TargetFlapTracker &m_flapTracker;
  OrderTracker &m_orders;
  absl::flat_hash_map<ReplicaId, Instant> &m_endingSince;
  absl::flat_hash_map<ReplicaId, Instant> &m_mixedSince;
};

/// Builds a single plan.
class PlanBuilder {
public:
  PlanBuilder(Instant Now, const PlannerInput &Input, PlanContext Context);
  Plan build();

private:
  enum class MemberCondition {
    /// Announces its place in the replica.
    Joined,
    /// Present, but does not announce its place in the replica yet.
    Joining,
    /// Silent, but not yet for long enough to be replaced.
    Absent,
    /// To be replaced: silent for too long, leaving, moved to another host or
    /// fabric domain, or ignoring orders.
    Lost,
    /// Present under a newer incarnation, and has lost its weights.
    Restarted,
  };

  struct Pool {
    const PoolView *m_view = nullptr;
    std::int64_t m_serving = 0;
    /// Replicas that serve, or will serve without further changes, and have no
    /// member that is being drained.
    std::int64_t m_healthy = 0;
    /// Healthy replicas that serve now.
    std::int64_t m_healthyServing = 0;
    std::string m_reason;
    std::map<FailureDomainId, std::int64_t> m_byFailureDomain;
    std::map<FabricDomainId, std::int64_t> m_byFabricDomain;

    std::int64_t missingRequests() const;
  };

  struct Replica {
    const Assignment *m_assignment = nullptr;
    Pool *m_pool = nullptr;
    std::vector<MemberCondition> m_members;
    std::int64_t m_membersToReplace = 0;
    std::int64_t m_drainedMembers = 0;
    std::int64_t m_outstandingRequests = 0;
    bool m_serves = false;
    bool m_hasAbsentMember = false;
    /// The members have run different engine builds for too long.
    bool m_hasMixedBuilds = false;
    /// Being ended, according to the log or by this plan.
    bool m_ending = false;
    /// Gets a new generation in this plan.
    bool m_repaired = false;
    /// Finishes its running requests before a drained member is replaced.
    bool m_isDraining = false;
    std::string m_reason;
    /// Engine build required of replacement members; if empty, the accepted
    /// one.
    std::string m_wantedBuild;

    bool isHealthy() const {
      return !m_ending && !m_hasMixedBuilds && m_membersToReplace == 0 &&
             m_drainedMembers == 0;
    }
  };

  struct Domain {
    FailureDomainId m_failureDomain;
    std::vector<const TargetView *> m_free;
    /// Departing hosts and hosts of ending replicas, which will become free.
    std::int64_t m_soonFree = 0;
  };

  void indexTargets();
  void indexOccupied();
  void indexPools();
  void assessReplicas();
  Replica assess(const Assignment &Value);
  MemberCondition conditionOf(const Assignment &Value, std::size_t Rank,
                              const TargetView &View) const;
  void removeReleased();
  void acceptBuilds();
  void resolveMixedBuilds(Replica &Value,
                          absl::flat_hash_map<ReplicaId, Instant> &MixedSince);
  static void countHealthy(const Replica &Value, std::int64_t By);
  void endUnneededReplicas();
  void endExcessReplicas(Pool &Value);
  void repairReplicas();
  void repair(Replica &Value);
  void replaceMembers(Replica &Value, bool ReplaceDrained);
  void findHostsFor(Replica &Value);
  bool endReplicaToFreeHosts(Replica &For);
  void formRequiredReplicas();
  bool drainForReplacement(Replica &Value);
  void replaceDrainedMembers();
  bool sendOrder(Order Wanted, const TargetView &View, bool NeedsLoad);
  void formExtraReplicas();
  bool formReplica(Pool &Value, std::int64_t Spares);
  bool reclaimHostsFor(Pool &Value);
  void issueOrders();
  void orderRelease(const AssignedMember &Member, const TargetView &View);
  void orderJoin(const Replica &Value, std::size_t Rank);
  void report();
  ReplicaStatus statusOf(const Replica &Value) const;

  const TargetView *view(const TargetId &Target) const;
  bool isFresh(const TargetView &View) const;
  bool isDrained(const TargetAnnouncement &Announcement) const;
  static bool hasNoReplica(const TargetAnnouncement &Announcement);
  bool isFree(const TargetView &View) const;
  bool tryCountReplicaChange();
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
  std::int64_t otherHealthyServing(const Replica &Value) const;
  bool isSurplus(const Replica &Value) const;

  Instant m_now;
  const PlannerInput &m_input;
  PlanContext m_context;
  Plan m_plan;
  std::int64_t m_replicaChanges = 0;
  bool m_fleetIsKnown = false;
  /// By target identifier.
  absl::flat_hash_map<std::string_view, const TargetView *> m_views;
  /// Hosts and targets that belong to an assignment or are departing.
  absl::flat_hash_set<std::string_view> m_occupied;
  absl::flat_hash_set<const TargetView *> m_occupiedViews;
  std::map<FabricDomainId, Domain> m_domains;
  std::map<std::string, Pool> m_pools;
  std::vector<Replica> m_replicas;
  /// Indexes of the replicas with an active assignment, by fabric domain.
  std::map<FabricDomainId, std::vector<std::size_t>> m_replicasByDomain;
};

} // namespace turmericdyke::internal
