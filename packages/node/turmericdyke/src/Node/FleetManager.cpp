#include "turmericdyke/src/Node/FleetManager.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace turmericdyke {

namespace internal {
namespace {

using Json = nlohmann::json;

/// Number of fencing tokens reserved at a time. A plan uses a few per
/// assignment change, and each reservation adds a log entry.
constexpr std::uint64_t FencesPerBlock = 4096;
/// How long a peer's report is used. Digests arrive every 500 ms.
constexpr absl::Duration PeerReportLifetime = absl::Seconds(3);

std::string_view nameOf(AssignmentPhase Phase) {
  return Phase == AssignmentPhase::Active ? "active" : "ending";
}

bool isDrained(const ControlState &State,
               const TargetAnnouncement &Announcement) {
  return State.drainedTargets().count(Announcement.m_target) > 0 ||
         State.drainedHosts().count(Announcement.m_host) > 0;
}

/// The view of a target for the planner and the router, with its age converted
/// to an instant.
TargetView targetView(const std::map<TargetId, TargetDirectoryEntry> &Targets,
                      Instant Now, const TargetId &Target) {
  auto Found = Targets.find(Target);
  if (Found == Targets.end())
    return {};
  return {Found->second.m_announcement.get(), Now - Found->second.m_age};
}

/// The declared model of each pool.
std::map<std::string, ResolvedModel> modelsByPool(const ControlState &State) {
  std::map<std::string, ResolvedModel> Models;
  if (State.declaration())
    for (const PoolView &Pool : poolsOf(*State.declaration()))
      Models[Pool.m_name] = Pool.m_model;
  return Models;
}

NodeMembershipOptions membershipOptions(const FleetOptions &Options) {
  NodeMembershipOptions Swim;
  Swim.m_node = Options.m_node;
  Swim.m_address = Options.m_address;
  Swim.m_incarnation = Options.m_incarnation;
  Swim.m_seeds = Options.m_seeds;
  return Swim;
}

TargetDirectoryOptions directoryOptions(const FleetOptions &Options) {
  TargetDirectoryOptions Directory;
  Directory.m_node = Options.m_node;
  Directory.m_incarnation = Options.m_incarnation;
  return Directory;
}

std::string_view rejectionReason(AnnounceOutcome Outcome) {
  return Outcome == AnnounceOutcome::TooMany
             ? "this node vouches for too many targets"
             : "the name belongs to a target on another host or address";
}

ServingReplica servingReplica(const Assignment &Value, const TargetView &Head,
                              const ResolvedModel &Model) {
  ServingReplica Serving;
  Serving.m_replica = Value.m_replica;
  Serving.m_generation = Value.m_generation;
  Serving.m_headAddress = Head.m_announcement->m_address;
  Serving.m_head = Head.m_announcement->m_target;
  Serving.m_headIncarnation = Head.m_announcement->m_incarnation;
  Serving.m_slots = Model.m_slotsPerReplica;
  Serving.m_longShare = Model.m_longShare;
  Serving.m_load = Head.m_announcement->m_load;
  Serving.m_loadTime = Head.m_lastHeard;
  Serving.m_cacheEvents = Head.m_announcement->m_cacheEvents;
  return Serving;
}

Json targetJson(const TargetDirectoryEntry &Known, const ControlState &State) {
  const TargetAnnouncement &Announcement = *Known.m_announcement;
  return {{"target", Announcement.m_target.str()},
          {"host", Announcement.m_host.str()},
          {"kind", nameOf(Announcement.m_kind)},
          {"state", nameOf(Announcement.m_state)},
          {"fabric_domain", Announcement.m_fabricDomain.str()},
          {"failure_domain", Announcement.m_failureDomain.str()},
          {"replica", Announcement.m_membership.m_replica.str()},
          {"voucher", Known.m_reportingNode.str()},
          {"age_ms", absl::ToInt64Milliseconds(Known.m_age)},
          {"drained", isDrained(State, Announcement)}};
}

} // namespace
} // namespace internal

FleetManager::FleetManager(FleetOptions Options, Instant Now)
    : m_options(std::move(Options)),
      m_membership(internal::membershipOptions(m_options), Now),
      m_directory(internal::directoryOptions(m_options), Now),
      m_observingSince(Now) {}

Result<void, FleetError>
FleetManager::announce(Instant Now, const TargetAnnouncement &Announcement) {
  AnnounceOutcome Taken = m_directory.announce(Now, Announcement);
  // An announcement that arrives late is not an error of the target.
  if (Taken == AnnounceOutcome::Accepted || Taken == AnnounceOutcome::Late)
    return success();
  return failure(
      FleetError{"/target", std::string(internal::rejectionReason(Taken))});
}

