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

/// What a leader knows of another node, for status pages and for the decision
/// to change voters.
struct PeerStatus {
  NodeId m_node;
  /// Identity it last answered with; empty for a learner without data
  /// directory and before the first answer.
  std::string m_identity;
  LogIndex m_matchIndex = 0;
  /// Its acknowledgements count towards a majority.
  bool m_counted = false;
  bool m_rolledBack = false;
};

/// The replicated log: Raft with pre-vote, leader lease, learners, snapshots,
/// leadership transfer and changes of one voter at a time. A pure state
/// machine: after each call the caller takes the actions and performs them in
/// the order that `RaftActions` states before it calls again. Queries hold once
/// the actions are performed.
///
/// Every `Now` is read after the event it belongs to (the arrival of the
/// message, the timer) and never decreases. An earlier reading would let a
/// promise to a leader end early.
class Raft {
public:
  Raft(RaftOptions Options, PersistentState State, Instant Now,
       absl::BitGenRef Random);

  /// Handles a message. Messages may be lost, repeated, reordered and late.
  void step(Instant Now, const RaftMessage &Message, absl::BitGenRef Random);
  /// Handles the passing of time. Call at least every 20 ms.
  void tick(Instant Now, absl::BitGenRef Random);

  /// Appends a command and returns its index. The command is accepted once an
  /// entry with this index and the present term is committed.
  Result<LogIndex, ConsensusError> propose(Instant Now, std::string Command);
  /// Appends a voter set that differs from the present one by one voter. A
  /// voter that is added must have caught up as a learner under its identity.
  Result<LogIndex, ConsensusError> changeVoters(Instant Now, VoterSet Voters);
  /// Gives up the lease and hands leadership to a voter. Ends in
  /// `LeadershipLost`, or in `TransferFailed` after the least election timeout.
  Result<void, ConsensusError> transferLeadership(Instant Now,
                                                  const NodeId &To);
  /// The nodes that receive the log without a vote. Voters among them are
  /// ignored. Takes effect while this node leads.
  void setLearners(absl::Span<const NodeId> Learners);

  /// A snapshot of the state machine at an applied index, completed with term
  /// and voter set. Write it to storage, then pass it to `compact`.
  Snapshot makeSnapshot(LogIndex Applied, std::string Data) const;
  /// Drops the entries that a durable snapshot replaces.
  void compact(Snapshot State);

  /// Takes what is to be done since the last call.
  RaftActions takeActions();
  /// The caller could not write or sync. This node neither votes nor leads nor
  /// answers until the process is restarted.
  void storageFailed();

  RaftRole role() const { return m_role; }
  bool isLeader() const { return m_role == RaftRole::Leader; }
  /// Whether no other node can lead at `Now` and an entry of this term is
  /// committed, so that `commitIndex` covers everything acknowledged before.
  bool holdsLeaderLease(Instant Now) const;
  /// The leader of the present term; empty if unknown.
  const NodeId &leader() const { return m_leader; }
  Term term() const { return m_hardState.m_term; }
  LogIndex commitIndex() const { return m_commit; }
  LogIndex lastIndex() const { return m_log.lastIndex(); }
  LogIndex snapshotIndex() const { return m_log.snapshot().m_index; }
  std::optional<Term> termAt(LogIndex Index) const {
    return m_log.termAt(Index);
  }
  /// The newest voter set in the log, committed or not.
  const VoterSet &voters() const { return m_log.voters(); }
  /// Whether this node is a voter under its own identity and may act as one.
  bool isVoter() const;
  bool hasFailed() const { return m_failed; }
  /// Empty unless this node leads.
  std::vector<PeerStatus> peers() const;

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
  bool maySupport(Instant Now, const RaftMessage &Request) const;
  bool promisedToLeader(Instant Now) const;
  bool logIsUpToDate(const RaftMessage &Request) const;
  void startPreVote(Instant Now, absl::BitGenRef Random);
  void startElection(Instant Now, bool Transfer, absl::BitGenRef Random);
  void requestVotes(RaftMessageKind Kind, Term Wanted, bool Transfer);
  bool countVote(const RaftMessage &Response);
  void becomeFollower(Instant Now, Term Seen, absl::BitGenRef Random);
  void becomeLeader(Instant Now);
  void loseLeadership();
  void setTerm(Term Seen, Voter Vote);
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
  void refuseAppend(const RaftMessage &Request);
  void commitTo(LogIndex Index);

  // Leader side, in RaftLeader.cpp.
  void onAppendResponse(Instant, const RaftMessage &, absl::BitGenRef);
  void noteIdentity(internal::FollowerProgress &Peer,
                    const RaftMessage &Response);
  bool noteRollback(internal::FollowerProgress &Peer,
                    const RaftMessage &Response);
  void noteMatch(internal::FollowerProgress &Peer, const RaftMessage &Response);
  void backUp(internal::FollowerProgress &Peer, const RaftMessage &Response);
  void advanceCommit();
  void advanceQuorumRound();
  bool counted(const Voter &Member) const;
  std::uint64_t quorumValue(
      std::uint64_t Own,
      const std::function<std::uint64_t(const internal::FollowerProgress &)>
          &Value) const;
  void tickLeader(Instant Now, absl::BitGenRef Random);
  void startRound(Instant Now);
  void continueTransfer();
  void sendTimeoutNow();
  void refreshPeers();
  LogIndex appendOwn(EntryKind Kind, std::string Command, VoterSet Voters);
  std::optional<ConsensusError> refusal(Instant Now) const;
  std::optional<ConsensusError> refusal(const VoterSet &Voters) const;
  bool caughtUp(const Voter &Member) const;
  void replicate();
  void replicateTo(const NodeId &To, internal::FollowerProgress &Peer);
  void sendAppend(const NodeId &To, internal::FollowerProgress &Peer,
                  LogIndex Previous, bool WithEntries);
  void sendSnapshot(const NodeId &To, internal::FollowerProgress &Peer);

  // Common, in Raft.cpp.
  void send(RaftMessage Message, const NodeId &To);
  void report(RaftEventKind Kind, Voter Subject);
  bool broken(BrokenGuard Guard) const {
    return m_options.m_brokenGuard == Guard;
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

  /// Before this instant no vote is granted: an earlier process of this voter
  /// may have promised its support to a leader.
  Instant m_restartWaitEnd;
  Instant m_lastLeaderContact = absl::InfinitePast();
  Instant m_electionDeadline;
  std::uint64_t m_candidacy = 0;
  std::set<NodeId> m_votes;

  // Leader only.
  std::map<NodeId, internal::FollowerProgress> m_peers;
  LogIndex m_termStart = 0;
  Instant m_nextHeartbeat;
  std::uint64_t m_round = 0;
  /// Send times of the rounds from `m_quorumRound` to `m_round`.
  std::deque<Instant> m_roundTimes;
  std::uint64_t m_quorumRound = 0;
  /// Whether `m_quorumRound` was acknowledged in this term.
  bool m_quorumSeen = false;
  /// Target of a leadership transfer; empty if there is none.
  NodeId m_transferTo;
  bool m_transferSent = false;
  Instant m_transferDeadline;
  /// Highest index each identity acknowledged to this leader. Between terms
  /// only the committed part is kept, which no leader can truncate.
  std::map<std::string, Acknowledged> m_acknowledged;
  std::set<std::string> m_rolledBack;

  // Not yet taken by the caller.
  RaftActions m_actions;
  LogIndex m_firstUntaken = 0;
  LogIndex m_applied = 0;
};

} // namespace turmericdyke
