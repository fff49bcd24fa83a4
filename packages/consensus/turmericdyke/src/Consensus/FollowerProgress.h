#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "turmericdyke/src/Consensus/RaftState.h"

namespace turmericdyke::internal {

/// `Probe` searches for the last matching index with empty append requests,
/// `Replicate` streams entries, and `Snapshot` waits for the acknowledgement of
/// a snapshot.
enum class ReplicationMode { Probe, Replicate, Snapshot };

/// Replication state that a leader keeps for one follower or learner.
struct FollowerProgress {
  /// Identity in the last response; empty before the first one.
  std::string m_identity;
  ReplicationMode m_mode = ReplicationMode::Probe;
  LogIndex m_match = 0;
  LogIndex m_next = 1;
  /// Heartbeat round in which `m_match` last increased. Responses to later
  /// rounds were sent after the follower acknowledged that index.
  std::uint64_t m_matchRound = 0;
  /// Highest round that the node acknowledged with `m_identity`.
  std::uint64_t m_ackedRound = 0;
  /// Round in which the leader began to send to this node.
  std::uint64_t m_firstRound = 0;
  bool m_probeSent = false;
  bool m_heartbeatDue = true;
  LogIndex m_sentCommit = 0;
  std::uint64_t m_snapshotRound = 0;
  /// Last indexes of the unanswered append messages that carry entries.
  std::deque<LogIndex> m_inflight;

  void probeFrom(LogIndex Next) {
    m_mode = ReplicationMode::Probe;
    m_next = Next;
    m_probeSent = false;
    m_inflight.clear();
  }
};

} // namespace turmericdyke::internal