void FleetManager::receive(Instant Now, const NodeId &From,
                           const TargetDigest &Digest) {
  // The transport has authenticated the sender; a node may only report about
  // itself.
  if (Digest.m_from != From)
    return;
  m_peers[From] = {Digest.m_revision, Digest.m_leaseValid, Now};
  m_directory.receive(Now, Digest);
}

void FleetManager::receive(Instant Now, const SwimMessage &Message,
                           absl::BitGenRef Random) {
  m_membership.handle(Now, Message, Random);
}

FleetOutput FleetManager::step(Instant Now, const ControlState &State,
                               const LeaseStatus &Lease,
                               absl::BitGenRef Random) {
  FleetOutput Output;
  m_membership.tick(Now, Random);
  collectMembershipChanges(Output, Lease.m_leads);
  std::vector<NodeId> Live = m_membership.liveNodes();
  m_directory.setPeers(Live);
  m_directory.tick(Now);
  takeDigests(State, Lease.m_leaseValid, Output);
  if (Lease.m_leads)
    runAsLeader(Now, State, Output);
  else
    m_leadership.reset();
  return Output;
}

void FleetManager::collectMembershipChanges(FleetOutput &Output, bool Leads) {
  MembershipActions Actions = m_membership.takeActions();
  for (OutgoingSwimMessage &Send : Actions.m_sends)
    Output.m_messages.push_back(
        {Send.m_to, Send.m_address, std::move(Send.m_message)});
  for (const NodeUpdate &Change : Actions.m_changes) {
    bool Gone =
        Change.m_state == NodeState::Dead || Change.m_state == NodeState::Left;
    if (Gone && Leads)
      Output.m_commands.emplace_back(
          NodeLost{Change.m_node, Change.m_incarnation});
  }
  Output.m_nodeChanges = std::move(Actions.m_changes);
}

void FleetManager::takeDigests(const ControlState &State, bool LeaseValid,
                               FleetOutput &Output) {
  for (OutgoingDigest &Send : m_directory.takeDigests()) {
    Send.m_digest.m_revision = State.revision();
    Send.m_digest.m_leaseValid = LeaseValid;
    Output.m_messages.push_back({Send.m_to, "", std::move(Send.m_digest)});
  }
}

void FleetManager::runAsLeader(Instant Now, const ControlState &State,
                               FleetOutput &Output) {
  if (!m_leadership) {
    m_leadership.emplace(Now);
    m_leadership->m_planner.setTestHooks(m_hooks);
  }
  if (m_leadership->m_pendingCommands == 0 && State.declaration()) {
    Plan NewPlan = plan(Now, State);
    for (AssignmentChange &Change : NewPlan.m_changes)
      Output.m_commands.push_back(toCommand(std::move(Change)));
    if (NewPlan.m_needsFencingTokens)
      Output.m_commands.emplace_back(
          ReserveFencingTokens{m_options.m_node, internal::FencesPerBlock});
    for (Order &Sent : NewPlan.m_orders) {
      std::optional<TargetDirectoryEntry> Known =
          m_directory.find(Now, Sent.m_target);
      if (Known)
        Output.m_orders.push_back(
            {Known->m_announcement->m_address, std::move(Sent)});
    }
  }
  m_leadership->m_pendingCommands +=
      static_cast<std::int64_t>(Output.m_commands.size());
}

FleetManager::TargetMap FleetManager::targetMap(Instant Now) const {
  TargetMap Targets;
  for (TargetDirectoryEntry &Known : m_directory.snapshot(Now))
    Targets.emplace(Known.m_announcement->m_target, std::move(Known));
  return Targets;
}

Plan FleetManager::plan(Instant Now, const ControlState &State) {
  std::vector<TargetDirectoryEntry> Known = m_directory.snapshot(Now);
  std::vector<TargetView> Targets;
  Targets.reserve(Known.size());
  for (const TargetDirectoryEntry &Entry : Known)
    Targets.push_back({Entry.m_announcement.get(), Now - Entry.m_age});
  std::vector<PoolView> Pools = poolsOf(*State.declaration());
  std::vector<std::shared_ptr<const Assignment>> Assignments;
  for (const auto &[Id, Existing] : State.assignments())
    Assignments.push_back(Existing);
  std::vector<DepartingMember> Departing;
  for (const auto &[Host, Member] : State.departingHosts())
    Departing.push_back(Member);
  PlannerInput Input;
  Input.m_targets = Targets;
  Input.m_pools = Pools;
  Input.m_assignments = Assignments;
  Input.m_departing = Departing;
  Input.m_drainedTargets = &State.drainedTargets();
  Input.m_drainedHosts = &State.drainedHosts();
  Input.m_fencingTokens = m_leadership->m_fencingTokens;
  Input.m_leaderSince = m_leadership->m_since;
  Input.m_observingSince = m_observingSince;
  return m_leadership->m_planner.plan(Now, Input);
}

