#pragma once

#include <optional>
#include <vector>

#include "turmericdyke/src/Consensus/RaftMessage.h"
#include "turmericdyke/src/Consensus/RaftState.h"

namespace turmericdyke {

enum class RaftEventKind {
  LeadershipGained,
  LeadershipLost,
  /// Leader: the last index of this identity fell below what it acknowledged.
  /// It is no longer counted; an operator must replace its data directory.
  VoterRolledBack,
  /// This node's own identity was revoked by a leader.
  IdentityRevoked,
  /// A voter set was committed.
  VotersCommitted,
  /// A leadership transfer was not completed in time.
  TransferFailed,
  /// A leader's log contradicts entries that are committed here. The message
  /// was dropped; the cluster's safety was lost, for example by restoring old
  /// data directories.
  CommittedConflict,
};

/// Something the caller logs or acts on. `m_voter` names the voter concerned.
struct RaftEvent {
  RaftEventKind m_kind = RaftEventKind::LeadershipGained;
  Voter m_voter;
};

/// What the caller must do, in this order: write hard state, snapshot and
/// entries and sync them; send the messages; restore the snapshot and apply the
/// committed entries. If writing fails, it calls `Raft::storageFailed` and does
/// none of the rest.
struct RaftActions {
  std::optional<HardState> m_hardState;
  /// Received from the leader: replaces the whole log and the state machine.
  std::optional<Snapshot> m_snapshot;
  /// Replace all entries from the index of the first one on. Contiguous.
  std::vector<LogEntry> m_entries;
  std::vector<RaftMessage> m_messages;
  /// In log order, each entry once per start of the process. Includes no-op and
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
