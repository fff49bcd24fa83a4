#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/random/bit_gen_ref.h"
#include "absl/types/span.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Consensus/ConsensusError.h"
#include "turmericdyke/src/Consensus/FollowerProgress.h"
#include "turmericdyke/src/Consensus/RaftActions.h"
#include "turmericdyke/src/Consensus/RaftLog.h"
#include "turmericdyke/src/Consensus/RaftMessage.h"
#include "turmericdyke/src/Consensus/RaftOptions.h"
#include "turmericdyke/src/Consensus/RaftState.h"

namespace turmericdyke {

enum class RaftRole { Follower, PreCandidate, Candidate, Leader };

/// Replication status of another node as seen by the leader, for status pages
/// and for decisions about voter changes.
struct PeerStatus {
  NodeId m_node;
  /// Identity in its last response; empty for a learner without a data
  /// directory and before the first response.
  std::string m_identity;
  LogIndex m_matchIndex = 0;
  /// Whether its acknowledgements count towards a majority.
  bool m_countsForQuorum = false;
  bool m_rolledBack = false;
  /// Whether it acknowledged one of the last rounds of heartbeats, or was sent
  /// too few of them to tell.
  bool m_responds = false;
  /// Whether it may become a voter.
  bool m_caughtUp = false;
};

/// The replicated log: Raft with pre-vote, leader lease, learners, snapshots,
/// leadership transfer and membership changes of one voter at a time. A
/// deterministic state machine without I/O: after each call the caller takes
/// the actions and performs them in the order given by `RaftActions` before the
/// next call. The results of queries are valid once the actions are performed.
///
/// Every `Now` must be read after the event it belongs to (message arrival or
/// timer) and must never decrease. With an earlier time this node could vote
/// for another candidate while the current leader still relies on its lease.
class Raft {
public:
  Raft(RaftOptions Options, PersistentState State, Instant Now,
       absl::BitGenRef Random);

  /// Handles a message. Messages may be lost, duplicated, reordered or delayed.
  void step(Instant Now, const RaftMessage &Message, absl::BitGenRef Random);
  /// Handles timeouts. Call at least every 20 ms.
  void tick(Instant Now, absl::BitGenRef Random);

  /// Appends a command and returns its index. The command is accepted once an
  /// entry with this index and the current term is committed.
  Result<LogIndex, ConsensusError> propose(Instant Now, std::string Command);
  /// Appends a voter set that differs from the current one by one voter. An
  /// added voter must have caught up as a learner with the same identity.
  Result<LogIndex, ConsensusError> changeVoters(Instant Now, VoterSet Voters);
  /// Gives up the lease and transfers leadership to a voter. Reports
  /// `LeadershipLost`, or `TransferFailed` after the minimum election timeout.
  Result<void, ConsensusError> transferLeadership(Instant Now,
                                                  const NodeId &To);
  /// Sets the nodes that receive the log without a vote. Voters among them are
  /// ignored. Takes effect while this node is the leader.
  void setLearners(absl::Span<const NodeId> Learners);

  /// Adds the term and voter set to a snapshot of the state machine at an
  /// applied index. Write the result to storage, then pass it to `compact`.
  Snapshot makeSnapshot(LogIndex Applied, std::string Data) const;
  /// Discards the entries that a durable snapshot replaces.
  void compact(Snapshot State);

  /// Takes the actions that were queued since the last call.
  RaftActions takeActions();
  /// Reports that a write or sync failed. This node neither votes nor leads nor
  /// responds until the process is restarted.
  void storageFailed();

  RaftRole role() const { return m_role; }
  bool isLeader() const { return m_role == RaftRole::Leader; }
  /// Whether no other node can be the leader at `Now` and an entry of this term
  /// is committed, so that `commitIndex` covers all acknowledged commands.
  bool holdsLeaderLease(Instant Now) const;
  /// The leader of the current term; empty if unknown.
  const NodeId &leader() const { return m_leader; }
  Term term() const { return m_hardState.m_term; }
  LogIndex commitIndex() const { return m_commit; }
  /// Index of the first entry of the term that this node leads. All entries
  /// before it were accepted by earlier leaders.
  LogIndex termStart() const { return m_termStart; }
  LogIndex lastIndex() const { return m_log.lastIndex(); }
  LogIndex snapshotIndex() const { return m_log.snapshot().m_index; }
  std::optional<Term> termAt(LogIndex Index) const {
    return m_log.termAt(Index);
  }
  /// The latest voter set in the log, committed or not.
  const VoterSet &voters() const { return m_log.voters(); }
  /// Whether this node, with its own identity, is a voter and may act as one.
  bool isVoter() const;
  bool hasFailed() const { return m_failed; }
  /// Empty unless this node is the leader.
  std::vector<PeerStatus> peers() const;
  /// This node and the nodes that respond to it, with their identities. Empty
  /// unless this node is the leader.
  std::vector<Voter> respondingNodes() const;

private:
  struct Acknowledged {
    LogIndex m_index = 0;
    std::uint64_t m_round = 0;
  };
  using Handler = void (Raft::*)(Instant, const RaftMessage &, absl::BitGenRef);

