#include "turmericdyke/src/Formation/PlanBuilder.h"

#include <algorithm>
#include <cassert>
#include <tuple>

#include <fmt/format.h>

#include "turmericdyke/src/Formation/ReplicaPredicate.h"

namespace turmericdyke::internal {

namespace {

// A plan that runs out of fencing tokens stays incomplete, so the next range is
// requested while this one still suffices for several plans.
constexpr std::uint64_t FencingTokenReserve = 1024;

} // namespace

std::int64_t PlanBuilder::Pool::missingRequests() const {
  return std::max<std::int64_t>(
      0,
      m_view->m_capacityHeld - m_serving * m_view->m_model.m_slotsPerReplica);
}

PlanBuilder::PlanBuilder(Instant Now, const PlannerInput &Input,
                         PlanContext Context)
    : m_now(Now), m_input(Input), m_context(Context) {
  assert(Input.m_drainedTargets != nullptr && Input.m_drainedHosts != nullptr &&
         "the drained sets must not be null, but may be empty");
}

Plan PlanBuilder::build() {
  // Right after a start most targets are still unknown, and placement would use
  // only a fraction of the fleet.
  m_fleetIsKnown = m_now - m_input.m_observingSince >= FreshnessBound;
  indexOccupied();
  indexTargets();
  indexPools();
  assessReplicas();
  removeReleased();
  acceptBuilds();
  endUnneededReplicas();
  repairReplicas();
  formRequiredReplicas();
  replaceDrainedMembers();
  formExtraReplicas();
  issueOrders();
  report();
  m_plan.m_needsFencingTokens =
      m_context.m_orders.fencingTokensLeft() < FencingTokenReserve;
  return std::move(m_plan);
}

const TargetView *PlanBuilder::view(const TargetId &Target) const {
  static const TargetView Unknown;
  auto Found = m_views.find(Target.str());
  return Found == m_views.end() ? &Unknown : Found->second;
}

bool PlanBuilder::isFresh(const TargetView &View) const {
  return View.m_announcement != nullptr &&
         m_now - View.m_lastHeard <= FreshnessBound;
}

bool PlanBuilder::isDrained(const TargetAnnouncement &Announcement) const {
  return m_input.m_drainedTargets->contains(Announcement.m_target) ||
         m_input.m_drainedHosts->contains(Announcement.m_host);
}

bool PlanBuilder::hasNoReplica(const TargetAnnouncement &Announcement) {
  return Announcement.m_membership.m_replica.empty() &&
         (Announcement.m_state == TargetState::Idle ||
          Announcement.m_state == TargetState::Ready);
}

bool PlanBuilder::isFree(const TargetView &View) const {
  const TargetAnnouncement &Announcement = *View.m_announcement;

  return Announcement.m_kind == TargetKind::Model && isFresh(View) &&
         (hasNoReplica(Announcement) || m_context.m_hooks.m_skipReleaseRule) &&
         !m_occupied.contains(Announcement.m_host.str()) &&
         !m_occupiedViews.contains(&View) && !isDrained(Announcement) &&
         !m_context.m_orders.isUnresponsive(Announcement.m_target, m_now) &&
         !m_context.m_flapTracker.isHeldDown(Announcement.m_target, m_now);
}

void PlanBuilder::indexOccupied() {
  m_views.reserve(m_input.m_targets.size());
  for (const TargetView &View : m_input.m_targets)
    if (View.m_announcement != nullptr)
      m_views[View.m_announcement->m_target.str()] = &View;
  m_occupied.reserve(m_views.size());
  m_occupiedViews.reserve(m_views.size());
  auto Occupy = [this](const AssignedMember &Member) {
    m_occupied.insert(Member.m_host.str());
    m_occupiedViews.insert(view(Member.m_target));
  };
  for (const auto &Value : m_input.m_assignments)
    for (const AssignedMember &Member : Value->m_members)
      Occupy(Member);
  if (!m_context.m_hooks.m_skipReleaseRule)
    for (const DepartingMember &Departing : m_input.m_departing)
      Occupy(Departing.m_member);
}

void PlanBuilder::indexTargets() {
  for (const TargetView &View : m_input.m_targets) {
    if (View.m_announcement == nullptr)
      continue;
    const TargetAnnouncement &Announcement = *View.m_announcement;
    FabricDomainId Fabric = m_context.m_hooks.m_mixFabricDomains
                                ? FabricDomainId("all")
                                : Announcement.m_fabricDomain;
    Domain &HostDomain = m_domains[Fabric];
    HostDomain.m_failureDomain = Announcement.m_failureDomain;
    if (isFree(View))
      HostDomain.m_free.push_back(&View);
    bool Loads = isFresh(View) && Announcement.m_state == TargetState::Loading;
    bool Ordered = Announcement.m_state != TargetState::Ready &&
                   m_context.m_orders.isLoadOrdered(Announcement.m_target);
    if (Loads || Ordered)
      ++m_plan.m_loadsRunning;
  }
  for (auto &[Id, HostDomain] : m_domains)
    std::sort(HostDomain.m_free.begin(), HostDomain.m_free.end(),
              [](const TargetView *A, const TargetView *B) {
                return A->m_announcement->m_host < B->m_announcement->m_host;
              });
  for (const DepartingMember &Departing : m_input.m_departing) {
    const TargetView *View = view(Departing.m_member.m_target);
    if (isFresh(*View) && !isDrained(*View->m_announcement))
      ++m_domains[View->m_announcement->m_fabricDomain].m_soonFree;
  }
}

void PlanBuilder::indexPools() {
  for (const PoolView &View : m_input.m_pools)
    m_pools[View.m_name].m_view = &View;
}

PlanBuilder::MemberCondition
PlanBuilder::conditionOf(const Assignment &Value, std::size_t Rank,
                         const TargetView &View) const {
  const AssignedMember &Member = Value.m_members[Rank];
  Instant Heard = std::max(View.m_lastHeard, m_input.m_observingSince);
  if (m_now - Heard > m_context.m_options.m_repairAfter)
    return MemberCondition::Lost;
  if (!isFresh(View))
    return MemberCondition::Absent;
  const TargetAnnouncement &Announcement = *View.m_announcement;
  bool Moved = Announcement.m_host != Member.m_host ||
               (Announcement.m_fabricDomain != Value.m_fabricDomain &&
                !m_context.m_hooks.m_mixFabricDomains);
  if (Moved || Announcement.m_state == TargetState::Leaving)
    return MemberCondition::Lost;
  if (Announcement.m_incarnation > Member.m_incarnation)
    return MemberCondition::Restarted;
  if (Announcement.m_incarnation < Member.m_incarnation)
    return MemberCondition::Absent;

  bool Runs = Announcement.m_state == TargetState::Loading ||
              Announcement.m_state == TargetState::Ready;
  if (Runs && memberHasJoined(Value, Rank, View, m_now))
    return MemberCondition::Joined;
  return m_context.m_orders.isUnresponsive(Member.m_target, m_now)
             ? MemberCondition::Lost
             : MemberCondition::Joining;
}

PlanBuilder::Replica PlanBuilder::assess(const Assignment &Value) {
  Replica Assessed;
  Assessed.m_assignment = &Value;
  Assessed.m_ending = Value.m_phase == AssignmentPhase::Ending;
  auto Found = m_pools.find(Value.m_pool);
  Assessed.m_pool = Found == m_pools.end() ? nullptr : &Found->second;
  std::vector<TargetView> Views;
  Views.reserve(Value.m_members.size());
  Assessed.m_members.reserve(Value.m_members.size());
  for (std::size_t Rank = 0; Rank < Value.m_members.size(); ++Rank) {
    const TargetView &View = *view(Value.m_members[Rank].m_target);
    Views.push_back(View);
    if (m_context.m_hooks.m_skipFreshness)
      Views.back().m_lastHeard = m_now;
    MemberCondition Condition = conditionOf(Value, Rank, View);
    Assessed.m_members.push_back(Condition);
    Assessed.m_hasAbsentMember |= Condition == MemberCondition::Absent;
    Assessed.m_membersToReplace += Condition == MemberCondition::Lost ||
                                   Condition == MemberCondition::Restarted;
    if (View.m_announcement == nullptr)
      continue;
    Assessed.m_drainedMembers += isDrained(*View.m_announcement);
    Assessed.m_outstandingRequests += View.m_announcement->m_load.m_running +
                                      View.m_announcement->m_load.m_waiting;
  }
  Assessed.m_serves = replicaServes(Value, Views, m_now);
  return Assessed;
}

void PlanBuilder::assessReplicas() {
  m_replicas.reserve(m_input.m_assignments.size());
  for (const auto &Value : m_input.m_assignments) {
    m_replicas.push_back(assess(*Value));
    const Replica &Assessed = m_replicas.back();
    if (Assessed.m_ending) {
      m_domains[Value->m_fabricDomain].m_soonFree +=
          static_cast<std::int64_t>(Value->m_members.size()) -
          Assessed.m_membersToReplace - Assessed.m_drainedMembers;
      continue;
    }
    m_replicasByDomain[Value->m_fabricDomain].push_back(m_replicas.size() - 1);
    if (Assessed.m_pool == nullptr)
      continue;
    Assessed.m_pool->m_serving += Assessed.m_serves;
    countHealthy(Assessed, 1);
  }
}

bool PlanBuilder::tryCountReplicaChange() {
  if (m_replicaChanges >= m_context.m_options.m_maxReplicaChanges)
    return false;
  ++m_replicaChanges;
  return true;
}

void PlanBuilder::end(Replica &Value, std::string_view Reason) {
  if (Value.m_ending || Value.m_repaired || !tryCountReplicaChange())
    return;
  countHealthy(Value, -1);
  Value.m_ending = true;
  Value.m_reason = Reason;
  m_domains[Value.m_assignment->m_fabricDomain].m_soonFree +=
      static_cast<std::int64_t>(Value.m_members.size()) -
      Value.m_membersToReplace - Value.m_drainedMembers;
  SetAssignment Change{*Value.m_assignment, Value.m_assignment->m_generation};
  Change.m_assignment.m_phase = AssignmentPhase::Ending;
  m_plan.m_changes.push_back(std::move(Change));
}

void PlanBuilder::removeReleased() {
  auto Released = [this](const AssignedMember &Member) {
    return isReleased(Member, *view(Member.m_target), m_input.m_observingSince,
                      m_now);
  };
  for (const DepartingMember &Departing : m_input.m_departing)
    if (Released(Departing.m_member))
      m_plan.m_changes.push_back(ReleaseHost{Departing.m_member.m_host,
                                             Departing.m_replica,
                                             Departing.m_generation});
  for (const auto &Value : m_input.m_assignments)
    if (Value->m_phase == AssignmentPhase::Ending &&
        std::all_of(Value->m_members.begin(), Value->m_members.end(), Released))
      m_plan.m_changes.push_back(
          RemoveAssignment{Value->m_replica, Value->m_generation});
}

void PlanBuilder::acceptBuilds() {
  absl::flat_hash_map<ReplicaId, Instant> MixedSince;
  for (Replica &Value : m_replicas) {
    if (Value.m_ending || Value.m_pool == nullptr || Value.m_serves)
      continue;
    const Assignment &Assigned = *Value.m_assignment;
    std::map<std::string_view, std::int64_t> Builds;
    bool Complete = true;
    bool Changed = false;
    for (std::size_t Rank = 0; Rank < Assigned.m_members.size(); ++Rank) {
      const TargetView &View = *view(Assigned.m_members[Rank].m_target);
      bool Ready = Value.m_members[Rank] == MemberCondition::Joined &&
                   View.m_announcement->m_state == TargetState::Ready;
      Complete &= Ready;
      if (!Ready)
        continue;
      ++Builds[View.m_announcement->m_engineBuild];
      Changed |= !Assigned.m_acceptedBuild.empty() &&
                 View.m_announcement->m_engineBuild != Assigned.m_acceptedBuild;
    }
    const ResolvedModel &Model = Value.m_pool->m_view->m_model;
    if (Changed && Model.m_patchPolicy == EnginePatchPolicy::Reload)
      end(Value, "the engine build changed and the policy is to reload");
    else if (Complete && Builds.size() > 1)
      resolveMixedBuilds(Value, MixedSince);
    else if (Complete && Builds.begin()->first != Assigned.m_acceptedBuild)
      m_plan.m_changes.push_back(
          AcceptBuild{Assigned.m_replica, Assigned.m_generation,
                      std::string(Builds.begin()->first)});
    else if (Changed)
      Value.m_reason = "waits for all members to show one engine build";
  }
  m_context.m_mixedSince = std::move(MixedSince);
}

/// A patch reaches the members one after another, so the planner waits at
/// first. Then it replaces the members with a less common build by spares with
/// the most common one. Without enough such spares the replica no longer counts
/// as healthy, so that another one can be formed.
void PlanBuilder::resolveMixedBuilds(
    Replica &Value, absl::flat_hash_map<ReplicaId, Instant> &MixedSince) {
  const Assignment &Assigned = *Value.m_assignment;
  Value.m_reason = "the members show different engine builds";
  auto Known = m_context.m_mixedSince.find(Assigned.m_replica);
  Instant Since = Known == m_context.m_mixedSince.end() ? m_now : Known->second;
  MixedSince[Assigned.m_replica] = Since;
  if (m_now - Since < m_context.m_options.m_mixedBuildWait)
    return;
  std::map<std::string_view, std::int64_t> Builds;
  std::vector<std::string_view> EngineBuilds;
  for (const AssignedMember &Member : Assigned.m_members) {
    EngineBuilds.push_back(
        view(Member.m_target)->m_announcement->m_engineBuild);
    ++Builds[EngineBuilds.back()];
  }
  auto Common = std::max_element(
      Builds.begin(), Builds.end(),
      [](const auto &A, const auto &B) { return A.second < B.second; });
  const std::vector<const TargetView *> &Free =
      m_domains[Assigned.m_fabricDomain].m_free;
  std::int64_t Spares =
      std::count_if(Free.begin(), Free.end(), [&](const TargetView *View) {
        return View->m_announcement->m_engineBuild == Common->first;
      });
  std::int64_t Minority =
      static_cast<std::int64_t>(EngineBuilds.size()) - Common->second;
  countHealthy(Value, -1);
  Value.m_hasMixedBuilds = true;
  if (Spares < Minority)
    return;
  for (std::size_t Rank = 0; Rank < EngineBuilds.size(); ++Rank)
    if (EngineBuilds[Rank] != Common->first)
      Value.m_members[Rank] = MemberCondition::Lost;
  Value.m_membersToReplace = Minority;
  Value.m_wantedBuild = Common->first;
}

/// Adds `By` to the counts of healthy replicas of the pool, if this one is
/// healthy.
void PlanBuilder::countHealthy(const Replica &Value, std::int64_t By) {
  if (Value.m_pool == nullptr || !Value.isHealthy())
    return;
  Pool &Of = *Value.m_pool;
  Of.m_healthy += By;
  Of.m_healthyServing += Value.m_serves ? By : 0;
  Of.m_byFailureDomain[Value.m_assignment->m_failureDomain] += By;
  Of.m_byFabricDomain[Value.m_assignment->m_fabricDomain] += By;
}

std::int64_t PlanBuilder::otherHealthyServing(const Replica &Value) const {
  return Value.m_pool->m_healthyServing - (Value.isHealthy() && Value.m_serves);
}

/// Whether the pool serves its capacity held without this replica.
bool PlanBuilder::isSurplus(const Replica &Value) const {
  return Value.m_pool == nullptr ||
         otherHealthyServing(Value) >= Value.m_pool->m_view->replicasHeld();
}

void PlanBuilder::endExcessReplicas(Pool &Value) {
  std::vector<Replica *> Healthy;
  for (Replica &Each : m_replicas)
    if (Each.m_pool == &Value && Each.isHealthy())
      Healthy.push_back(&Each);
  // Replicas that do not serve are ended first, then those with the fewest
  // outstanding requests.
  std::sort(Healthy.begin(), Healthy.end(),
            [](const Replica *A, const Replica *B) {
              return std::make_tuple(A->m_serves, A->m_outstandingRequests) <
                     std::make_tuple(B->m_serves, B->m_outstandingRequests);
            });
  std::int64_t Excess = Value.m_healthy - Value.m_view->replicasWanted();
  for (std::int64_t Index = 0; Index < Excess; ++Index)
    end(*Healthy[static_cast<std::size_t>(Index)],
        "more replicas than the capacity limit needs");
}

void PlanBuilder::endUnneededReplicas() {
  for (Replica &Value : m_replicas) {
    if (Value.m_ending)
      continue;
    if (Value.m_pool == nullptr)
      end(Value, "no customer uses this pool");
    else if (!Value.isHealthy() && isSurplus(Value) &&
             (Value.m_membersToReplace == 0 ||
              Value.m_pool->m_healthy >=
                  Value.m_pool->m_view->replicasWanted()))
      end(Value, "the pool holds its capacity without it");
    else if (!m_context.m_strategy.m_keepsSurvivors &&
             Value.m_membersToReplace > 0)
      end(Value, "a member was lost");
  }
  for (auto &[Name, Value] : m_pools)
    if (Value.m_healthy > Value.m_view->replicasWanted())
      endExcessReplicas(Value);
}

std::vector<PlanBuilder::Pool *> PlanBuilder::poolsByNeed() {
  std::vector<Pool *> Sorted;
  for (auto &[Name, Value] : m_pools)
    Sorted.push_back(&Value);
  std::stable_sort(Sorted.begin(), Sorted.end(),
                   [](const Pool *A, const Pool *B) {
                     return A->missingRequests() > B->missingRequests();
                   });
  return Sorted;
}

std::vector<const TargetView *>
PlanBuilder::takeSameBuild(Domain &From, std::int64_t Count,
                           std::int64_t Accelerators, std::string_view Build) {
  std::vector<const TargetView *> Usable;
  for (const TargetView *View : From.m_free)
    if (View->m_announcement->m_accelerators >= Accelerators)
      Usable.push_back(View);
  if (static_cast<std::int64_t>(Usable.size()) < Count)
    return {};
  // If no build is required, prefer the most common one, because it most likely
  // covers all members.
  std::map<std::string_view, std::int64_t> Builds;
  for (const TargetView *View : Usable)
    ++Builds[View->m_announcement->m_engineBuild];
  auto Preference = [&](const TargetView *View) {
    const std::string &EngineBuild = View->m_announcement->m_engineBuild;
    return Build.empty() ? -Builds[EngineBuild]
                         : -std::int64_t(EngineBuild == Build);
  };
  std::stable_sort(Usable.begin(), Usable.end(),
                   [&](const TargetView *A, const TargetView *B) {
                     return Preference(A) < Preference(B);
                   });
  Usable.resize(static_cast<std::size_t>(Count));
  std::erase_if(From.m_free, [&](const TargetView *View) {
    return std::find(Usable.begin(), Usable.end(), View) != Usable.end();
  });
  return Usable;
}

void PlanBuilder::repairReplicas() {
  if (!m_fleetIsKnown || m_context.m_hooks.m_skipRepair)
    return;
  std::vector<Replica *> Broken;
  for (Replica &Value : m_replicas)
    if (!Value.m_ending && Value.m_pool != nullptr &&
        Value.m_membersToReplace > 0)
      Broken.push_back(&Value);
  // Pools that lack the most capacity come first, then the repairs with the
  // fewest replacements.
  std::stable_sort(Broken.begin(), Broken.end(),
                   [](const Replica *A, const Replica *B) {
                     return std::make_tuple(-A->m_pool->missingRequests(),
                                            A->m_membersToReplace) <
                            std::make_tuple(-B->m_pool->missingRequests(),
                                            B->m_membersToReplace);
                   });
  for (Replica *Value : Broken)
    if (!Value->m_ending)
      repair(*Value);
}

void PlanBuilder::repair(Replica &Value) {
  replaceMembers(Value, !Value.m_serves);
  if (!Value.m_repaired)
    findHostsFor(Value);
}

/// Starts a new generation of the replica if all members that need replacement
/// can be replaced.
void PlanBuilder::replaceMembers(Replica &Value, bool ReplaceDrained) {
  Assignment New = *Value.m_assignment;
  std::vector<std::size_t> RanksToReplace;
  for (std::size_t Rank = 0; Rank < New.m_members.size(); ++Rank) {
    AssignedMember &Member = New.m_members[Rank];
    const TargetView &View = *view(Member.m_target);
    bool Drained = ReplaceDrained && View.m_announcement != nullptr &&
                   isDrained(*View.m_announcement);
    bool Restarted = Value.m_members[Rank] == MemberCondition::Restarted;
    bool InPlace = Restarted && !Drained &&
                   hasNoReplica(*View.m_announcement) &&
                   !m_context.m_flapTracker.isHeldDown(Member.m_target, m_now);
    if (InPlace)
      Member.m_incarnation = View.m_announcement->m_incarnation;
    else if (Drained || Restarted ||
             Value.m_members[Rank] == MemberCondition::Lost)
      RanksToReplace.push_back(Rank);
  }
  Domain &HostDomain =
      m_domains[m_context.m_hooks.m_mixFabricDomains ? FabricDomainId("all")
                                                     : New.m_fabricDomain];
  std::int64_t Count = static_cast<std::int64_t>(RanksToReplace.size());
  if (static_cast<std::int64_t>(HostDomain.m_free.size()) < Count ||
      !tryCountReplicaChange())
    return;
  std::vector<const TargetView *> Spares = takeSameBuild(
      HostDomain, Count, Value.m_pool->m_view->m_model.m_acceleratorsPerHost,
      Value.m_wantedBuild.empty() ? New.m_acceptedBuild : Value.m_wantedBuild);
  if (Spares.size() != RanksToReplace.size())
    return;
  for (std::size_t Index = 0; Index < RanksToReplace.size(); ++Index) {
    const TargetAnnouncement &Announcement = *Spares[Index]->m_announcement;
    New.m_members[RanksToReplace[Index]] = {
        Announcement.m_target, Announcement.m_host, Announcement.m_incarnation};
  }
  ++New.m_generation;
  Value.m_repaired = true;
  Value.m_reason =
      fmt::format("{} members are being replaced", RanksToReplace.size());
  ++Value.m_pool->m_healthy;
  ++Value.m_pool->m_byFailureDomain[New.m_failureDomain];
  ++Value.m_pool->m_byFabricDomain[New.m_fabricDomain];
  m_plan.m_changes.push_back(
      SetAssignment{std::move(New), Value.m_assignment->m_generation});
}

/// Handles a replica that cannot be repaired because the fabric domain has no
/// spare. A replica beyond the capacity held only waits, and its hosts may be
/// taken for another replica. For one that the capacity held needs, the best
/// source is another replica in the same domain that can be ended, because the
/// remaining members have loaded their weights already. Otherwise
/// `formRequiredReplicas`, which does not count this replica, forms a new one
/// in another domain. Meanwhile this one keeps its remaining members, so that
/// it serves at once if the lost host returns.
void PlanBuilder::findHostsFor(Replica &Value) {
  Domain &HostDomain = m_domains[Value.m_assignment->m_fabricDomain];
  std::int64_t AvailableSoon =
      static_cast<std::int64_t>(HostDomain.m_free.size()) +
      HostDomain.m_soonFree;
  if (AvailableSoon >= Value.m_membersToReplace)
    Value.m_reason = "waits for hosts of its fabric domain to be released";
  else if (!isSurplus(Value) && endReplicaToFreeHosts(Value))
    Value.m_reason = "takes hosts of another replica in its fabric domain";
  else
    Value.m_reason = "no host of its fabric domain is free";
}

bool PlanBuilder::endReplicaToFreeHosts(Replica &For) {
  Domain &HostDomain = m_domains[For.m_assignment->m_fabricDomain];
  std::int64_t Missing = For.m_membersToReplace - HostDomain.m_soonFree -
                         static_cast<std::int64_t>(HostDomain.m_free.size());
  Replica *Victim = nullptr;
  auto Cost = [](const Replica &Each) {
    // Prefer replicas that cannot serve, because their hosts are stranded
    // anyway, then those with the fewest outstanding requests.
    return std::make_tuple(Each.isHealthy(), Each.m_outstandingRequests,
                           -Each.m_membersToReplace);
  };
  for (std::size_t Index :
       m_replicasByDomain[For.m_assignment->m_fabricDomain]) {
    Replica &Each = m_replicas[Index];
    std::int64_t HostsFreed = static_cast<std::int64_t>(Each.m_members.size()) -
                              Each.m_membersToReplace - Each.m_drainedMembers;
    // Of two broken replicas, only the one that lacks more members may be ended
    // for the other (the index breaks ties). Otherwise they could end each
    // other in turn.
    bool WorseOff =
        !Each.m_serves && Each.m_membersToReplace > 0 &&
        std::make_pair(-Each.m_membersToReplace, Index) <
            std::make_pair(-For.m_membersToReplace,
                           static_cast<std::size_t>(&For - m_replicas.data()));
    if (&Each == &For || Each.m_ending || Each.m_repaired ||
        HostsFreed < Missing || !(WorseOff || isSurplus(Each)))
      continue;
    if (Victim == nullptr || Cost(Each) < Cost(*Victim))
      Victim = &Each;
  }
  if (Victim == nullptr)
    return false;
  end(*Victim, "its hosts are needed in the same fabric domain");
  return Victim->m_ending;
}

std::vector<DomainCandidate>
PlanBuilder::candidatesFor(const Pool &Value, std::int64_t Spares,
                           std::vector<Domain *> &Domains,
                           std::vector<FabricDomainId> &Ids) {
  const ResolvedModel &Model = Value.m_view->m_model;
  std::vector<DomainCandidate> Candidates;
  for (auto &[Id, HostDomain] : m_domains) {
    DomainCandidate Candidate;
    Candidate.m_hostsNeeded = Model.m_hostsPerReplica;
    if (static_cast<std::int64_t>(HostDomain.m_free.size()) <
        Model.m_hostsPerReplica + Spares)
      continue;
    std::map<std::string_view, std::int64_t> Builds;
    for (const TargetView *View : HostDomain.m_free) {
      if (View->m_announcement->m_accelerators < Model.m_acceleratorsPerHost)
        continue;
      ++Candidate.m_freeHosts;
      std::int64_t SameBuild = ++Builds[View->m_announcement->m_engineBuild];
      Candidate.m_sameBuildHosts =
          std::max(Candidate.m_sameBuildHosts, SameBuild);
    }
    if (Candidate.m_freeHosts < Candidate.m_hostsNeeded + Spares)
      continue;
    auto InFailureDomain =
        Value.m_byFailureDomain.find(HostDomain.m_failureDomain);
    if (InFailureDomain != Value.m_byFailureDomain.end())
      Candidate.m_poolReplicasInFailureDomain = InFailureDomain->second;
    auto InDomain = Value.m_byFabricDomain.find(Id);
    if (InDomain != Value.m_byFabricDomain.end())
      Candidate.m_poolReplicasInDomain = InDomain->second;
    Candidates.push_back(Candidate);
    Domains.push_back(&HostDomain);
    Ids.push_back(Id);
  }
  return Candidates;
}

bool PlanBuilder::formReplica(Pool &Value, std::int64_t Spares) {
  std::vector<Domain *> Domains;
  std::vector<FabricDomainId> Ids;
  std::vector<DomainCandidate> Candidates =
      candidatesFor(Value, Spares, Domains, Ids);
  if (Candidates.empty()) {
    Value.m_reason = "no fabric domain has enough free hosts";
    return false;
  }
  if (m_replicaChanges >= m_context.m_options.m_maxReplicaChanges) {
    Value.m_reason = "the plan has reached its number of moves";
    return false;
  }
  std::size_t Chosen = m_context.m_strategy.m_chooseDomain(Candidates);
  assert(Chosen < Candidates.size() && "the strategy must choose a candidate");
  // Fencing tokens are never reused, so they also make replica names unique.
  std::optional<std::uint64_t> Number = m_context.m_orders.nextFencingToken();
  if (!Number) {
    Value.m_reason = "waits for fencing numbers";
    return false;
  }
  tryCountReplicaChange();
  Assignment New;
  New.m_replica = ReplicaId(fmt::format("r{}", *Number));
  New.m_generation = 1;
  New.m_pool = Value.m_view->m_name;
  New.m_spec = Value.m_view->spec();
  New.m_fabricDomain = Ids[Chosen];
  New.m_failureDomain = Domains[Chosen]->m_failureDomain;
  for (const TargetView *View :
       takeSameBuild(*Domains[Chosen], Value.m_view->m_model.m_hostsPerReplica,
                     Value.m_view->m_model.m_acceleratorsPerHost, ""))
    New.m_members.push_back({View->m_announcement->m_target,
                             View->m_announcement->m_host,
                             View->m_announcement->m_incarnation});
  ++Value.m_healthy;
  ++Value.m_byFailureDomain[New.m_failureDomain];
  ++Value.m_byFabricDomain[New.m_fabricDomain];
  m_plan.m_changes.push_back(SetAssignment{std::move(New), 0});
  return true;
}

void PlanBuilder::formRequiredReplicas() {
  if (!m_fleetIsKnown)
    return;
  for (Pool *Value : poolsByNeed()) {
    while (Value->m_healthy < Value->m_view->replicasHeld())
      if (!formReplica(*Value, 0)) {
        reclaimHostsFor(*Value);
        break;
      }
    if (Value->m_healthy >= Value->m_view->replicasHeld())
      Value->m_reason.clear();
  }
}

/// Ends a replica that its pool does not need for the capacity held, in a
/// fabric domain where its hosts make room for a new replica of this pool.
bool PlanBuilder::reclaimHostsFor(Pool &Value) {
  const std::int64_t Needed = Value.m_view->m_model.m_hostsPerReplica;
  for (const auto &[Id, HostDomain] : m_domains)
    if (static_cast<std::int64_t>(HostDomain.m_free.size()) +
                HostDomain.m_soonFree >=
            Needed &&
        HostDomain.m_soonFree > 0) {
      Value.m_reason = "waits for hosts to be released";
      return false;
    }
  Replica *Victim = nullptr;
  for (Replica &Each : m_replicas) {
    if (Each.m_ending || Each.m_repaired || !isSurplus(Each) ||
        Each.m_pool == &Value)
      continue;
    const Domain &HostDomain = m_domains[Each.m_assignment->m_fabricDomain];
    if (static_cast<std::int64_t>(HostDomain.m_free.size() +
                                  Each.m_members.size()) +
            HostDomain.m_soonFree - Each.m_membersToReplace <
        Needed)
      continue;
    if (Victim == nullptr ||
        Each.m_outstandingRequests < Victim->m_outstandingRequests)
      Victim = &Each;
  }
  if (Victim == nullptr)
    return false;
  end(*Victim, "its hosts are needed for capacity held");
  Value.m_reason = "waits for hosts of a replica above the capacity held";
  return true;
}

/// Whether the replica still has to finish its requests before a drained member
/// is replaced. The replacement gives the remaining members a new generation,
/// which would abort running requests, so the replica first gets a drain order
/// that stops new ones.
bool PlanBuilder::drainForReplacement(Replica &Value) {
  const Assignment &Assigned = *Value.m_assignment;
  const TargetView &Head = *view(Assigned.m_members[0].m_target);
  bool Drains =
      isFresh(Head) && Head.m_announcement->m_state == TargetState::Draining;
  Value.m_isDraining =
      Value.m_serves || (Drains && Value.m_outstandingRequests > 0);
  if (!Value.m_isDraining)
    return false;
  Value.m_reason = "a member is drained; running requests finish first";
  if (Drains)
    return true;
  Order Wanted;
  Wanted.m_target = Assigned.m_members[0].m_target;
  Wanted.m_incarnation = Assigned.m_members[0].m_incarnation;
  Wanted.m_kind = OrderKind::Drain;
  Wanted.m_membership = {Assigned.m_replica, Assigned.m_generation, 0};
  sendOrder(std::move(Wanted), Head, false);
  return true;
}

/// Handles serving replicas with drained members. Preferably a whole new
/// replica takes over first. If no domain has room for one, only the drained
/// member is replaced, which interrupts the replica for one weight load.
void PlanBuilder::replaceDrainedMembers() {
  if (!m_fleetIsKnown)
    return;
  for (Replica &Value : m_replicas) {
    if (Value.m_ending || Value.m_repaired || Value.m_pool == nullptr ||
        Value.m_drainedMembers == 0 || Value.m_membersToReplace > 0)
      continue;
    bool ReplacementForms =
        Value.m_pool->m_healthy >= Value.m_pool->m_view->replicasHeld();
    if (ReplacementForms) {
      Value.m_reason = "a member is drained; its replacement is forming";
      continue;
    }
    if (Value.m_serves &&
        Value.m_pool->m_serving < Value.m_pool->m_view->replicasHeld()) {
      Value.m_reason = "a member is drained; the pool lacks capacity already";
      continue;
    }
    const Domain &HostDomain = m_domains[Value.m_assignment->m_fabricDomain];
    bool HasSpares = static_cast<std::int64_t>(HostDomain.m_free.size()) >=
                     Value.m_drainedMembers;
    if (HasSpares && drainForReplacement(Value)) {
      Value.m_pool->m_serving -= Value.m_serves;
      continue;
    }
    if (HasSpares)
      replaceMembers(Value, true);
    if (!Value.m_repaired)
      Value.m_reason = "a member is drained; no host is free to replace it";
  }
}

void PlanBuilder::formExtraReplicas() {
  if (!m_fleetIsKnown)
    return;
  for (const auto &[Name, Value] : m_pools)
    if (Value.m_healthy < Value.m_view->replicasHeld())
      return;
  for (Pool *Value : poolsByNeed()) {
    while (Value->m_healthy < Value->m_view->replicasWanted())
      if (!formReplica(*Value, m_context.m_options.m_sparesPerDomain))
        break;
    Value->m_reason.clear();
  }
}

void PlanBuilder::orderRelease(const AssignedMember &Member,
                               const TargetView &View) {
  if (!isFresh(View) ||
      View.m_announcement->m_incarnation != Member.m_incarnation ||
      View.m_announcement->m_membership.m_replica.empty())
    return;
  Order Wanted;
  Wanted.m_target = Member.m_target;
  Wanted.m_incarnation = Member.m_incarnation;
  Wanted.m_kind = OrderKind::Release;
  Wanted.m_membership = View.m_announcement->m_membership;
  sendOrder(std::move(Wanted), View, false);
}

/// Returns whether the order was sent.
bool PlanBuilder::sendOrder(Order Wanted, const TargetView &View,
                            bool NeedsLoad) {
  if (!m_context.m_orders.maySend(Wanted, View, m_input.m_leaderSince, m_now))
    return false;
  std::optional<Order> Sent =
      m_context.m_orders.send(std::move(Wanted), m_now, NeedsLoad);
  if (!Sent)
    return false;
  m_plan.m_orders.push_back(std::move(*Sent));
  return true;
}

void PlanBuilder::orderJoin(const Replica &Value, std::size_t Rank) {
  const Assignment &Assigned = *Value.m_assignment;
  const AssignedMember &Member = Assigned.m_members[Rank];
  const TargetView &View = *view(Member.m_target);
  Order Wanted;
  Wanted.m_target = Member.m_target;
  Wanted.m_incarnation = Member.m_incarnation;
  Wanted.m_kind = OrderKind::Join;
  Wanted.m_spec = Assigned.m_spec;
  Wanted.m_membership = {Assigned.m_replica, Assigned.m_generation,
                         static_cast<std::int64_t>(Rank)};
  Wanted.m_replicaSize = static_cast<std::int64_t>(Assigned.m_members.size());
  if (!m_context.m_orders.maySend(Wanted, View, m_input.m_leaderSince, m_now))
    return;
  bool NeedsLoad = View.m_announcement->m_state != TargetState::Ready ||
                   View.m_announcement->m_spec != Assigned.m_spec;
  // A target that is loading is counted already; the order only changes its
  // place.
  bool Counted = View.m_announcement->m_state == TargetState::Loading;
  if (NeedsLoad && !Counted &&
      m_plan.m_loadsRunning >= m_context.m_options.m_maxLoads) {
    ++m_plan.m_loadsWaiting;
    return;
  }
  if (sendOrder(std::move(Wanted), View, NeedsLoad))
    m_plan.m_loadsRunning += NeedsLoad && !Counted;
}

void PlanBuilder::issueOrders() {
  for (const DepartingMember &Departing : m_input.m_departing)
    orderRelease(Departing.m_member, *view(Departing.m_member.m_target));
  std::vector<const Replica *> Joining;
  absl::flat_hash_map<ReplicaId, Instant> EndingSince;
  for (const Replica &Value : m_replicas) {
    const Assignment &Assigned = *Value.m_assignment;
    if (Assigned.m_phase == AssignmentPhase::Active) {
      if (!Value.m_serves && !Value.m_ending && !Value.m_repaired &&
          !Value.m_isDraining)
        Joining.push_back(&Value);
      continue;
    }
    auto Known = m_context.m_endingSince.find(Assigned.m_replica);
    Instant Since =
        Known == m_context.m_endingSince.end() ? m_now : Known->second;
    EndingSince[Assigned.m_replica] = Since;
    // Nodes that have not seen the end of the assignment may still send
    // requests.
    if (m_now - Since >= RoutingLag)
      for (const AssignedMember &Member : Assigned.m_members)
        orderRelease(Member, *view(Member.m_target));
  }
  m_context.m_endingSince = std::move(EndingSince);
  auto Remaining = [](const Replica *Value) {
    return std::count(Value->m_members.begin(), Value->m_members.end(),
                      MemberCondition::Joining);
  };
  std::stable_sort(
      Joining.begin(), Joining.end(), [&](const Replica *A, const Replica *B) {
        auto Missing = [](const Replica *Value) {
          return Value->m_pool == nullptr ? 0
                                          : -Value->m_pool->missingRequests();
        };
        return std::make_tuple(Missing(A), Remaining(A)) <
               std::make_tuple(Missing(B), Remaining(B));
      });
  for (const Replica *Value : Joining)
    for (std::size_t Rank = 0; Rank < Value->m_members.size(); ++Rank)
      if (Value->m_members[Rank] == MemberCondition::Joining)
        orderJoin(*Value, Rank);
  // Targets that belong to no assignment but announce a replica have followed
  // an outdated order or missed the repair that replaced them.
  for (const TargetView &View : m_input.m_targets)
    if (View.m_announcement != nullptr && isFresh(View) &&
        !m_occupiedViews.contains(&View) &&
        !View.m_announcement->m_membership.m_replica.empty())
      orderRelease({View.m_announcement->m_target, View.m_announcement->m_host,
                    View.m_announcement->m_incarnation},
                   View);
}

ReplicaStatus PlanBuilder::statusOf(const Replica &Value) const {
  ReplicaStatus Status;
  Status.m_replica = Value.m_assignment->m_replica;
  Status.m_pool = Value.m_assignment->m_pool;
  Status.m_reason = Value.m_reason;
  bool HasLoss = Value.m_membersToReplace > 0 || Value.m_hasAbsentMember;
  if (Value.m_ending)
    Status.m_state = ReplicaState::Ending;
  else if (Value.m_serves)
    Status.m_state = ReplicaState::Serving;
  else if (HasLoss || !Value.m_reason.empty())
    Status.m_state = ReplicaState::Degraded;
  if (!Status.m_reason.empty() || Value.m_serves || Value.m_ending)
    return Status;
  for (std::size_t Rank = 0; Rank < Value.m_members.size(); ++Rank) {
    const TargetId &Target = Value.m_assignment->m_members[Rank].m_target;
    if (Value.m_members[Rank] == MemberCondition::Absent)
      Status.m_reason = fmt::format("member {} is silent", Target.str());
    else if (Value.m_members[Rank] == MemberCondition::Joining)
      Status.m_reason = fmt::format("member {} has not joined", Target.str());
    if (!Status.m_reason.empty())
      return Status;
  }
  Status.m_reason = "members are loading";
  return Status;
}

void PlanBuilder::report() {
  for (const Replica &Value : m_replicas)
    m_plan.m_replicas.push_back(statusOf(Value));
  for (const auto &[Name, Value] : m_pools) {
    PoolStatus Status;
    Status.m_pool = Name;
    Status.m_held = Value.m_view->replicasHeld();
    Status.m_wanted = Value.m_view->replicasWanted();
    Status.m_assigned = Value.m_healthy;
    Status.m_serving = Value.m_serving;
    Status.m_reason = Value.m_reason;
    m_plan.m_pools.push_back(std::move(Status));
  }
}

} // namespace turmericdyke::internal
