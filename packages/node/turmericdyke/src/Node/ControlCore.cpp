#include "turmericdyke/src/Node/ControlCore.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "turmericdyke/Declaration"

namespace turmericdyke {

namespace internal {
namespace {

/// Expiry of records needs no finer resolution, and each advance adds a log
/// entry.
constexpr absl::Duration LogTimeInterval = absl::Seconds(10);
constexpr absl::Duration VoterUpdateInterval = absl::Milliseconds(100);
/// The log grows by this multiple of the last snapshot before the next one.
constexpr std::size_t LogBytesPerSnapshotByte = 4;

RaftOptions raftOptions(const ControlCoreOptions &Options) {
  RaftOptions Raft = Options.m_raft;
  Raft.m_node = Options.m_node;
  return Raft;
}

/// Restores the state from a persisted snapshot. Storage has verified the
/// checksum, so a snapshot that cannot be decoded was written by a newer
/// version.
ControlState restoreState(const std::string &Data) {
  if (Data.empty())
    return ControlState(&parseDeclarationJson);
  Result<ControlState, ControlError> State =
      ControlState::restore(Data, &parseDeclarationJson);
  assert(State && "a snapshot with a valid checksum must be decodable");
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
      m_pendingCommands(m_options.m_node, m_options.m_incarnation),
      m_applied(State.m_snapshot.m_index),
      m_snapshotIndex(State.m_snapshot.m_index),
      m_lastSnapshotBytes(State.m_snapshot.m_data.size()) {
  m_raft.setLearners(m_options.m_peers);
  collectActions();
}

void ControlCore::collectActions() {
  RaftActions Actions = m_raft.takeActions();
  if (Actions.empty())
    return;
  assert(!m_pendingActions &&
         "the pending actions must be persisted before the next event");
  m_pendingActions = std::move(Actions);
}

void ControlCore::send(const NodeId &To, CoreMessage Message) {
  m_output.m_messages.push_back({To, "", std::move(Message)});
}

void ControlCore::onMessage(Instant Now, const NodeId &From,
                            const CoreMessage &Message,
                            absl::BitGenRef Random) {
  std::visit([&](const auto &Kind) { onPeer(Now, From, Kind, Random); },
             Message);
  collectActions();
}

void ControlCore::onPeer(Instant Now, const NodeId &From,
                         const RaftMessage &Message, absl::BitGenRef Random) {
  // The transport has authenticated the sender; a message that names another
  // node as its sender is ignored.
  if (Message.m_from == From)
    m_raft.step(Now, Message, Random);
}

ReadLeaseLeaderState ControlCore::readLeaseLeader(Instant Now) const {
  ReadLeaseLeaderState Leader;
  Leader.m_holdsLeaderLease = m_raft.holdsLeaderLease(Now);
  Leader.m_term = m_raft.term();
  Leader.m_commitIndex = m_raft.commitIndex();
  Leader.m_committedInTerm = Leader.m_holdsLeaderLease;
  return Leader;
}

void ControlCore::onPeer(Instant Now, const NodeId &From,
                         const ReadLeaseRequest &Request, absl::BitGenRef) {
  std::optional<ReadLeaseGrant> Grant =
      grantReadLease(Request, readLeaseLeader(Now));
  if (Grant)
    send(From, *Grant);
}

void ControlCore::onPeer(Instant Now, const NodeId &,
                         const ReadLeaseGrant &Grant, absl::BitGenRef) {
  // The encoded message omits the receiver's name.
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
    m_pendingCommands.refused(Now, *Envelopes);
}

void ControlCore::onPeer(Instant, const NodeId &From,
                         const BootstrapMessage &Message, absl::BitGenRef) {
  if (Message.m_formed || m_raft.voters().m_voters.empty())
    return;
  send(From, BootstrapMessage{"", true, m_raft.voters()});
}

bool ControlCore::leads(Instant Now) const {
  return m_raft.holdsLeaderLease(Now) && m_applied >= m_raft.termStart();
}

void ControlCore::tick(Instant Now, absl::Time WallTime,
                       absl::BitGenRef Random) {
  m_raft.tick(Now, Random);
  applyWaiting(Now);
  m_pendingCommands.expire(Now);
  sendLeaseRequest(Now);
  if (leads(Now)) {
    advanceLogTime(Now, WallTime);
    updateVoters(Now);
  }
  closeOrphanedCalls(Now);
  proposePendingCommands(Now);
  collectActions();
}

void ControlCore::closeOrphanedCalls(Instant Now) {
  if (m_orphanedCallsClosed || m_closeCallsTicket != 0 ||
      m_raft.leader().empty())
    return;
  // The other nodes do not detect a quick restart as the loss of a node, so
  // this node reports it itself.
  m_closeCallsTicket =
      submit(Now, NodeLost{m_options.m_node, m_options.m_incarnation - 1});
}

void ControlCore::sendLeaseRequest(Instant Now) {
  std::optional<ReadLeaseRequest> Request = m_lease.tick(Now);
  if (!Request)
    return;
  if (m_raft.isLeader()) {
    std::optional<ReadLeaseGrant> Grant =
        grantReadLease(*Request, readLeaseLeader(Now));
    if (Grant)
      m_lease.receive(Now, *Grant);
    return;
  }
  if (!m_raft.leader().empty())
    send(m_raft.leader(), *Request);
}

void ControlCore::advanceLogTime(Instant Now, absl::Time WallTime) {
  if (Now < m_nextLogTime)
    return;
  m_nextLogTime = Now + internal::LogTimeInterval;
  submit(Now, Tick{WallTime});
}

void ControlCore::setClusterMembers(std::vector<NodeId> Peers,
                                    std::vector<NodeId> Voters) {
  m_options.m_peers = std::move(Peers);
  m_options.m_desiredVoters = std::move(Voters);
  m_removeOtherVoters = true;
  m_raft.setLearners(m_options.m_peers);
}

void ControlCore::updateVoters(Instant Now) {
  if (Now < m_nextVoterUpdate)
    return;
  m_nextVoterUpdate = Now + internal::VoterUpdateInterval;
  VoterSet Goal = m_raft.voters();
  const auto &Desired = m_options.m_desiredVoters;
  auto IsDesired = [&Desired](const NodeId &Node) {
    return std::find(Desired.begin(), Desired.end(), Node) != Desired.end();
  };
  if (m_removeOtherVoters)
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
  std::optional<VoterSet> Normalized = normalizedVoterSet(std::move(Goal));
  if (!Normalized || *Normalized == m_raft.voters())
    return;
  // A rejection means that the new voter is still catching up; the next update
  // retries.
  (void)m_raft.changeVoters(Now, nextVoterSet(m_raft.voters(), *Normalized,
                                              m_raft.respondingNodes()));
}

std::uint64_t ControlCore::submit(Instant Now, const Command &Value) {
  return m_pendingCommands.submit(Now, encodeCommand(Value),
                                  m_options.m_submitTimeout);
}

std::uint64_t ControlCore::submitAsLeader(Instant Now, const Command &Value) {
  return m_pendingCommands.submitInTerm(
      Now, encodeCommand(Value), m_options.m_submitTimeout, m_raft.term());
}

std::optional<Term> ControlCore::ledTerm() const {
  if (!m_raft.isLeader())
    return std::nullopt;
  return m_raft.term();
}

void ControlCore::proposePendingCommands(Instant Now) {
  bool Leads = m_raft.isLeader();
  m_pendingCommands.leadsTerm(ledTerm());
  if (!Leads && m_raft.leader().empty())
    return;
  std::vector<Envelope> Due = m_pendingCommands.due(Now);
  if (Due.empty())
    return;
  // Commands that are due at the same time share a log entry, so each voter
  // syncs them once.
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
    m_pendingCommands.refused(Now, Due);
}

void ControlCore::transferLeadership(Instant Now) {
  for (const PeerStatus &Peer : m_raft.peers()) {
    if (!Peer.m_countsForQuorum)
      continue;
    if (m_raft.transferLeadership(Now, Peer.m_node))
      break;
  }
  collectActions();
}

void ControlCore::onActionsPersisted(Instant Now) {
  assert(m_pendingActions && "there are no pending actions");
  RaftActions Actions = std::move(*m_pendingActions);
  m_pendingActions.reset();
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
    m_lastSnapshotBytes = Actions.m_snapshot->m_data.size();
    m_bytesSinceSnapshot = 0;
    m_waiting.clear();
    m_applied = m_snapshotIndex;
    m_lease.applied(m_snapshotIndex);
    m_output.m_stateChanged = true;
  }
  for (LogEntry &Entry : Actions.m_committed)
    m_waiting.push_back(std::move(Entry));
  applyWaiting(Now);
  collectActions();
}

void ControlCore::applyWaiting(Instant Now) {
  // The log may hold an installed snapshot that this state has not taken up.
  if (m_storageFailed)
    return;
  std::size_t Bytes = 0;
  for (std::size_t Count = 0;
       !m_waiting.empty() && Count < m_options.m_maxAppliedEntriesPerTurn;
       ++Count) {
    Bytes += m_waiting.front().m_command.size();
    if (Count > 0 && Bytes > m_options.m_maxAppliedBytesPerTurn)
      break;
    apply(Now, m_waiting.front());
    m_waiting.pop_front();
  }
  maybeSnapshot();
}

void ControlCore::apply(Instant Now, const LogEntry &Entry) {
  ++m_output.m_applied.m_entries;
  m_output.m_applied.m_bytes += Entry.m_command.size();
  m_bytesSinceSnapshot += Entry.m_command.size();
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
        if (!m_pendingCommands.applied((*Envelopes)[At], Entry.m_index,
                                       Results[At]))
          closeAbandonedCall(Now, (*Envelopes)[At], Results[At]);
      m_output.m_stateChanged = true;
    }
  }
  m_applied = Entry.m_index;
  m_lease.applied(Entry.m_index);
}

void ControlCore::closeAbandonedCall(Instant Now, const Envelope &Value,
                                     const CommandResult &Outcome) {
  // The command was committed after this node had stopped waiting for it. A
  // once-only call whose record was committed too late is never sent, so its
  // record is closed as not run.
  if (Value.m_origin != m_options.m_node ||
      Value.m_incarnation != m_options.m_incarnation)
    return;
  const auto *Begin = std::get_if<BeginOnceOnlyResult>(&Outcome);
  if (Begin == nullptr || Begin->m_start != BeginOnceOnlyStatus::Begun)
    return;
  Result<Command, ControlError> Decoded = decodeCommand(Value.m_command);
  if (!Decoded)
    return;
  const auto &Begun = std::get<BeginOnceOnly>(Decoded.value());
  submit(Now, makeFinishOnceOnly(Begun, OnceOnlyOutcome::NotRun));
}

bool ControlCore::snapshotDue() const {
  // A large state is written less often, so that its snapshots stay small
  // beside the log.
  std::size_t Bytes =
      std::max(m_options.m_snapshotBytes,
               internal::LogBytesPerSnapshotByte * m_lastSnapshotBytes);
  return m_state.appliedIndex() >=
             m_snapshotIndex + m_options.m_snapshotInterval ||
         m_bytesSinceSnapshot >= Bytes;
}

void ControlCore::maybeSnapshot() {
  std::uint64_t Applied = m_state.appliedIndex();
  if (m_snapshotPending || Applied <= m_snapshotIndex || !snapshotDue())
    return;
  m_snapshotPending = true;
  m_output.m_snapshot = m_raft.makeSnapshot(Applied, m_state.snapshot());
  m_lastSnapshotBytes = m_output.m_snapshot->m_data.size();
  m_bytesSinceSnapshot = 0;
}

void ControlCore::snapshotWritten(const Snapshot &Written) {
  m_snapshotPending = false;
  m_snapshotIndex = Written.m_index;
  m_raft.compact(Written);
  collectActions();
}

void ControlCore::storageFailed() {
  m_storageFailed = true;
  m_pendingActions.reset();
  m_raft.storageFailed();
  collectActions();
}

void ControlCore::setTestHooks(const internal::ControlTestHooks &Hooks) {
  m_hooks = Hooks;
  m_state.setTestHooks(Hooks);
}

ControlOutput ControlCore::takeOutput() {
  m_output.m_completions = m_pendingCommands.takeCompletions();
  for (const Completion &Done : m_output.m_completions) {
    if (Done.m_ticket != m_closeCallsTicket)
      continue;
    m_orphanedCallsClosed = Done.m_status == SubmitStatus::Committed;
    m_closeCallsTicket = 0;
  }
  return std::exchange(m_output, {});
}

} // namespace turmericdyke