  // Election, in RaftElection.cpp.
  void onPreVoteRequest(Instant, const RaftMessage &, absl::BitGenRef);
  void onPreVoteResponse(Instant, const RaftMessage &, absl::BitGenRef);
  void onVoteRequest(Instant, const RaftMessage &, absl::BitGenRef);
  void onVoteResponse(Instant, const RaftMessage &, absl::BitGenRef);
  void onTimeoutNow(Instant, const RaftMessage &, absl::BitGenRef);
  bool mayLead() const;
  bool mayVoteFor(Instant Now, const RaftMessage &Request) const;
  bool hasRecentLeaderContact(Instant Now) const;
  bool logIsUpToDate(const RaftMessage &Request) const;
  void startPreVote(Instant Now, absl::BitGenRef Random);
  void startElection(Instant Now, bool Transfer, absl::BitGenRef Random);
  void requestVotes(RaftMessageKind Kind, Term Wanted, bool Transfer);
  bool countVote(const RaftMessage &Response);
  void becomeFollower(Instant Now, Term NewTerm, absl::BitGenRef Random);
  void becomeLeader(Instant Now);
  void loseLeadership();
  void setTerm(Term NewTerm, Voter Vote);
  void resetElectionDeadline(Instant Now, absl::BitGenRef Random);

  // Follower side, in RaftFollower.cpp.
  void onAppendRequest(Instant, const RaftMessage &, absl::BitGenRef);
  void onSnapshotRequest(Instant, const RaftMessage &, absl::BitGenRef);
  bool followLeader(Instant Now, const RaftMessage &Request,
                    absl::BitGenRef Random);
  void revokeOwnIdentity();
  bool appendEntries(const RaftMessage &Request);
  void installSnapshot(const Snapshot &State);
  void answerAppend(const RaftMessage &Request, bool Accepted, LogIndex Index);
  void rejectAppend(const RaftMessage &Request);
  void commitTo(LogIndex Index);

  // Leader side, in RaftLeader.cpp.
  void onAppendResponse(Instant, const RaftMessage &, absl::BitGenRef);
  void updateIdentity(internal::FollowerProgress &Peer,
                      const RaftMessage &Response);
  bool detectRollback(internal::FollowerProgress &Peer,
                      const RaftMessage &Response);
  void updateMatch(internal::FollowerProgress &Peer,
                   const RaftMessage &Response);
  void handleRejection(internal::FollowerProgress &Peer,
                       const RaftMessage &Response);
  void advanceCommit();
  void advanceQuorumRound();
  bool countsForQuorum(const Voter &Member) const;
  bool responds(const NodeId &Node,
                const internal::FollowerProgress &Peer) const;
  std::uint64_t quorumValue(
      std::uint64_t Own,
      const std::function<std::uint64_t(const internal::FollowerProgress &)>
          &Value) const;
  void tickLeader(Instant Now, absl::BitGenRef Random);
  void startHeartbeatRound(Instant Now);
  void continueTransfer();
  void sendTimeoutNow();
  void refreshPeers();
  LogIndex appendEntry(EntryKind Kind, std::string Command, VoterSet Voters);
  std::optional<ConsensusError> proposalError(Instant Now) const;
  std::optional<ConsensusError> voterChangeError(const VoterSet &Voters) const;
  bool isCaughtUp(const Voter &Member) const;
  void replicate();
  void replicateTo(const NodeId &To, internal::FollowerProgress &Peer);
  void sendAppend(const NodeId &To, internal::FollowerProgress &Peer,
                  LogIndex Previous, bool WithEntries);
  void sendSnapshot(const NodeId &To, internal::FollowerProgress &Peer);

  // Shared by all roles, in Raft.cpp.
  void send(RaftMessage Message, const NodeId &To);
  void report(RaftEventKind Kind, Voter Subject, VoterSet Committed = {});
  bool isDisabled(DisabledCheck Guard) const {
    return m_options.m_disabledCheck == Guard;
  }

  const RaftOptions m_options;
  const Voter m_self;
  internal::RaftLog m_log;
  HardState m_hardState;
  RaftRole m_role = RaftRole::Follower;
  NodeId m_leader;
  LogIndex m_commit = 0;
  bool m_failed = false;
  std::set<NodeId> m_learners;

  /// No vote is granted before this time: before a restart, this voter may have
  /// acknowledged a leader that still relies on its lease.
  Instant m_noVoteBefore;
  Instant m_lastLeaderContact = absl::InfinitePast();
  Instant m_electionDeadline;
  std::uint64_t m_candidacy = 0;
  std::set<NodeId> m_votes;

  // Leader only.
  std::map<NodeId, internal::FollowerProgress> m_peers;
  LogIndex m_termStart = 0;
  Instant m_nextHeartbeat;
  std::uint64_t m_round = 0;
  /// Send times of the heartbeat rounds from `m_quorumRound` to `m_round`.
  std::deque<Instant> m_roundTimes;
  std::uint64_t m_quorumRound = 0;
  /// Whether a majority acknowledged `m_quorumRound` in this term.
  bool m_quorumAcknowledged = false;
  /// Target of a leadership transfer; empty if there is none.
  NodeId m_transferTo;
  bool m_transferSent = false;
  Instant m_transferDeadline;
  /// Highest index that each identity acknowledged to this leader. When
  /// leadership is lost, it is reduced to the committed part, which no later
  /// leader can truncate.
  std::map<std::string, Acknowledged> m_acknowledged;
  std::set<std::string> m_rolledBackIdentities;

  // Actions not yet taken by the caller.
  RaftActions m_actions;
  LogIndex m_firstPendingEntry = 0;
  LogIndex m_applied = 0;
};

} // namespace turmericdyke
