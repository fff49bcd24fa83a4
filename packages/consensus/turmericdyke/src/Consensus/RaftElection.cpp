#include <algorithm>
#include <cassert>
#include <utility>

#include "absl/random/distributions.h"
#include "turmericdyke/src/Consensus/Raft.h"

namespace turmericdyke {

/// A node whose removal is not committed may still be the only one with the
/// latest entries. Until the removal is committed it may be the leader, without
/// counting itself towards the majority.
bool Raft::mayLead() const {
  if (isVoter())
    return true;
  LogIndex Changed = m_log.votersIndex();
  return !m_failed && !m_hardState.m_identityRevoked && Changed > m_commit &&
         Changed > 0 && m_log.votersAt(Changed - 1).contains(m_self);
}

void Raft::startPreVote(Instant Now, absl::BitGenRef Random) {
  m_role = RaftRole::PreCandidate;
  m_leader = NodeId();
  resetElectionDeadline(Now, Random);
  requestVotes(RaftMessageKind::PreVoteRequest, term() + 1, false);
  if (m_votes.size() >= voters().majority())
    startElection(Now, false, Random);
}

void Raft::startElection(Instant Now, bool Transfer, absl::BitGenRef Random) {
  m_role = RaftRole::Candidate;
  m_leader = NodeId();
  setTerm(term() + 1, m_self);
  resetElectionDeadline(Now, Random);
  requestVotes(RaftMessageKind::VoteRequest, term(), Transfer);
  if (m_votes.size() >= voters().majority())
    becomeLeader(Now);
}

void Raft::requestVotes(RaftMessageKind Kind, Term Wanted, bool Transfer) {
  ++m_candidacy;
  m_votes.clear();
  if (voters().contains(m_self))
    m_votes.insert(m_self.m_node);
  RaftMessage Request;
  Request.m_kind = Kind;
  Request.m_term = Wanted;
  Request.m_sequence = m_candidacy;
  Request.m_index = lastIndex();
  Request.m_logTerm = m_log.lastTerm();
  Request.m_transfer = Transfer;
  for (const Voter &Member : voters().m_voters)
    if (Member != m_self)
      send(Request, Member.m_node);
}

bool Raft::hasRecentLeaderContact(Instant Now) const {
  if (isDisabled(DisabledCheck::VoteWithinLeaderContact))
    return false;
  return isLeader() ||
         Now < m_lastLeaderContact + m_options.m_electionTimeoutMin;
}

/// Whether this node may vote for the candidate at all. If not, it does not
/// respond, so that a node that cannot win does not raise the term of others.
bool Raft::mayVoteFor(Instant Now, const RaftMessage &Request) const {
  if (m_self.m_identity.empty() || m_hardState.m_identityRevoked)
    return false;
  // The leader gave up its lease before it requested this election, and does
  // not regain it in the same term.
  if (Request.m_transfer)
    return true;
  bool RecentlyRestarted =
      Now < m_noVoteBefore && !isDisabled(DisabledCheck::VoteAfterRestart);
  return !RecentlyRestarted && !hasRecentLeaderContact(Now);
}

bool Raft::logIsUpToDate(const RaftMessage &Request) const {
  return Request.m_logTerm > m_log.lastTerm() ||
         (Request.m_logTerm == m_log.lastTerm() &&
          Request.m_index >= lastIndex());
}

void Raft::onPreVoteRequest(Instant Now, const RaftMessage &Request,
                            absl::BitGenRef) {
  if (!mayVoteFor(Now, Request))
    return;
  RaftMessage Response;
  Response.m_kind = RaftMessageKind::PreVoteResponse;
  Response.m_sequence = Request.m_sequence;
  Response.m_accepted = Request.m_term > term() && logIsUpToDate(Request);
  Response.m_term = Response.m_accepted ? Request.m_term : term();
  send(std::move(Response), Request.m_from);
}

void Raft::onVoteRequest(Instant Now, const RaftMessage &Request,
                         absl::BitGenRef Random) {
  bool Stale = Request.m_term < term();
  if (!Stale && !mayVoteFor(Now, Request))
    return;
  if (Request.m_term > term())
    becomeFollower(Now, Request.m_term, Random);
  Voter Candidate{Request.m_from, Request.m_fromIdentity};
  bool Free =
      m_hardState.m_vote.m_node.empty() || m_hardState.m_vote == Candidate;
  RaftMessage Response;
  Response.m_kind = RaftMessageKind::VoteResponse;
  Response.m_sequence = Request.m_sequence;
  Response.m_term = term();
  Response.m_accepted = !Stale && Free && logIsUpToDate(Request);
  if (Response.m_accepted) {
    m_role = RaftRole::Follower;
    setTerm(term(), Candidate);
    resetElectionDeadline(Now, Random);
  }
  send(std::move(Response), Request.m_from);
}

bool Raft::countVote(const RaftMessage &Response) {
  const Voter *Member = voters().find(Response.m_from);
  if (Member == nullptr || Response.m_sequence != m_candidacy)
    return false;
  if (Member->m_identity != Response.m_fromIdentity &&
      !isDisabled(DisabledCheck::IgnoreIdentity))
    return false;
  m_votes.insert(Response.m_from);
  return m_votes.size() >= voters().majority();
}

void Raft::onPreVoteResponse(Instant Now, const RaftMessage &Response,
                             absl::BitGenRef Random) {
  if (!Response.m_accepted && Response.m_term > term())
    becomeFollower(Now, Response.m_term, Random);
  else if (m_role == RaftRole::PreCandidate && Response.m_accepted &&
           Response.m_term == term() + 1 && countVote(Response))
    startElection(Now, false, Random);
}

void Raft::onVoteResponse(Instant Now, const RaftMessage &Response,
                          absl::BitGenRef Random) {
  if (Response.m_term > term())
    becomeFollower(Now, Response.m_term, Random);
  else if (m_role == RaftRole::Candidate && Response.m_accepted &&
           Response.m_term == term() && countVote(Response))
    becomeLeader(Now);
}

void Raft::onTimeoutNow(Instant Now, const RaftMessage &Request,
                        absl::BitGenRef Random) {
  if (Request.m_term == term() && !isLeader() && mayLead())
    startElection(Now, true, Random);
}

void Raft::becomeFollower(Instant Now, Term NewTerm, absl::BitGenRef Random) {
  assert(NewTerm >= term() && "the term must not decrease");
  if (isLeader()) {
    loseLeadership();
    resetElectionDeadline(Now, Random);
  }
  m_role = RaftRole::Follower;
  m_leader = NodeId();
  if (NewTerm > term())
    setTerm(NewTerm, Voter());
}

void Raft::becomeLeader(Instant Now) {
  m_role = RaftRole::Leader;
  m_leader = m_self.m_node;
  m_termStart = lastIndex() + 1;
  m_peers.clear();
  m_quorumAcknowledged = false;
  m_roundTimes.clear();
  startHeartbeatRound(Now);
  m_quorumRound = m_round;
  refreshPeers();
  report(RaftEventKind::LeadershipGained, m_self);
  appendEntry(EntryKind::NoOp, "", {});
  advanceQuorumRound();
  advanceCommit();
}

void Raft::loseLeadership() {
  m_transferTo = NodeId();
  m_role = RaftRole::Follower;
  m_peers.clear();
  for (auto &[Identity, Known] : m_acknowledged)
    Known.m_index = std::min(Known.m_index, m_commit);
  report(RaftEventKind::LeadershipLost, m_self);
}

void Raft::setTerm(Term NewTerm, Voter Vote) {
  m_hardState.m_term = NewTerm;
  m_hardState.m_vote = std::move(Vote);
  m_actions.m_hardState = m_hardState;
}

void Raft::resetElectionDeadline(Instant Now, absl::BitGenRef Random) {
  double Seconds = absl::Uniform(
      Random, absl::ToDoubleSeconds(m_options.m_electionTimeoutMin),
      absl::ToDoubleSeconds(m_options.m_electionTimeoutMax));
  m_electionDeadline = Now + absl::Seconds(Seconds);
}

} // namespace turmericdyke