void FleetManager::onCommandCompleted(bool Committed,
                                      const CommandResult &Done) {
  if (!m_leadership || m_leadership->m_pendingCommands == 0)
    return;
  --m_leadership->m_pendingCommands;
  const auto *Granted = std::get_if<FencingTokensGranted>(&Done);
  if (Committed && Granted != nullptr)
    m_leadership->m_fencingTokens = {Granted->m_first,
                                     Granted->m_first + Granted->m_count};
}

void FleetManager::fillView(Instant Now, const ControlState &State,
                            ClusterView &View) const {
  TargetMap Targets = targetMap(Now);
  auto Lookup = [&](const TargetId &Target) {
    return internal::targetView(Targets, Now, Target);
  };
  std::map<std::string, ResolvedModel> Models = internal::modelsByPool(State);
  for (const auto &[Id, Existing] : State.assignments()) {
    if (!replicaServes(*Existing, Lookup, Now))
      continue;
    TargetView Head = Lookup(Existing->m_members.front().m_target);
    View.m_pools[Existing->m_pool].push_back(
        internal::servingReplica(*Existing, Head, Models[Existing->m_pool]));
  }
  fillSuspects(State, View);
  for (const auto &[Id, Known] : Targets) {
    const TargetAnnouncement &Announcement = *Known.m_announcement;
    bool Takes = Known.m_fresh && Announcement.m_kind == TargetKind::Service &&
                 Announcement.m_state == TargetState::Ready;
    if (Takes && !internal::isDrained(State, Announcement))
      View.m_services[Announcement.m_service].push_back(
          {Id, Announcement.m_incarnation, Announcement.m_address});
  }
}

void FleetManager::fillSuspects(const ControlState &State, ClusterView &View) {
  View.m_suspects = State.suspects();
  const std::optional<BeginSuspectRun> &Run = State.suspectRun();
  if (!Run || !State.declaration())
    return;
  const auto &Customers = State.declaration()->m_customers;
  auto Owner = Customers.find(Run->m_request.m_customer);
  if (Owner == Customers.end())
    return;
  // All nodes choose the last replica by name, so that no node sends other work
  // to it. A pool with a single replica then serves no other requests.
  auto Pool = View.m_pools.find(poolName(Owner->second.m_resolved));
  if (Pool != View.m_pools.end())
    View.m_isolated[Pool->first] = Pool->second.back().m_replica;
}

nlohmann::json FleetManager::nodesJson(Instant Now, const ControlState &State,
                                       bool LeaseValid) const {
  internal::Json Nodes = internal::Json::array();
  Nodes.push_back({{"node", m_options.m_node.str()},
                   {"state", "alive"},
                   {"revision", State.revision()},
                   {"lease_valid", LeaseValid}});
  for (const NodeUpdate &Member : m_membership.members()) {
    auto Report = m_peers.find(Member.m_node);
    bool Known = Report != m_peers.end() &&
                 Now - Report->second.m_heard < internal::PeerReportLifetime;
    Nodes.push_back({{"node", Member.m_node.str()},
                     {"state", nameOf(Member.m_state)},
                     {"revision", Known ? Report->second.m_revision : 0},
                     {"lease_valid", Known && Report->second.m_leaseValid}});
  }
  return Nodes;
}

void FleetManager::fillStatus(Instant Now, const ControlState &State,
                              bool LeaseValid, nlohmann::json &Status) const {
  TargetMap Known = targetMap(Now);
  internal::Json Targets = internal::Json::array();
  for (const auto &[Id, Entry] : Known)
    Targets.push_back(internal::targetJson(Entry, State));
  auto Lookup = [&](const TargetId &Target) {
    return internal::targetView(Known, Now, Target);
  };
  internal::Json Replicas = internal::Json::array();
  for (const auto &[Id, Existing] : State.assignments()) {
    internal::Json Members = internal::Json::array();
    for (const AssignedMember &Member : Existing->m_members)
      Members.push_back(Member.m_target.str());
    Replicas.push_back({{"replica", Id.str()},
                        {"pool", Existing->m_pool},
                        {"generation", Existing->m_generation},
                        {"phase", internal::nameOf(Existing->m_phase)},
                        {"serving", replicaServes(*Existing, Lookup, Now)},
                        {"members", std::move(Members)}});
  }
  Status["nodes"] = nodesJson(Now, State, LeaseValid);
  Status["targets"] = std::move(Targets);
  Status["replicas"] = std::move(Replicas);
}

} // namespace turmericdyke
