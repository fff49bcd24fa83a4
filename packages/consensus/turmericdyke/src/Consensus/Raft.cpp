#include "turmericdyke/src/Consensus/Raft.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace turmericdyke {

Raft::Raft(RaftOptions Options, PersistentState State, Instant Now,
           absl::BitGenRef Random)
    : m_options(std::move(Options)), m_self{m_options.m_node,
                                            std::move(State.m_identity)},
      m_log(std::move(State.m_snapshot), std::move(State.m_entries)),
      m_hardState(std::move(State.m_hardState)),
      m_commit(m_log.snapshot().m_index),
      m_noVoteBefore(Now + m_options.m_electionTimeoutMin),
      m_firstPendingEntry(m_log.lastIndex() + 1), m_applied(m_commit) {
  assert(!m_self.m_node.empty() && "the node name must not be empty");
  assert(m_options.m_leaderLease < m_options.m_electionTimeoutMin &&
         m_options.m_electionTimeoutMin < m_options.m_electionTimeoutMax &&
         "the lease must end before a follower may vote for another candidate");
  resetElectionDeadline(Now, Random);
}

void Raft::step(Instant Now, const RaftMessage &Message,
                absl::BitGenRef Random) {
  static constexpr Handler Handlers[] = {
      &Raft::onPreVoteRequest,  &Raft::onPreVoteResponse,
      &Raft::onVoteRequest,     &Raft::onVoteResponse,
      &Raft::onAppendRequest,   &Raft::onAppendResponse,
      &Raft::onSnapshotRequest, &Raft::onTimeoutNow};
  auto Kind = static_cast<std::size_t>(Message.m_kind);
  bool Misdirected =
      Message.m_to != m_self.m_node || Message.m_from == m_self.m_node;
  if (m_failed || Misdirected || Kind >= std::size(Handlers))
    return;
  Handler Chosen = Handlers[Kind];
  (this->*Chosen)(Now, Message, Random);
}

void Raft::tick(Instant Now, absl::BitGenRef Random) {
  if (m_failed)
    return;
  if (isLeader())
    tickLeader(Now, Random);
  else if (Now >= m_electionDeadline && mayLead())
    startPreVote(Now, Random);
}

Snapshot Raft::makeSnapshot(LogIndex Applied, std::string Data) const {
  assert(Applied <= m_applied && "a snapshot may only contain applied entries");
  std::optional<Term> At = m_log.termAt(Applied);
  assert(At && Applied >= m_log.snapshot().m_index &&
         "a snapshot must not be older than the previous one");
  return {Applied, *At, m_log.votersAt(Applied), std::move(Data)};
}

void Raft::compact(Snapshot State) {
  if (State.m_index <= m_log.snapshot().m_index)
    return;
  m_log.compact(std::move(State), m_options.m_retainedEntries,
                m_options.m_retainedBytes);
}

RaftActions Raft::takeActions() {
  if (!m_failed)
    replicate();
  if (m_firstPendingEntry <= m_log.lastIndex()) {
    // A truncation is always followed by an append, so the index of the first
    // entry also tells the caller where to truncate.
    for (LogIndex Index = m_firstPendingEntry; Index <= m_log.lastIndex();
         ++Index)
      m_actions.m_entries.push_back(m_log.at(Index));
    m_firstPendingEntry = m_log.lastIndex() + 1;
  }
  for (; m_applied < m_commit; ++m_applied)
    m_actions.m_committed.push_back(m_log.at(m_applied + 1));
  return std::exchange(m_actions, {});
}

void Raft::storageFailed() {
  if (m_failed)
    return;
  m_failed = true;
  m_actions = {};
  m_firstPendingEntry = m_log.lastIndex() + 1;
  m_applied = m_commit;
  if (isLeader())
    loseLeadership();
  m_role = RaftRole::Follower;
  m_leader = NodeId();
}

bool Raft::isVoter() const {
  return !m_failed && !m_hardState.m_identityRevoked &&
         m_log.voters().contains(m_self);
}

void Raft::send(RaftMessage Message, const NodeId &To) {
  Message.m_from = m_self.m_node;
  Message.m_fromIdentity = m_self.m_identity;
  Message.m_to = To;
  m_actions.m_messages.push_back(std::move(Message));
}

void Raft::report(RaftEventKind Kind, Voter Subject, VoterSet Committed) {
  m_actions.m_events.push_back(
      {Kind, std::move(Subject), std::move(Committed)});
}

} // namespace turmericdyke
