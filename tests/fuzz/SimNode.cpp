#include "SimNode.h"

#include <fmt/format.h>

namespace turmericdyke::fuzz {

namespace {

constexpr std::size_t Voters = 3;
constexpr std::size_t Nodes = 5;
constexpr absl::Duration FleetInterval = absl::Milliseconds(50);
// Small values, so that short runs install snapshots.
constexpr std::uint64_t SnapshotInterval = 30;
constexpr std::size_t RetainedEntries = 10;

std::string identityOf(const NodeId &Node, int Directory) {
  return fmt::format("{}-directory-{}", Node.str(), Directory);
}

} // namespace

NodeId SimNode::nameOf(std::size_t Index) {
  return NodeId(fmt::format("n{}", Index));
}

VoterSet SimNode::initialVoters() {
  VoterSet Set;
  for (std::size_t Index = 0; Index < Voters; ++Index)
    Set.m_voters.push_back({nameOf(Index), identityOf(nameOf(Index), 0)});
  return Set;
}

SimNode::SimNode(const FuzzOptions &Options, std::size_t Index, bool IsVoter,
                 NodeHooks Hooks)
    : m_options(Options), m_id(nameOf(Index)), m_index(Index),
      m_isVoter(IsVoter), m_hooks(std::move(Hooks)),
      m_epoch(absl::Hours(Index)), m_view(std::make_shared<ClusterView>()) {
  if (IsVoter)
    m_disk = bootstrapState(identityOf(m_id, 0), initialVoters());
}

void SimNode::start(Instant Now, std::mt19937_64 &Random) {
  ++m_incarnation;
  ControlCoreOptions Core;
  Core.m_node = m_id;
  Core.m_incarnation = m_incarnation;
  FleetOptions Fleet;
  Fleet.m_node = m_id;
  Fleet.m_incarnation = m_incarnation;
  Fleet.m_address = m_id.str();
  for (std::size_t Peer = 0; Peer < Nodes; ++Peer) {
    if (Peer < Voters)
      Core.m_desiredVoters.push_back(nameOf(Peer));
    if (Peer == m_index)
      continue;
    Core.m_peers.push_back(nameOf(Peer));
    Fleet.m_seeds.push_back(nameOf(Peer).str());
  }
  Core.m_snapshotInterval = SnapshotInterval;
  Core.m_raft.m_retainedEntries = RetainedEntries;
  if (m_options.m_longLease && m_index == 0) {
    Core.m_raft.m_leaderLease = absl::Seconds(5);
    Core.m_raft.m_electionTimeoutMin = absl::Seconds(6);
    Core.m_raft.m_electionTimeoutMax = absl::Seconds(7);
  }
  m_fleet.emplace(std::move(Fleet), clock(Now));
  m_fleet->setTestHooks(m_options.m_planner);
  m_core.emplace(std::move(Core), m_disk, clock(Now), Random);
  m_core->setTestHooks(m_options.m_control);
  m_nextFleetStep = absl::InfinitePast();
  turn(Now);
}

void SimNode::crash() {
  m_core.reset();
  m_fleet.reset();
  m_fleetTickets.clear();
  m_waiters.clear();
  m_view = std::make_shared<ClusterView>();
}

void SimNode::loseData() {
  m_disk = {};
  if (m_isVoter)
    m_disk.m_identity = identityOf(m_id, ++m_directories);
}

void SimNode::tick(Instant Now, std::mt19937_64 &Random) {
  m_core->tick(clock(Now), Now, Random);
  turn(Now);
  stepFleet(Now, Random);
}

void SimNode::receive(Instant Now, const NodeId &From,
                      const CoreMessage &Message, std::mt19937_64 &Random) {
  if (const auto *Digest = std::get_if<TargetDigest>(&Message))
    return m_fleet->receive(clock(Now), From, *Digest);
  if (const auto *Swim = std::get_if<SwimMessage>(&Message))
    return m_fleet->receive(clock(Now), *Swim, Random);
  m_core->onMessage(clock(Now), From, Message, Random);
  turn(Now);
}

bool SimNode::announce(Instant Now, const TargetAnnouncement &Announcement) {
  return static_cast<bool>(m_fleet->announce(clock(Now), Announcement));
}

void SimNode::submit(Instant Now, const Command &Value,
                     std::function<void(const Completion &)> Done) {
  m_waiters[m_core->submit(clock(Now), Value)] = std::move(Done);
}

void SimNode::transferLeadership(Instant Now) {
  if (m_core->raft().isLeader())
    m_core->transferLeadership(clock(Now));
  turn(Now);
}

void SimNode::turn(Instant Now) {
  do {
    while (m_core->hasActions()) {
      if (m_isVoter && !m_options.m_skipPersist)
        persist(m_core->storageActions());
      m_core->onActionsPersisted(clock(Now));
    }
    deliver(Now, m_core->takeOutput());
  } while (m_core->hasActions());
}

void SimNode::persist(const RaftActions &Actions) {
  if (Actions.m_hardState)
    m_disk.m_hardState = *Actions.m_hardState;
  if (Actions.m_snapshot) {
    m_disk.m_snapshot = *Actions.m_snapshot;
    m_disk.m_entries.clear();
  }
  if (Actions.m_entries.empty())
    return;
  LogIndex First = Actions.m_entries.front().m_index;
  std::erase_if(m_disk.m_entries,
                [First](const LogEntry &Old) { return Old.m_index >= First; });
  m_disk.m_entries.insert(m_disk.m_entries.end(), Actions.m_entries.begin(),
                          Actions.m_entries.end());
}

void SimNode::deliver(Instant Now, ControlOutput Output) {
  for (const AddressedMessage &Message : Output.m_messages)
    m_hooks.m_send(Message);
  for (const Completion &Done : Output.m_completions) {
    if (m_fleetTickets.erase(Done.m_ticket) > 0)
      m_fleet->onCommandCompleted(Done.m_status == SubmitStatus::Committed,
                                  Done.m_result);
    if (auto Waiting = m_waiters.extract(Done.m_ticket))
      Waiting.mapped()(Done);
  }
  if (Output.m_snapshot) {
    if (m_isVoter && !m_options.m_skipPersist) {
      m_disk.m_snapshot = *Output.m_snapshot;
      std::erase_if(m_disk.m_entries, [&](const LogEntry &Old) {
        return Old.m_index <= Output.m_snapshot->m_index;
      });
    }
    m_core->snapshotWritten(*Output.m_snapshot);
  }
  if (Output.m_stateChanged)
    publish(Now);
}

void SimNode::stepFleet(Instant Now, std::mt19937_64 &Random) {
  if (Now < m_nextFleetStep)
    return;
  m_nextFleetStep = Now + FleetInterval;
  LeaseStatus Lease{m_core->leads(clock(Now)),
                    clock(Now) < m_core->leaseUntil()};
  FleetOutput Output =
      m_fleet->step(clock(Now), m_core->state(), Lease, Random);
  for (const Command &Value : Output.m_commands)
    m_fleetTickets.insert(m_core->submit(clock(Now), Value));
  for (const AddressedOrder &Value : Output.m_orders)
    m_hooks.m_order(Value);
  for (const AddressedMessage &Message : Output.m_messages)
    m_hooks.m_send(Message);
  publish(Now);
}

void SimNode::publish(Instant Now) {
  auto View = std::make_shared<ClusterView>();
  View->m_revision = m_core->state().revision();
  if (m_core->state().declaration())
    View->m_declaration = m_core->state().declaration();
  View->m_leaseUntil = m_core->leaseUntil();
  View->m_publishedAt =
      m_options.m_skipViewAge ? absl::InfiniteFuture() : clock(Now);
  m_fleet->fillView(clock(Now), m_core->state(), *View);
  if (m_options.m_keepOldView && !m_view->m_pools.empty()) {
    View->m_pools = m_view->m_pools;
    View->m_services = m_view->m_services;
  }
  m_view = std::move(View);
  m_hooks.m_published();
}

} // namespace turmericdyke::fuzz
