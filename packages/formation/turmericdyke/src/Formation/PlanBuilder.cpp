#include "turmericdyke/src/Formation/PlanBuilder.h"

#include <algorithm>
#include <cassert>
#include <tuple>

#include <fmt/format.h>

#include "turmericdyke/src/Formation/ReplicaPredicate.h"

namespace turmericdyke::internal {

namespace {

// A plan that runs out of numbers stops in the middle, so the next block is
// asked for while several plans can still be made from this one.
constexpr std::uint64_t FencesReserve = 1024;

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
         "the drained sets are needed, if only empty ones");
}

Plan PlanBuilder::build() {
  // Right after a start most targets are not yet known, and a placement would
  // see a fraction of the fleet.
  m_settled = m_now - m_input.m_observingSince >= FreshnessBound;
  indexOccupied();
  indexTargets();
  indexPools();
  assessReplicas();
  finishEndings();
  acceptBuilds();
  endUnneeded();
  repairReplicas();
  formHeld();
  swapDrained();
  formSurplus();
  issueOrders();
  report();
  m_plan.m_needsFences = m_context.m_orders.fencesLeft() < FencesReserve;
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

bool PlanBuilder::isDrained(const TargetAnnouncement &Said) const {
  return m_input.m_drainedTargets->contains(Said.m_target) ||
         m_input.m_drainedHosts->contains(Said.m_host);
}

bool PlanBuilder::holdsNoReplica(const TargetAnnouncement &Said) {
  return Said.m_membership.m_replica.empty() &&
         (Said.m_state == TargetState::Idle ||
          Said.m_state == TargetState::Ready);
}

bool PlanBuilder::isFree(const TargetView &View) const {
  const TargetAnnouncement &Said = *View.m_announcement;

  return Said.m_kind == TargetKind::Model && isFresh(View) &&
         (holdsNoReplica(Said) || m_context.m_hooks.m_skipReleaseRule) &&
         !m_occupied.contains(Said.m_host.str()) &&
         !m_occupiedViews.contains(&View) && !isDrained(Said) &&
         !m_context.m_orders.isUnresponsive(Said.m_target, m_now) &&
         !m_context.m_history.isHeldDown(Said.m_target, m_now);
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
    const TargetAnnouncement &Said = *View.m_announcement;
    FabricDomainId Fabric = m_context.m_hooks.m_mixFabricDomains
                                ? FabricDomainId("all")
                                : Said.m_fabricDomain;
    Domain &Home = m_domains[Fabric];
    Home.m_failureDomain = Said.m_failureDomain;
    if (isFree(View))
      Home.m_free.push_back(&View);
    bool Loads = isFresh(View) && Said.m_state == TargetState::Loading;
    bool Ordered = Said.m_state != TargetState::Ready &&
                   m_context.m_orders.isLoadOrdered(Said.m_target);
    if (Loads || Ordered)
      ++m_plan.m_loadsRunning;
  }
  for (auto &[Id, Home] : m_domains)
    std::sort(Home.m_free.begin(), Home.m_free.end(),
              [](const TargetView *A, const TargetView *B) {
                return A->m_announcement->m_host < B->m_announcement->m_host;
              });
  for (const DepartingMember &Departing : m_input.m_departing) {
    const TargetView *View = view(Departing.m_member.m_target);
    if (isFresh(*View) && !isDrained(*View->m_announcement))
      ++m_domains[View->m_announcement->m_fabricDomain].m_incoming;
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
  const TargetAnnouncement &Said = *View.m_announcement;
  bool Moved = Said.m_host != Member.m_host ||
               (Said.m_fabricDomain != Value.m_fabricDomain &&
                !m_context.m_hooks.m_mixFabricDomains);
  if (Moved || Said.m_state == TargetState::Leaving)
    return MemberCondition::Lost;
  if (Said.m_incarnation > Member.m_incarnation)
    return MemberCondition::Restarted;
  if (Said.m_incarnation < Member.m_incarnation)
    return MemberCondition::Absent;

  bool Runs = Said.m_state == TargetState::Loading ||
              Said.m_state == TargetState::Ready;
  if (Runs && memberEchoes(Value, Rank, View, m_now))
    return MemberCondition::Echoing;
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
    Assessed.m_absent |= Condition == MemberCondition::Absent;
    Assessed.m_toReplace += Condition == MemberCondition::Lost ||
                            Condition == MemberCondition::Restarted;
    if (View.m_announcement == nullptr)
      continue;
    Assessed.m_drained += isDrained(*View.m_announcement);
    Assessed.m_work += View.m_announcement->m_load.m_running +
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
      m_domains[Value->m_fabricDomain].m_incoming +=
          static_cast<std::int64_t>(Value->m_members.size()) -
          Assessed.m_toReplace - Assessed.m_drained;
      continue;
    }
    m_replicasByDomain[Value->m_fabricDomain].push_back(m_replicas.size() - 1);
    if (Assessed.m_pool == nullptr)
      continue;
    Assessed.m_pool->m_serving += Assessed.m_serves;
    countSound(Assessed, 1);
  }
}

