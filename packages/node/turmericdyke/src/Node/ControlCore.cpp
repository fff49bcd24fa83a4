#include "turmericdyke/src/Node/ControlCore.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "turmericdyke/Declaration"

namespace turmericdyke {

namespace internal {
namespace {

/// Expiry of records needs no finer grain, and each advance costs a log entry.
constexpr absl::Duration LogTimeInterval = absl::Seconds(10);
constexpr absl::Duration VoterStepInterval = absl::Seconds(1);

RaftOptions raftOptions(const ControlCoreOptions &Options) {
  RaftOptions Raft = Options.m_raft;
  Raft.m_node = Options.m_node;
  return Raft;
}

/// The state of a snapshot that was persisted before the start. A snapshot that
/// cannot be read was checked by its checksum, so it comes from a newer
/// version.
ControlState restoreState(const std::string &Data) {
  if (Data.empty())
    return ControlState(&parseDeclarationJson);
  Result<ControlState, ControlError> State =
      ControlState::restore(Data, &parseDeclarationJson);
  assert(State && "a snapshot that passed its checksum must be readable");
  return std::move(State).value();
}

} // namespace
} // namespace internal

ControlCore::ControlCore(ControlCoreOptions Options,
                         const PersistentState &State, Instant Now,
                         absl::BitGenRef Random)
    : m_options(std::move(Options)),
      m_raft(internal::raftOptions(m_options), State, Now, Random),
      m_state(internal::restoreState(State.m_snapshot.m_data)),
      m_lease(m_options.m_node, m_options.m_incarnation,
              State.m_snapshot.m_index),
      m_submissions(m_options.m_node, m_options.m_incarnation),
      m_snapshotIndex(State.m_snapshot.m_index) {
  m_raft.setLearners(m_options.m_peers);
  collect();
}

void ControlCore::collect() {
  RaftActions Actions = m_raft.takeActions();
  if (Actions.empty())
    return;
  assert(!m_pending && "finish a turn before the next event");
  m_pending = std::move(Actions);
}

void ControlCore::send(const NodeId &To, CoreMessage Message) {
  m_output.m_messages.push_back({To, "", std::move(Message)});
}

void ControlCore::onMessage(Instant Now, const NodeId &From,
                            const CoreMessage &Message,
                            absl::BitGenRef Random) {
  std::visit([&](const auto &Kind) { onPeer(Now, From, Kind, Random); },
             Message);
  collect();
}

void ControlCore::onPeer(Instant Now, const NodeId &From,
                         const RaftMessage &Message, absl::BitGenRef Random) {
  // The transport has authenticated the sender; a message in another node's
  // name is not taken.
  if (Message.m_from == From)
    m_raft.step(Now, Message, Random);
}

ReadLeaseLeader ControlCore::leaseFacts(Instant Now) const {
  ReadLeaseLeader Facts;
  Facts.m_holdsLeaderLease = m_raft.holdsLeaderLease(Now);
  Facts.m_term = m_raft.term();
  Facts.m_commitIndex = m_raft.commitIndex();
  Facts.m_committedInTerm = Facts.m_holdsLeaderLease;
  return Facts;
}

void ControlCore::onPeer(Instant Now, const NodeId &From,
                         const ReadLeaseRequest &Request, absl::BitGenRef) {
  std::optional<ReadLeaseGrant> Grant =
      grantReadLease(Request, leaseFacts(Now));
  if (Grant)
    send(From, *Grant);
}

void ControlCore::onPeer(Instant Now, const NodeId &,
                         const ReadLeaseGrant &Grant, absl::BitGenRef) {
  // The wire form leaves out the receiver's own name.
  ReadLeaseGrant Own = Grant;
  Own.m_node = m_options.m_node;
  m_lease.receive(Now, Own);
}

void ControlCore::onPeer(Instant Now, const NodeId &From,
                         const Propose &Message, absl::BitGenRef) {
  std::optional<std::vector<Envelope>> Envelopes =
      decodeEnvelopes(Message.m_command);
  if (!Envelopes)
    return;
  if (m_raft.propose(Now, Message.m_command))
    return;
  ProposeResult Refusal;
  Refusal.m_correlation = Message.m_correlation;
  Refusal.m_status = ProposeStatus::NotLeader;
  Refusal.m_leaderHint = m_raft.leader();
  Refusal.m_result = Message.m_command;
  send(From, std::move(Refusal));
}

void ControlCore::onPeer(Instant Now, const NodeId &,
                         const ProposeResult &Refusal, absl::BitGenRef) {
  std::optional<std::vector<Envelope>> Envelopes =
      decodeEnvelopes(Refusal.m_result);
  if (Envelopes)
    m_submissions.refused(Now, *Envelopes);
}

void ControlCore::onPeer(Instant, const NodeId &From,
                         const BootstrapMessage &Message, absl::BitGenRef) {
  if (Message.m_formed || m_raft.voters().m_voters.empty())
    return;
  send(From, BootstrapMessage{"", true, m_raft.voters()});
}

void ControlCore::tick(Instant Now, absl::Time Wall, absl::BitGenRef Random) {
  m_raft.tick(Now, Random);
  m_submissions.expire(Now);
  sendLeaseRequest(Now);
  if (leads(Now)) {
    advanceLogTime(Now, Wall);
    stepVoters(Now);
  }
  closeEarlierCalls(Now);
  handOverCommands(Now);
  collect();
}

void ControlCore::closeEarlierCalls(Instant Now) {
  if (m_earlierCallsClosed || m_closingTicket != 0 || m_raft.leader().empty())
    return;
  // A quick restart is never seen as a death by the other nodes.
  m_closingTicket =
      submit(Now, NodeLost{m_options.m_node, m_options.m_incarnation - 1});
}

void ControlCore::sendLeaseRequest(Instant Now) {
  std::optional<ReadLeaseRequest> Request = m_lease.tick(Now);
  if (!Request)
    return;
  if (m_raft.isLeader()) {
    std::optional<ReadLeaseGrant> Grant =
        grantReadLease(*Request, leaseFacts(Now));
    if (Grant)
      m_lease.receive(Now, *Grant);
    return;
  }
  if (!m_raft.leader().empty())
    send(m_raft.leader(), *Request);
}

void ControlCore::advanceLogTime(Instant Now, absl::Time Wall) {
  if (Now < m_nextLogTime)
    return;
  m_nextLogTime = Now + internal::LogTimeInterval;
  submit(Now, Tick{Wall});
}

void ControlCore::setCluster(std::vector<NodeId> Peers,
                             std::vector<NodeId> Voters) {
  m_options.m_peers = std::move(Peers);
  m_options.m_desiredVoters = std::move(Voters);
  m_exactVoters = true;
  m_raft.setLearners(m_options.m_peers);
}

void ControlCore::stepVoters(Instant Now) {
  if (Now < m_nextVoterStep)
    return;
  m_nextVoterStep = Now + internal::VoterStepInterval;
  VoterSet Goal = m_raft.voters();
  const auto &Desired = m_options.m_desiredVoters;
  auto IsDesired = [&Desired](const NodeId &Node) {
    return std::find(Desired.begin(), Desired.end(), Node) != Desired.end();
  };
  if (m_exactVoters)
    std::erase_if(Goal.m_voters, [&](const Voter &Member) {
      return !IsDesired(Member.m_node);
    });
  for (const PeerStatus &Peer : m_raft.peers()) {
    if (!IsDesired(Peer.m_node) || Peer.m_identity.empty() || Peer.m_rolledBack)
      continue;
    std::erase_if(Goal.m_voters, [&](const Voter &Member) {
      return Member.m_node == Peer.m_node;
    });
    Goal.m_voters.push_back({Peer.m_node, Peer.m_identity});
  }
  std::optional<VoterSet> Normal = normalizedVoterSet(std::move(Goal));
  if (!Normal || *Normal == m_raft.voters())
    return;
  // A refusal means that the new voter is still catching up; the next step
  // tries again.
  (void)m_raft.changeVoters(Now, stepTowards(m_raft.voters(), *Normal));
}

std::uint64_t ControlCore::submit(Instant Now, const Command &Value) {
  return m_submissions.submit(Now, encodeCommand(Value),
                              m_options.m_submitTimeout);
}

void ControlCore::handOverCommands(Instant Now) {
  bool Leads = m_raft.isLeader();
  if (!Leads && m_raft.leader().empty())
    return;
  std::vector<Envelope> Due = m_submissions.due(Now);
  if (Due.empty())
    return;
  // Commands of one turn share an entry, and so one sync on each voter.
  std::string Bytes = encodeEnvelopes(Due);
  if (!Leads) {
    Propose Message;
    Message.m_node = m_options.m_node;
    Message.m_correlation = Due.front().m_ticket;
    Message.m_command = std::move(Bytes);
    send(m_raft.leader(), std::move(Message));
    return;
  }
  if (!m_raft.propose(Now, std::move(Bytes)))
    m_submissions.refused(Now, Due);
}

void ControlCore::handOver(Instant Now) {
  for (const PeerStatus &Peer : m_raft.peers()) {
    if (!Peer.m_counted)
      continue;
    if (m_raft.transferLeadership(Now, Peer.m_node))
      break;
  }
  collect();
}

void ControlCore::finish(Instant Now) {
  assert(m_pending && "there is nothing to finish");
  RaftActions Actions = std::move(*m_pending);
  m_pending.reset();
  for (RaftMessage &Message : Actions.m_messages) {
    NodeId To = Message.m_to;
    send(To, std::move(Message));
  }
  for (RaftEvent &Event : Actions.m_events)
    m_output.m_events.push_back(std::move(Event));
  if (Actions.m_snapshot) {
    m_state = internal::restoreState(Actions.m_snapshot->m_data);
    m_state.setTestHooks(m_hooks);
    m_snapshotIndex = Actions.m_snapshot->m_index;
    m_lease.applied(m_snapshotIndex);
    m_output.m_stateChanged = true;
  }
  for (const LogEntry &Entry : Actions.m_committed)
    apply(Now, Entry);
  maybeSnapshot();
  collect();
}

void ControlCore::apply(Instant Now, const LogEntry &Entry) {
  if (Entry.m_kind == EntryKind::Command) {
    std::optional<std::vector<Envelope>> Envelopes =
        decodeEnvelopes(Entry.m_command);
    if (Envelopes) {
      std::vector<std::string_view> Commands;
      for (const Envelope &Value : *Envelopes)
        Commands.push_back(Value.m_command);
      std::vector<CommandResult> Results =
          m_state.applyEncodedBatch(Entry.m_index, Commands);
      for (std::size_t At = 0; At < Envelopes->size(); ++At)
        if (!m_submissions.applied((*Envelopes)[At], Entry.m_index,
                                   Results[At]))
          settleAbandoned(Now, (*Envelopes)[At], Results[At]);
      m_output.m_stateChanged = true;
    }
  }
  m_lease.applied(Entry.m_index);
}

void ControlCore::settleAbandoned(Instant Now, const Envelope &Value,
                                  const CommandResult &Outcome) {
  // The command was committed after this node had given up on it. A once-only
  // call that was begun this way is never made, so its record says so.
  if (Value.m_origin != m_options.m_node ||
      Value.m_incarnation != m_options.m_incarnation)
    return;
  const auto *Begin = std::get_if<OnceOnlyBegin>(&Outcome);
  if (Begin == nullptr || Begin->m_start != OnceOnlyStart::Begun)
    return;
  Result<Command, ControlError> Decoded = decodeCommand(Value.m_command);
  if (!Decoded)
    return;
  const auto &Begun = std::get<BeginOnceOnly>(Decoded.value());
  submit(Now, finishOf(Begun, OnceOnlyOutcome::NotRun));
}

void ControlCore::maybeSnapshot() {
  std::uint64_t Applied = m_state.appliedIndex();
  if (m_snapshotPending ||
      Applied < m_snapshotIndex + m_options.m_snapshotInterval)
    return;
  m_snapshotPending = true;
  m_output.m_snapshot = m_raft.makeSnapshot(Applied, m_state.snapshot());
}

void ControlCore::snapshotWritten(const Snapshot &Written) {
  m_snapshotPending = false;
  m_snapshotIndex = Written.m_index;
  m_raft.compact(Written);
  collect();
}

void ControlCore::storageFailed() {
  m_pending.reset();
  m_raft.storageFailed();
  collect();
}

void ControlCore::setTestHooks(const internal::ControlTestHooks &Hooks) {
  m_hooks = Hooks;
  m_state.setTestHooks(Hooks);
}

ControlOutput ControlCore::takeOutput() {
  m_output.m_completions = m_submissions.takeCompletions();
  for (const Completion &Done : m_output.m_completions) {
    if (Done.m_ticket != m_closingTicket)
      continue;
    m_earlierCallsClosed = Done.m_status == SubmitStatus::Committed;
    m_closingTicket = 0;
  }
  return std::exchange(m_output, {});
}

} // namespace turmericdyke
