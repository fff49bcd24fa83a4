#pragma once

#include <optional>
#include <vector>

#include "turmericdyke/src/Consensus/RaftMessage.h"
#include "turmericdyke/src/Consensus/RaftState.h"

namespace turmericdyke {

enum class RaftEventKind {
  LeadershipGained,
  LeadershipLost,
  /// Leader: the log of this voter is shorter than what the voter acknowledged.
  /// It no longer counts towards quorums; an operator must replace its data
  /// directory.
  VoterRolledBack,
  /// A leader revoked the identity of this node.
  IdentityRevoked,
  /// A voter set was committed.
  VotersCommitted,
  /// A leadership transfer timed out.
  TransferFailed,
  /// A leader's log conflicts with entries that are committed on this node. The
  /// message was dropped. The cluster is no longer safe, for example because
  /// old data directories were restored.
  CommittedConflict,
};

/// An event that the caller logs or handles. `m_voter` is the affected voter.
struct RaftEvent {
  RaftEventKind m_kind = RaftEventKind::LeadershipGained;
  Voter m_voter;
  /// Only for `VotersCommitted`: the set that was committed.
  VoterSet m_voters;
};

/// Work for the caller, in this order: write and sync the hard state, snapshot
/// and entries; send the messages; restore the snapshot and apply the committed
/// entries. If a write fails, the caller calls `Raft::storageFailed` and skips
/// the remaining steps.
struct RaftActions {
  std::optional<HardState> m_hardState;
  /// Received from the leader: replaces the whole log and the state machine.
  std::optional<Snapshot> m_snapshot;
  /// Contiguous. They replace all stored entries from the first index on.
  std::vector<LogEntry> m_entries;
  std::vector<RaftMessage> m_messages;
  /// In log order, each entry once per process lifetime. Includes no-op and
  /// voter entries.
  std::vector<LogEntry> m_committed;
  std::vector<RaftEvent> m_events;

  bool needsSync() const {
    return m_hardState || m_snapshot || !m_entries.empty();
  }
  bool empty() const {
    return !needsSync() && m_messages.empty() && m_committed.empty() &&
           m_events.empty();
  }
};

} // namespace turmericdyke