bool PlanBuilder::mayMove() {
  if (m_moves >= m_context.m_options.m_maxMoves)
    return false;
  ++m_moves;
  return true;
}

void PlanBuilder::end(Replica &Value, std::string_view Reason) {
  if (Value.m_ending || Value.m_repaired || !mayMove())
    return;
  countSound(Value, -1);
  Value.m_ending = true;
  Value.m_reason = Reason;
  m_domains[Value.m_assignment->m_fabricDomain].m_incoming +=
      static_cast<std::int64_t>(Value.m_members.size()) - Value.m_toReplace -
      Value.m_drained;
  SetAssignment Change{*Value.m_assignment, Value.m_assignment->m_generation};
  Change.m_assignment.m_phase = AssignmentPhase::Ending;
  m_plan.m_changes.push_back(std::move(Change));
}

void PlanBuilder::finishEndings() {
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
      bool Ready = Value.m_members[Rank] == MemberCondition::Echoing &&
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

/// A patch reaches the members one after another, so the planner first waits.
/// Then the members that show a rarer build are replaced by spares that show
/// the most common one; without such spares the replica no longer counts as
/// sound, so that another can be formed.
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
  std::vector<std::string_view> Shown;
  for (const AssignedMember &Member : Assigned.m_members) {
    Shown.push_back(view(Member.m_target)->m_announcement->m_engineBuild);
    ++Builds[Shown.back()];
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
  std::int64_t Rarer = static_cast<std::int64_t>(Shown.size()) - Common->second;
  countSound(Value, -1);
  Value.m_mixed = true;
  if (Spares < Rarer)
    return;
  for (std::size_t Rank = 0; Rank < Shown.size(); ++Rank)
    if (Shown[Rank] != Common->first)
      Value.m_members[Rank] = MemberCondition::Lost;
  Value.m_toReplace = Rarer;
  Value.m_wantedBuild = Common->first;
}

/// Counts a replica in or out of the sound ones of its pool, if it is one.
void PlanBuilder::countSound(const Replica &Value, std::int64_t By) {
  if (Value.m_pool == nullptr || !Value.isSound())
    return;
  Pool &Of = *Value.m_pool;
  Of.m_sound += By;
  Of.m_soundServing += Value.m_serves ? By : 0;
  Of.m_byFailureDomain[Value.m_assignment->m_failureDomain] += By;
  Of.m_byFabricDomain[Value.m_assignment->m_fabricDomain] += By;
}

std::int64_t PlanBuilder::soundOthers(const Replica &Value) const {
  return Value.m_pool->m_soundServing - (Value.isSound() && Value.m_serves);
}

/// Whether the pool holds its capacity without this replica.
bool PlanBuilder::isSurplus(const Replica &Value) const {
  return Value.m_pool == nullptr ||
         soundOthers(Value) >= Value.m_pool->m_view->replicasHeld();
}

void PlanBuilder::endExcess(Pool &Value) {
  std::vector<Replica *> Sound;
  for (Replica &Each : m_replicas)
    if (Each.m_pool == &Value && Each.isSound())
      Sound.push_back(&Each);
  // Those that do not serve go first, then those with the least work.
  std::sort(Sound.begin(), Sound.end(), [](const Replica *A, const Replica *B) {
    return std::make_tuple(A->m_serves, A->m_work) <
           std::make_tuple(B->m_serves, B->m_work);
  });
  std::int64_t Excess = Value.m_sound - Value.m_view->replicasWanted();
  for (std::int64_t Index = 0; Index < Excess; ++Index)
    end(*Sound[static_cast<std::size_t>(Index)],
        "more replicas than the capacity limit needs");
}

void PlanBuilder::endUnneeded() {
  for (Replica &Value : m_replicas) {
    if (Value.m_ending)
      continue;
    if (Value.m_pool == nullptr)
      end(Value, "no customer uses this pool");
    else if (!Value.isSound() && isSurplus(Value) &&
             (Value.m_toReplace == 0 ||
              Value.m_pool->m_sound >= Value.m_pool->m_view->replicasWanted()))
      end(Value, "the pool holds its capacity without it");
    else if (!m_context.m_strategy.m_keepsSurvivors && Value.m_toReplace > 0)
      end(Value, "a member was lost");
  }
  for (auto &[Name, Value] : m_pools)
    if (Value.m_sound > Value.m_view->replicasWanted())
      endExcess(Value);
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
  // Without a build to match, the most common one is the likeliest to be whole.
  std::map<std::string_view, std::int64_t> Builds;
  for (const TargetView *View : Usable)
    ++Builds[View->m_announcement->m_engineBuild];
  auto Preference = [&](const TargetView *View) {
    const std::string &Shown = View->m_announcement->m_engineBuild;
    return Build.empty() ? -Builds[Shown] : -std::int64_t(Shown == Build);
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
  if (!m_settled || m_context.m_hooks.m_skipRepair)
    return;
  std::vector<Replica *> Broken;
  for (Replica &Value : m_replicas)
    if (!Value.m_ending && Value.m_pool != nullptr && Value.m_toReplace > 0)
      Broken.push_back(&Value);
  // The pools with the most missing capacity first, then the cheapest repairs.
  std::stable_sort(
      Broken.begin(), Broken.end(), [](const Replica *A, const Replica *B) {
        return std::make_tuple(-A->m_pool->missingRequests(), A->m_toReplace) <
               std::make_tuple(-B->m_pool->missingRequests(), B->m_toReplace);
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

/// Gives the replica a new generation if there are hosts for all members that
/// need replacement.
void PlanBuilder::replaceMembers(Replica &Value, bool ReplaceDrained) {
  Assignment New = *Value.m_assignment;
  std::vector<std::size_t> Places;
  for (std::size_t Rank = 0; Rank < New.m_members.size(); ++Rank) {
    AssignedMember &Member = New.m_members[Rank];
    const TargetView &View = *view(Member.m_target);
    bool Drained = ReplaceDrained && View.m_announcement != nullptr &&
                   isDrained(*View.m_announcement);
    bool Restarted = Value.m_members[Rank] == MemberCondition::Restarted;
    bool InPlace = Restarted && !Drained &&
                   holdsNoReplica(*View.m_announcement) &&
                   !m_context.m_history.isHeldDown(Member.m_target, m_now);
    if (InPlace)
      Member.m_incarnation = View.m_announcement->m_incarnation;
    else if (Drained || Restarted ||
             Value.m_members[Rank] == MemberCondition::Lost)
      Places.push_back(Rank);
  }
  Domain &Home =
      m_domains[m_context.m_hooks.m_mixFabricDomains ? FabricDomainId("all")
                                                     : New.m_fabricDomain];
  std::int64_t Count = static_cast<std::int64_t>(Places.size());
  if (static_cast<std::int64_t>(Home.m_free.size()) < Count || !mayMove())
    return;
  std::vector<const TargetView *> Spares = takeSameBuild(
      Home, Count, Value.m_pool->m_view->m_model.m_acceleratorsPerHost,
      Value.m_wantedBuild.empty() ? New.m_acceptedBuild : Value.m_wantedBuild);
  if (Spares.size() != Places.size())
    return;
  for (std::size_t Index = 0; Index < Places.size(); ++Index) {
    const TargetAnnouncement &Said = *Spares[Index]->m_announcement;
    New.m_members[Places[Index]] = {Said.m_target, Said.m_host,
                                    Said.m_incarnation};
  }
  ++New.m_generation;
  Value.m_repaired = true;
  Value.m_reason = fmt::format("{} members are being replaced", Places.size());
  ++Value.m_pool->m_sound;
  ++Value.m_pool->m_byFailureDomain[New.m_failureDomain];
  ++Value.m_pool->m_byFabricDomain[New.m_fabricDomain];
  m_plan.m_changes.push_back(
      SetAssignment{std::move(New), Value.m_assignment->m_generation});
}

/// No spare is free in the fabric domain. A replica above the capacity held
/// only waits, and gives its hosts to another replica that needs them. For one
/// below it, a new replica elsewhere is formed by `formHeld`, which does not
/// count this one; meanwhile this one keeps its survivors, since the return of
/// the lost host would make it serve at once. Hosts that another replica can
/// give up in this domain are better, as the survivors hold their weights
/// already.
void PlanBuilder::findHostsFor(Replica &Value) {
  Domain &Home = m_domains[Value.m_assignment->m_fabricDomain];
  std::int64_t Coming =
      static_cast<std::int64_t>(Home.m_free.size()) + Home.m_incoming;
  if (Coming >= Value.m_toReplace)
    Value.m_reason = "waits for hosts of its fabric domain to be released";
  else if (!isSurplus(Value) && endVictim(Value))
    Value.m_reason = "takes hosts of another replica in its fabric domain";
  else
    Value.m_reason = "no host of its fabric domain is free";
}

bool PlanBuilder::endVictim(Replica &For) {
  Domain &Home = m_domains[For.m_assignment->m_fabricDomain];
  std::int64_t Missing = For.m_toReplace - Home.m_incoming -
                         static_cast<std::int64_t>(Home.m_free.size());
  Replica *Victim = nullptr;
  auto Cost = [](const Replica &Each) {
    // Replicas that cannot serve strand their hosts anyway; among the others
    // the one with the least work.
    return std::make_tuple(Each.isSound(), Each.m_work, -Each.m_toReplace);
  };
  for (std::size_t Index :
       m_replicasByDomain[For.m_assignment->m_fabricDomain]) {
    Replica &Each = m_replicas[Index];
    std::int64_t Gives = static_cast<std::int64_t>(Each.m_members.size()) -
                         Each.m_toReplace - Each.m_drained;
    // A broken replica is given up for one that is at least as whole, so that
    // two of them never end each other in turn.
    bool WorseOff =
        !Each.m_serves && Each.m_toReplace > 0 &&
        std::make_pair(-Each.m_toReplace, Index) <
            std::make_pair(-For.m_toReplace,
                           static_cast<std::size_t>(&For - m_replicas.data()));
    if (&Each == &For || Each.m_ending || Each.m_repaired || Gives < Missing ||
        !(WorseOff || isSurplus(Each)))
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
  for (auto &[Id, Home] : m_domains) {
    DomainCandidate Candidate;
    Candidate.m_hostsNeeded = Model.m_hostsPerReplica;
    if (static_cast<std::int64_t>(Home.m_free.size()) <
        Model.m_hostsPerReplica + Spares)
      continue;
    std::map<std::string_view, std::int64_t> Builds;
    for (const TargetView *View : Home.m_free) {
      if (View->m_announcement->m_accelerators < Model.m_acceleratorsPerHost)
        continue;
      ++Candidate.m_freeHosts;
      std::int64_t SameBuild = ++Builds[View->m_announcement->m_engineBuild];
      Candidate.m_sameBuildHosts =
          std::max(Candidate.m_sameBuildHosts, SameBuild);
    }
    if (Candidate.m_freeHosts < Candidate.m_hostsNeeded + Spares)
      continue;
    auto InFailureDomain = Value.m_byFailureDomain.find(Home.m_failureDomain);
    if (InFailureDomain != Value.m_byFailureDomain.end())
      Candidate.m_poolReplicasInFailureDomain = InFailureDomain->second;
    auto InDomain = Value.m_byFabricDomain.find(Id);
    if (InDomain != Value.m_byFabricDomain.end())
      Candidate.m_poolReplicasInDomain = InDomain->second;
    Candidates.push_back(Candidate);
    Domains.push_back(&Home);
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
  if (m_moves >= m_context.m_options.m_maxMoves) {
    Value.m_reason = "the plan has reached its number of moves";
    return false;
  }
  std::size_t Chosen = m_context.m_strategy.m_chooseDomain(Candidates);
  assert(Chosen < Candidates.size() && "the strategy must choose a candidate");
  // A fencing number is never given out twice, so it names a replica uniquely.
  std::optional<std::uint64_t> Number = m_context.m_orders.nextFence();
  if (!Number) {
    Value.m_reason = "waits for fencing numbers";
    return false;
  }
  mayMove();
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
  ++Value.m_sound;
  ++Value.m_byFailureDomain[New.m_failureDomain];
  ++Value.m_byFabricDomain[New.m_fabricDomain];
  m_plan.m_changes.push_back(SetAssignment{std::move(New), 0});
  return true;
}

void PlanBuilder::formHeld() {
  if (!m_settled)
    return;
  for (Pool *Value : poolsByNeed()) {
    while (Value->m_sound < Value->m_view->replicasHeld())
      if (!formReplica(*Value, 0)) {
        reclaimFor(*Value);
        break;
      }
    if (Value->m_sound >= Value->m_view->replicasHeld())
      Value->m_reason.clear();
  }
}

/// Ends a replica above the capacity held, in a fabric domain where its hosts
/// complete a new replica of this pool.
bool PlanBuilder::reclaimFor(Pool &Value) {
  const std::int64_t Needed = Value.m_view->m_model.m_hostsPerReplica;
  for (const auto &[Id, Home] : m_domains)
    if (static_cast<std::int64_t>(Home.m_free.size()) + Home.m_incoming >=
            Needed &&
        Home.m_incoming > 0) {
      Value.m_reason = "waits for hosts to be released";
      return false;
    }
  Replica *Victim = nullptr;
  for (Replica &Each : m_replicas) {
    if (Each.m_ending || Each.m_repaired || !isSurplus(Each) ||
        Each.m_pool == &Value)
      continue;
    const Domain &Home = m_domains[Each.m_assignment->m_fabricDomain];
    if (static_cast<std::int64_t>(Home.m_free.size() + Each.m_members.size()) +
            Home.m_incoming - Each.m_toReplace <
        Needed)
      continue;
    if (Victim == nullptr || Each.m_work < Victim->m_work)
      Victim = &Each;
  }
  if (Victim == nullptr)
    return false;
  end(*Victim, "its hosts are needed for capacity held");
  Value.m_reason = "waits for hosts of a replica above the capacity held";
  return true;
}

/// Whether the replica still has to finish its requests before a drained member
/// is replaced. The survivors then change their generation, which running
/// requests would not outlive, so new work is stopped first.
bool PlanBuilder::finishesWork(Replica &Value) {
  const Assignment &Assigned = *Value.m_assignment;
  const TargetView &Head = *view(Assigned.m_members[0].m_target);
  bool Drains =
      isFresh(Head) && Head.m_announcement->m_state == TargetState::Draining;
  Value.m_finishing = Value.m_serves || (Drains && Value.m_work > 0);
  if (!Value.m_finishing)
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

/// A replica that serves with a drained member is replaced as a whole first.
/// Where no domain has room for that, the drained member alone is replaced,
/// which interrupts the replica for one weight load.
void PlanBuilder::swapDrained() {
  if (!m_settled)
    return;
  for (Replica &Value : m_replicas) {
    if (Value.m_ending || Value.m_repaired || Value.m_pool == nullptr ||
        Value.m_drained == 0 || Value.m_toReplace > 0)
      continue;
    bool ReplacementForms =
        Value.m_pool->m_sound >= Value.m_pool->m_view->replicasHeld();
    if (ReplacementForms) {
      Value.m_reason = "a member is drained; its replacement is forming";
      continue;
    }
    if (Value.m_serves &&
        Value.m_pool->m_serving < Value.m_pool->m_view->replicasHeld()) {
      Value.m_reason = "a member is drained; the pool lacks capacity already";
      continue;
    }
    const Domain &Home = m_domains[Value.m_assignment->m_fabricDomain];
    bool HasSpares =
        static_cast<std::int64_t>(Home.m_free.size()) >= Value.m_drained;
    if (HasSpares && finishesWork(Value)) {
      Value.m_pool->m_serving -= Value.m_serves;
      continue;
    }
    if (HasSpares)
      replaceMembers(Value, true);
    if (!Value.m_repaired)
      Value.m_reason = "a member is drained; no host is free to replace it";
  }
}

void PlanBuilder::formSurplus() {
  if (!m_settled)
    return;
  for (const auto &[Name, Value] : m_pools)
    if (Value.m_sound < Value.m_view->replicasHeld())
      return;
  for (Pool *Value : poolsByNeed()) {
    while (Value->m_sound < Value->m_view->replicasWanted())
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

/// Whether the order was sent.
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
  // A target that loads already is counted, and only changes its place.
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
          !Value.m_finishing)
        Joining.push_back(&Value);
      continue;
    }
    auto Known = m_context.m_endingSince.find(Assigned.m_replica);
    Instant Since =
        Known == m_context.m_endingSince.end() ? m_now : Known->second;
    EndingSince[Assigned.m_replica] = Since;
    // Until every node has seen the end, some still send requests.
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
  // Targets outside every assignment that hold a replica followed an order that
  // is no longer true, or missed the repair that replaced them.
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
  bool HasLoss = Value.m_toReplace > 0 || Value.m_absent;
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
    Status.m_assigned = Value.m_sound;
    Status.m_serving = Value.m_serving;
    Status.m_reason = Value.m_reason;
    m_plan.m_pools.push_back(std::move(Status));
  }
}

} // namespace turmericdyke::internal
