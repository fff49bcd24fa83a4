#include <algorithm>
#include <cassert>
#include <utility>

#include <fmt/format.h>

#include "turmericdyke/src/Consensus/Raft.h"

namespace turmericdyke {

using internal::FollowerProgress;
using internal::ReplicationMode;

// Proposals.

std::optional<ConsensusError> Raft::proposalError(Instant Now) const {
  if (m_failed)
    return ConsensusError{ConsensusErrorKind::StorageFailed,
                          "the storage of this node failed"};
  if (!isLeader())
    return ConsensusError{ConsensusErrorKind::NotLeader,
                          "this node is not the leader"};
  if (!m_transferTo.empty())
    return ConsensusError{
        ConsensusErrorKind::TransferInProgress,
        fmt::format("leadership moves to {}", m_transferTo.str())};
  if (!holdsLeaderLease(Now))
    return ConsensusError{ConsensusErrorKind::NoLease,
                          "this leader holds no lease"};
  return std::nullopt;
}

std::optional<ConsensusError>
Raft::voterChangeError(const VoterSet &Voters) const {
  if (!differByOneVoter(voters(), Voters))
    return ConsensusError{ConsensusErrorKind::InvalidVoterSet,
                          "a change adds or removes exactly one voter"};
  if (m_log.votersIndex() > m_commit)
    return ConsensusError{ConsensusErrorKind::ChangeInProgress,
                          "the last change of voters is not committed"};
  for (const Voter &Member : Voters.m_voters)
    if (!voters().contains(Member) && !isCaughtUp(Member))
      return ConsensusError{
          ConsensusErrorKind::NotCaughtUp,
          fmt::format("{} has not caught up", Member.m_node.str())};
  return std::nullopt;
}

bool Raft::isCaughtUp(const Voter &Member) const {
  auto Found = m_peers.find(Member.m_node);
  return Found != m_peers.end() &&
         Found->second.m_identity == Member.m_identity &&
         m_rolledBackIdentities.count(Member.m_identity) == 0 &&
         Found->second.m_match + m_options.m_maxEntriesPerMessage >= m_commit;
}

Result<LogIndex, ConsensusError> Raft::propose(Instant Now,
                                               std::string Command) {
  if (std::optional<ConsensusError> Error = proposalError(Now))
    return *Error;
  if (Command.size() > m_options.m_maxCommandBytes)
    return ConsensusError{ConsensusErrorKind::TooLarge,
                          fmt::format("the command has {} bytes, at most {} "
                                      "are allowed",
                                      Command.size(),
                                      m_options.m_maxCommandBytes)};
  LogIndex Index = appendEntry(EntryKind::Command, std::move(Command), {});
  advanceCommit();
  return Index;
}

Result<LogIndex, ConsensusError> Raft::changeVoters(Instant Now,
                                                    VoterSet Voters) {
  if (std::optional<ConsensusError> Error = proposalError(Now))
    return *Error;
  std::optional<VoterSet> Normalized = normalizedVoterSet(std::move(Voters));
  if (!Normalized)
    return ConsensusError{ConsensusErrorKind::InvalidVoterSet,
                          "the voter set is empty or names a node twice"};
  // Holding the lease implies a committed entry of this term. Without one,
  // voter changes by two leaders could lead to majorities that do not overlap.
  if (std::optional<ConsensusError> Error = voterChangeError(*Normalized))
    return *Error;
  LogIndex Index = appendEntry(EntryKind::Voters, "", std::move(*Normalized));
  refreshPeers();
  advanceCommit();
  return Index;
}

LogIndex Raft::appendEntry(EntryKind Kind, std::string Command,
                           VoterSet Voters) {
  LogIndex Index = lastIndex() + 1;
  m_log.append({Index, term(), Kind, std::move(Command), std::move(Voters)});
  return Index;
}

// Followers, learners and majorities.

void Raft::setLearners(absl::Span<const NodeId> Learners) {
  m_learners = std::set<NodeId>(Learners.begin(), Learners.end());
  if (isLeader())
    refreshPeers();
}

void Raft::refreshPeers() {
  std::set<NodeId> Wanted = m_learners;
  for (const Voter &Member : voters().m_voters)
    Wanted.insert(Member.m_node);
  Wanted.erase(m_self.m_node);
  std::erase_if(
      m_peers, [&](const auto &Peer) { return Wanted.count(Peer.first) == 0; });
  for (const NodeId &Node : Wanted) {
    auto [Peer, Added] = m_peers.try_emplace(Node);
    if (!Added)
      continue;
    Peer->second.probeFrom(lastIndex() + 1);
    Peer->second.m_firstRound = m_round;
  }
}

/// Whether the acknowledgements of a voter count: its node responds with the
/// identity in the voter set, and that identity was not rolled back.
bool Raft::countsForQuorum(const Voter &Member) const {
  if (Member.m_node == m_self.m_node)
    return Member == m_self;
  auto Found = m_peers.find(Member.m_node);
  if (Found == m_peers.end())
    return false;
  if (isDisabled(DisabledCheck::IgnoreIdentity))
    return true;
  return Found->second.m_identity == Member.m_identity &&
         m_rolledBackIdentities.count(Member.m_identity) == 0;
}

/// The highest value that a majority of the voters has reached.
std::uint64_t Raft::quorumValue(
    std::uint64_t Own,
    const std::function<std::uint64_t(const FollowerProgress &)> &Value) const {
  std::vector<std::uint64_t> Values;
  for (const Voter &Member : voters().m_voters) {
    if (!countsForQuorum(Member))
      Values.push_back(0);
    else if (Member == m_self)
      Values.push_back(Own);
    else
      Values.push_back(Value(m_peers.at(Member.m_node)));
  }
  std::sort(Values.begin(), Values.end(), std::greater<>());
  return Values[voters().majority() - 1];
}

std::vector<PeerStatus> Raft::peers() const {
  std::vector<PeerStatus> Status;
  for (const auto &[Node, Peer] : m_peers) {
    const Voter *Member = voters().find(Node);
    Status.push_back(
        {Node, Peer.m_identity, Peer.m_match,
         Member != nullptr && countsForQuorum(*Member),
         m_rolledBackIdentities.count(Peer.m_identity) > 0,
         responds(Node, Peer),
         !Peer.m_identity.empty() && isCaughtUp({Node, Peer.m_identity})});
  }
  return Status;
}

std::vector<Voter> Raft::respondingNodes() const {
  std::vector<Voter> Nodes;
  if (isLeader())
    Nodes.push_back(m_self);
  for (const auto &[Node, Peer] : m_peers)
    if (responds(Node, Peer))
      Nodes.push_back({Node, Peer.m_identity});
  return Nodes;
}

bool Raft::responds(const NodeId &Node, const FollowerProgress &Peer) const {
  // Learners are sent only a part of the rounds.
  std::uint64_t Rounds = voters().find(Node) == nullptr
                             ? 2 * m_options.m_learnerHeartbeatRounds
                             : m_options.m_responseRounds;
  return std::max(Peer.m_ackedRound, Peer.m_firstRound) + Rounds >= m_round;
}

void Raft::advanceCommit() {
  LogIndex Index =
      quorumValue(lastIndex(), [](const auto &Peer) { return Peer.m_match; });
  if (Index <= m_commit)
    return;
  // A later leader can still overwrite an entry of an earlier term that is on a
  // majority, but not an entry of this term.
  if (m_log.termAt(Index) != term() &&
      !isDisabled(DisabledCheck::CommitAnyTerm))
    return;
  commitTo(Index);
  if (m_log.votersIndex() <= m_commit && !voters().contains(m_self)) {
    replicate();
    loseLeadership();
    m_leader = NodeId();
  }
}

// Heartbeat rounds and the leader lease.

void Raft::startHeartbeatRound(Instant Now) {
  ++m_round;
  m_roundTimes.push_back(Now);
  m_nextHeartbeat = Now + m_options.m_heartbeatInterval;
}

void Raft::advanceQuorumRound() {
  std::uint64_t Round =
      quorumValue(m_round, [](const auto &Peer) { return Peer.m_ackedRound; });
  if (Round < m_quorumRound)
    return;
  m_quorumAcknowledged = true;
  m_roundTimes.erase(m_roundTimes.begin(),
                     m_roundTimes.begin() +
                         static_cast<std::ptrdiff_t>(Round - m_quorumRound));
  m_quorumRound = Round;
}

bool Raft::holdsLeaderLease(Instant Now) const {
  bool Transferring =
      !m_transferTo.empty() && !isDisabled(DisabledCheck::LeaseDuringTransfer);
  return isLeader() && !Transferring && m_quorumAcknowledged &&
         m_commit >= m_termStart &&
         Now < m_roundTimes.front() + m_options.m_leaderLease;
}

void Raft::tickLeader(Instant Now, absl::BitGenRef Random) {
  bool MajoritySilent =
      Now >= m_roundTimes.front() + m_options.m_electionTimeoutMin;
  bool TransferOver = !m_transferTo.empty() && Now >= m_transferDeadline;
  // After a TimeoutNow was sent, it may arrive at any time and start an
  // election, so this leader must not regain the lease in this term.
  if (MajoritySilent || (TransferOver && m_transferSent)) {
    if (TransferOver)
      report(RaftEventKind::TransferFailed, {m_transferTo, ""});
    becomeFollower(Now, term(), Random);
    return;
  }
  if (TransferOver) {
    report(RaftEventKind::TransferFailed, {m_transferTo, ""});
    m_transferTo = NodeId();
  }
  if (Now < m_nextHeartbeat)
    return;
  startHeartbeatRound(Now);
  advanceQuorumRound();
  if (!m_transferTo.empty() && m_transferSent)
    sendTimeoutNow();
  for (auto &[Node, Peer] : m_peers)
    Peer.m_heartbeatDue = voters().find(Node) != nullptr ||
                          m_round % m_options.m_learnerHeartbeatRounds == 0;
}

// Leadership transfer.

Result<void, ConsensusError> Raft::transferLeadership(Instant Now,
                                                      const NodeId &To) {
  if (std::optional<ConsensusError> Error = proposalError(Now))
    return *Error;
  const Voter *Target = voters().find(To);
  if (Target == nullptr || To == m_self.m_node || !isCaughtUp(*Target))
    return ConsensusError{
        ConsensusErrorKind::NotCaughtUp,
        fmt::format("{} is no other voter that has caught up", To.str())};
  m_transferTo = To;
  m_transferSent = false;
  m_transferDeadline = Now + m_options.m_electionTimeoutMin;
  continueTransfer();
  return success();
}

void Raft::continueTransfer() {
  if (m_transferTo.empty() || m_transferSent)
    return;
  auto Target = m_peers.find(m_transferTo);
  if (Target == m_peers.end() || Target->second.m_match < lastIndex())
    return;
  m_transferSent = true;
  sendTimeoutNow();
}

void Raft::sendTimeoutNow() {
  RaftMessage Request;
  Request.m_kind = RaftMessageKind::TimeoutNow;
  Request.m_term = term();
  send(std::move(Request), m_transferTo);
}

// Responses from followers.

void Raft::onAppendResponse(Instant Now, const RaftMessage &Response,
                            absl::BitGenRef Random) {
  if (Response.m_term > term()) {
    becomeFollower(Now, Response.m_term, Random);
    return;
  }
  auto Found = m_peers.find(Response.m_from);
  bool Stale = Response.m_term < term() || Response.m_sequence > m_round;
  if (!isLeader() || Stale || Found == m_peers.end())
    return;
  FollowerProgress &Peer = Found->second;
  updateIdentity(Peer, Response);
  Peer.m_ackedRound = std::max(Peer.m_ackedRound, Response.m_sequence);
  bool RolledBack = detectRollback(Peer, Response);
  advanceQuorumRound();
  if (Response.m_accepted)
    updateMatch(Peer, Response);
  else if (!RolledBack)
    handleRejection(Peer, Response);
  continueTransfer();
  advanceCommit();
}

void Raft::updateIdentity(FollowerProgress &Peer, const RaftMessage &Response) {
  if (Peer.m_identity == Response.m_fromIdentity)
    return;
  LogIndex Next = Peer.m_next;
  std::uint64_t FirstRound = Peer.m_firstRound;
  Peer = FollowerProgress();
  Peer.m_firstRound = FirstRound;
  Peer.m_identity = Response.m_fromIdentity;
  Peer.probeFrom(Next);
}

/// Detects a log that is shorter than what its node acknowledged. Delayed
/// responses are excluded by their round: a response to a round that started
/// after the acknowledgement arrived was sent after the acknowledgement. A
/// learner without a data directory restarts with an empty log, which is not a
/// fault.
bool Raft::detectRollback(FollowerProgress &Peer, const RaftMessage &Response) {
  const std::string &Identity = Response.m_fromIdentity;
  bool Shorter = Response.m_sequence > Peer.m_matchRound &&
                 Response.m_lastIndex < Peer.m_match;
  if (!Identity.empty()) {
    const Acknowledged &Known = m_acknowledged[Identity];
    Shorter |= Response.m_sequence > Known.m_round &&
               Response.m_lastIndex < Known.m_index;
    if (Shorter && m_rolledBackIdentities.insert(Identity).second)
      report(RaftEventKind::VoterRolledBack, {Response.m_from, Identity});
  }
  if (!Shorter)
    return false;
  m_acknowledged.erase(Identity);
  Peer.m_match = 0;
  Peer.m_matchRound = m_round;
  Peer.probeFrom(Response.m_lastIndex + 1);
  return true;
}

void Raft::updateMatch(FollowerProgress &Peer, const RaftMessage &Response) {
  LogIndex Index = std::min(Response.m_index, lastIndex());
  if (Index > Peer.m_match) {
    Peer.m_match = Index;
    Peer.m_matchRound = m_round;
  }
  if (!Peer.m_identity.empty()) {
    Acknowledged &Known = m_acknowledged[Peer.m_identity];
    if (Index > Known.m_index)
      Known = {Index, m_round};
  }
  while (!Peer.m_inflight.empty() && Peer.m_inflight.front() <= Index)
    Peer.m_inflight.pop_front();
  Peer.m_next = std::max(Peer.m_next, Peer.m_match + 1);
  bool Matches = Peer.m_mode == ReplicationMode::Probe ||
                 Peer.m_match >= m_log.prefixIndex();
  if (Peer.m_mode != ReplicationMode::Replicate && Matches) {
    Peer.m_mode = ReplicationMode::Replicate;
    Peer.m_next = Peer.m_match + 1;
    Peer.m_inflight.clear();
  }
}

void Raft::handleRejection(FollowerProgress &Peer,
                           const RaftMessage &Response) {
  LogIndex Refused = Response.m_index;
  bool Outdated =
      Refused <= Peer.m_match || Refused >= Peer.m_next ||
      (Peer.m_mode == ReplicationMode::Probe && Refused != Peer.m_next - 1);
  if (Outdated || Peer.m_mode == ReplicationMode::Snapshot)
    return;
  LogIndex Next = Response.m_conflictIndex;
  if (Response.m_conflictTerm != 0) {
    LogIndex Last = m_log.lastWithTermAtMost(Response.m_conflictTerm);
    bool SameTerm = m_log.termAt(Last) == Response.m_conflictTerm;
    Next = SameTerm ? Last + 1 : std::min(Last + 1, Next);
  }
  Peer.probeFrom(std::clamp(Next, Peer.m_match + 1, Refused));
}

// Sending entries and snapshots.

void Raft::replicate() {
  if (!isLeader())
    return;
  for (auto &[Node, Peer] : m_peers)
    replicateTo(Node, Peer);
}

void Raft::replicateTo(const NodeId &To, FollowerProgress &Peer) {
  bool Due = std::exchange(Peer.m_heartbeatDue, false);
  if (Peer.m_mode != ReplicationMode::Snapshot &&
      !m_log.termAt(Peer.m_next - 1)) {
    sendSnapshot(To, Peer);
    return;
  }
  switch (Peer.m_mode) {
  case ReplicationMode::Probe:
    if (!Peer.m_probeSent || Due)
      sendAppend(To, Peer, Peer.m_next - 1, false);
    Peer.m_probeSent = true;
    return;
  case ReplicationMode::Snapshot:
    if (Due &&
        m_round - Peer.m_snapshotRound >= m_options.m_snapshotRetryRounds)
      sendSnapshot(To, Peer);
    else if (Due)
      sendAppend(To, Peer, snapshotIndex(), false);
    return;
  case ReplicationMode::Replicate:
    bool Idle = true;
    while (Peer.m_next <= lastIndex() &&
           Peer.m_inflight.size() < m_options.m_maxInflightMessages) {
      sendAppend(To, Peer, Peer.m_next - 1, true);
      Idle = false;
    }
    if (Idle && (Due || Peer.m_sentCommit < m_commit))
      sendAppend(To, Peer, Peer.m_next - 1, false);
    return;
  }
}

void Raft::sendAppend(const NodeId &To, FollowerProgress &Peer,
                      LogIndex Previous, bool WithEntries) {
  RaftMessage Request;
  Request.m_kind = RaftMessageKind::AppendRequest;
  Request.m_term = term();
  Request.m_sequence = m_round;
  Request.m_index = Previous;
  Request.m_logTerm = *m_log.termAt(Previous);
  Request.m_commit = m_commit;
  Peer.m_sentCommit = m_commit;
  if (m_rolledBackIdentities.count(Peer.m_identity) > 0)
    Request.m_revokedIdentity = Peer.m_identity;
  if (WithEntries) {
    Request.m_entries =
        m_log.slice(Previous + 1, m_options.m_maxEntriesPerMessage,
                    m_options.m_maxBytesPerMessage);
    Peer.m_next = Request.m_entries.back().m_index + 1;
    Peer.m_inflight.push_back(Peer.m_next - 1);
  }
  send(std::move(Request), To);
}

void Raft::sendSnapshot(const NodeId &To, FollowerProgress &Peer) {
  Peer.m_mode = ReplicationMode::Snapshot;
  Peer.m_snapshotRound = m_round;
  Peer.m_inflight.clear();
  RaftMessage Request;
  Request.m_kind = RaftMessageKind::SnapshotRequest;
  Request.m_term = term();
  Request.m_sequence = m_round;
  Request.m_snapshot = m_log.snapshot();
  send(std::move(Request), To);
}

} // namespace turmericdyke
