#include <algorithm>
#include <cassert>
#include <utility>

#include "turmericdyke/src/Consensus/Raft.h"

namespace turmericdyke {

/// Accepts the sender as the leader of its term. False if the term is outdated
/// or this node is the leader of that term.
bool Raft::followLeader(Instant Now, const RaftMessage &Request,
                        absl::BitGenRef Random) {
  if (Request.m_term < term()) {
    answerAppend(Request, false, Request.m_index);
    return false;
  }
  if (Request.m_term == term() && isLeader())
    return false;
  if (Request.m_term > term() || m_role != RaftRole::Follower)
    becomeFollower(Now, Request.m_term, Random);
  m_leader = Request.m_from;
  m_lastLeaderContact = Now;
  resetElectionDeadline(Now, Random);
  return true;
}

void Raft::revokeOwnIdentity() {
  if (m_hardState.m_identityRevoked)
    return;
  m_hardState.m_identityRevoked = true;
  m_actions.m_hardState = m_hardState;
  report(RaftEventKind::IdentityRevoked, m_self);
}

void Raft::onAppendRequest(Instant Now, const RaftMessage &Request,
                           absl::BitGenRef Random) {
  if (!followLeader(Now, Request, Random))
    return;
  if (!m_self.m_identity.empty() &&
      Request.m_revokedIdentity == m_self.m_identity)
    revokeOwnIdentity();
  // Every later leader has the committed entries, so they match.
  if (Request.m_index < m_commit) {
    answerAppend(Request, true, m_commit);
    return;
  }
  if (m_log.termAt(Request.m_index) != Request.m_logTerm) {
    rejectAppend(Request);
    return;
  }
  if (!appendEntries(Request))
    return;
  LogIndex Matched = Request.m_index + Request.m_entries.size();
  commitTo(std::min(Request.m_commit, Matched));
  answerAppend(Request, true, Matched);
}

/// Appends the new entries after truncating a conflicting suffix. False if the
/// message is malformed or conflicts with committed entries.
bool Raft::appendEntries(const RaftMessage &Request) {
  LogIndex Expected = Request.m_index;
  for (const LogEntry &Entry : Request.m_entries)
    if (Entry.m_index != ++Expected)
      return false;
  for (const LogEntry &Entry : Request.m_entries) {
    std::optional<Term> Present = m_log.termAt(Entry.m_index);
    if (Present == Entry.m_term)
      continue;
    if (Present && Entry.m_index <= m_commit) {
      report(RaftEventKind::CommittedConflict,
             {Request.m_from, Request.m_fromIdentity});
      return false;
    }
    if (Present) {
      m_log.truncateFrom(Entry.m_index);
      m_firstPendingEntry = std::min(m_firstPendingEntry, Entry.m_index);
    }
    m_log.append(Entry);
  }
  return true;
}

void Raft::commitTo(LogIndex Index) {
  if (Index <= m_commit)
    return;
  for (LogIndex At = m_commit + 1; At <= Index; ++At)
    if (m_log.at(At).m_kind == EntryKind::Voters)
      report(RaftEventKind::VotersCommitted, m_self, m_log.at(At).m_voters);
  m_commit = Index;
}

void Raft::answerAppend(const RaftMessage &Request, bool Accepted,
                        LogIndex Index) {
  RaftMessage Response;
  Response.m_kind = RaftMessageKind::AppendResponse;
  Response.m_term = term();
  Response.m_sequence = Request.m_sequence;
  Response.m_accepted = Accepted;
  Response.m_index = Index;
  Response.m_lastIndex = lastIndex();
  send(std::move(Response), Request.m_from);
}

/// Reports the first index of the conflicting term, so that the leader skips a
/// whole term per round trip.
void Raft::rejectAppend(const RaftMessage &Request) {
  RaftMessage Response;
  Response.m_kind = RaftMessageKind::AppendResponse;
  Response.m_term = term();
  Response.m_sequence = Request.m_sequence;
  Response.m_index = Request.m_index;
  Response.m_lastIndex = lastIndex();
  Response.m_conflictIndex = std::min(Request.m_index, lastIndex() + 1);
  if (Request.m_index <= lastIndex() && Request.m_index > m_log.prefixIndex()) {
    Response.m_conflictTerm = m_log.at(Request.m_index).m_term;
    Response.m_conflictIndex = m_log.firstOfTermAt(Request.m_index);
  }
  send(std::move(Response), Request.m_from);
}

void Raft::onSnapshotRequest(Instant Now, const RaftMessage &Request,
                             absl::BitGenRef Random) {
  if (!followLeader(Now, Request, Random) || !Request.m_snapshot)
    return;
  const Snapshot &State = *Request.m_snapshot;
  if (State.m_index > m_commit)
    installSnapshot(State);
  answerAppend(Request, true, std::max(State.m_index, m_commit));
}

void Raft::installSnapshot(const Snapshot &State) {
  if (m_log.termAt(State.m_index) == State.m_term) {
    commitTo(State.m_index);
    return;
  }
  m_log.reset(State);
  m_commit = State.m_index;
  m_applied = State.m_index;
  m_firstPendingEntry = State.m_index + 1;
  m_actions.m_snapshot = State;
  m_actions.m_committed.clear();
  m_actions.m_entries.clear();
}

} // namespace turmericdyke
