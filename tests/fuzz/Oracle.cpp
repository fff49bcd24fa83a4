#include "Oracle.h"

#include <algorithm>

#include <fmt/format.h>

namespace turmericdyke::fuzz {

namespace {

/// Limit of invariant I6 and of the read lease.
constexpr absl::Duration Bound = absl::Seconds(3);

} // namespace

std::size_t Oracle::indexOf(const TargetId &Target) const {
  auto Found = std::find_if(m_targets.begin(), m_targets.end(),
                            [&](const SimTarget &Each) {
                              return Each.m_announcement.m_target == Target;
                            });
  return static_cast<std::size_t>(Found - m_targets.begin());
}

void Oracle::viewPublished(Instant Now, std::size_t Node) {
  const ControlState &State = m_nodes[Node]->core().state();
  m_committedBy.emplace(State.revision(), Now);
  for (const auto &[Pool, Replicas] : m_nodes[Node]->view()->m_pools)
    for (const ServingReplica &Serving : Replicas)
      checkReplica(Now, State, Serving);
  Checked &Last = m_checked[Node];
  if (Last.m_index == State.appliedIndex())
    return;
  if (State.revision() < Last.m_revision)
    fail(fmt::format("revision of n{} went from {} back to {}", Node,
                     Last.m_revision, State.revision()));
  Last = {State.appliedIndex(), State.revision()};
  checkHosts(State);
  checkHistory(State);
}

void Oracle::checkLeaders(Instant Now) {
  auto Leaders =
      std::count_if(m_nodes.begin(), m_nodes.end(), [Now](const auto &Node) {
        return Node->isUp() && Node->core().leads(Node->clock(Now));
      });
  if (Leaders > 1)
    fail(fmt::format("{} nodes hold the leader lease", Leaders));
}

void Oracle::checkReplica(Instant Now, const ControlState &State,
                          const ServingReplica &Serving) {
  ++m_counts["replica views"];
  std::shared_ptr<const Assignment> Known = State.assignment(Serving.m_replica);
  if (!Known)
    return fail("a view has a replica without assignment");
  for (std::size_t Rank = 0; Rank < Known->m_members.size(); ++Rank) {
    const SimTarget &Member =
        m_targets[indexOf(Known->m_members[Rank].m_target)];
    absl::Duration Age = Now - Member.confirmedAt(*Known, Rank);
    if (Age >= Bound)
      return fail(fmt::format("member {} of replica {} generation {} last "
                              "confirmed {} ago",
                              Member.m_announcement.m_target.str(),
                              Known->m_replica.str(), Known->m_generation,
                              absl::FormatDuration(Age)));
  }
}

void Oracle::checkHosts(const ControlState &State) {
  std::set<HostId> Hosts;
  std::set<TargetId> Targets;
  for (const auto &[Id, Value] : State.assignments())
    for (const AssignedMember &Member : Value->m_members) {
      if (Value->m_phase != AssignmentPhase::Active)
        continue;
      ++m_counts["assigned hosts"];
      if (!Hosts.insert(Member.m_host).second)
        fail("host " + Member.m_host.str() + " is in two assignments");
      if (!Targets.insert(Member.m_target).second)
        fail("target " + Member.m_target.str() + " is in two assignments");
    }
}

void Oracle::checkHistory(const ControlState &State) {
  for (const auto &[ChangeId, Value] : m_accepted) {
    if (State.appliedIndex() < Value.m_index)
      continue;
    ++m_counts["history entries"];
    bool Kept = std::any_of(
        State.history().begin(), State.history().end(),
        [&, &Id = ChangeId, &Want = Value](const RevisionRecord &Record) {
          return Record.m_changeId == Id &&
                 Record.m_revision == Want.m_revision;
        });
    if (!Kept)
      fail("accepted change " + ChangeId + " is not in the history");
  }
}

void Oracle::workStarted(Instant Now, std::size_t Node, const ClusterView &View,
                         const std::vector<std::size_t> &Members) {
  ++m_counts["work started"];
  if (!m_nodes[Node]->holdsLease(Now))
    fail(fmt::format("n{} started work without read lease", Node));
  for (const auto &[Revision, Since] : m_committedBy)
    if (Revision > View.m_revision && Now - Since > Bound)
      fail(fmt::format("n{} started work under revision {}, {} after {}", Node,
                       View.m_revision, absl::FormatDuration(Now - Since),
                       Revision));
  for (std::size_t Index : Members) {
    const SimTarget &Target = m_targets[Index];
    std::string Name = Target.m_announcement.m_target.str();
    if (Now - Target.m_leavingSince > Bound)
      fail(fmt::format("n{} started work at {}, leaving for {}", Node, Name,
                       absl::FormatDuration(Now - Target.m_leavingSince)));
    if (Now - Target.m_lastHeard > Bound)
      fail(fmt::format("n{} started work at {}, silent for {}", Node, Name,
                       absl::FormatDuration(Now - Target.m_lastHeard)));
  }
}

void Oracle::attemptRan(const AttemptId &Attempt, const std::string &Key) {
  m_ran.insert(Attempt);
  if (m_notRun.count(Attempt) > 0)
    fail("attempt " + Attempt.str() + " ran after it was reported not run");
  if (Key.empty())
    return;
  ++m_counts["once-only runs"];
  if (++m_keyRuns[Key] > 1)
    fail("once-only call " + Key + " ran twice");
  if (m_keysNotRun.count(Key) > 0)
    fail("once-only call " + Key + " ran after it was reported not run");
}

void Oracle::attemptEnded(const AttemptId &Attempt, Outcome Known,
                          const std::string &Answer, const std::string &Whole) {
  if (Known == Outcome::Ran) {
    ++m_counts["complete answers"];
    if (Answer != Whole)
      fail("attempt " + Attempt.str() + " was reported complete, with answer " +
           Answer);
  }
  if (Known != Outcome::NotRun)
    return;
  ++m_counts["not run"];
  m_notRun.insert(Attempt);
  if (m_ran.count(Attempt) > 0)
    fail("attempt " + Attempt.str() + " ran and was reported not run");
}

void Oracle::keyNotRun(const std::string &Key) {
  m_keysNotRun.insert(Key);
  if (m_keyRuns.count(Key) > 0)
    fail("once-only call " + Key + " ran and was reported not run");
}

void Oracle::changeDone(const ApplyDeclaration &Change,
                        const Completion &Done) {
  if (Done.m_status != SubmitStatus::Committed)
    return;
  const auto *Now = std::get_if<ChangeAccepted>(&Done.m_result);
  auto Before = m_accepted.find(Change.m_changeId);
  if (Before != m_accepted.end()) {
    ++m_counts["changes resent"];
    if (Now == nullptr || Now->m_revision != Before->second.m_revision)
      fail("change " + Change.m_changeId + " got another outcome when resent");
    return;
  }
  if (Now == nullptr)
    return;
  ++m_counts["changes accepted"];
  m_accepted[Change.m_changeId] = {Now->m_revision, Done.m_index};
  if (Now->m_revision != Change.m_baseRevision + 1)
    fail("change " + Change.m_changeId + " was accepted on a newer revision");
}

void Oracle::orderFollowed(SimTarget &Target, const Order &Followed) {
  ++m_counts["orders followed"];
  if (Target.m_announcement.m_checksFencing &&
      Followed.m_fencingToken < Target.m_highestAccepted)
    fail("target " + Target.m_announcement.m_target.str() +
         " followed a lower fence");
  Target.m_highestAccepted =
      std::max(Target.m_highestAccepted, Followed.m_fencingToken);
}

std::string Oracle::unhealthy(Instant Now,
                              const std::set<TargetId> &HeldDown) const {
  std::size_t Leaders = 0;
  std::set<std::uint64_t> Revisions;
  for (const auto &Node : m_nodes) {
    if (!Node->isUp() || !Node->holdsLease(Now))
      return "a node has no read lease";
    Leaders += Node->core().leads(Node->clock(Now));
    Revisions.insert(Node->core().state().revision());
  }
  if (Leaders != 1)
    return fmt::format("there are {} leaders", Leaders);
  if (Revisions.size() != 1)
    return "nodes are at different revisions";
  std::shared_ptr<const Declaration> Declared =
      m_nodes[0]->core().state().declaration();
  if (!Declared)
    return "";
  std::map<FabricDomainId, std::int64_t> Free;
  for (const SimTarget &Target : m_targets)
    if (Target.m_announcement.m_kind == TargetKind::Model &&
        HeldDown.count(Target.m_announcement.m_target) == 0)
      ++Free[Target.m_announcement.m_fabricDomain];
  std::int64_t Possible = 0;
  std::int64_t Needed = 0;
  for (const auto &[Domain, Hosts] : Free)
    Possible += Hosts / 2;
  std::vector<PoolView> Pools = poolsOf(*Declared);
  for (const PoolView &Pool : Pools)
    Needed += Pool.replicasHeld();
  for (const auto &Node : m_nodes) {
    std::int64_t Serving = 0;
    for (const PoolView &Pool : Pools) {
      auto Found = Node->view()->m_pools.find(Pool.m_name);
      if (Found != Node->view()->m_pools.end())
        Serving += std::min(static_cast<std::int64_t>(Found->second.size()),
                            Pool.replicasHeld());
    }
    if (Serving < std::min(Possible, Needed))
      return fmt::format("{} of {} replicas serve, hosts suffice for {}",
                         Serving, Needed, Possible);
  }
  return "";
}

} // namespace turmericdyke::fuzz
