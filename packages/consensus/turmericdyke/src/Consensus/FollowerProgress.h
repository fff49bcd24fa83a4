#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "turmericdyke/src/Consensus/RaftState.h"

namespace turmericdyke::internal {

/// `Probe` looks for the last matching index with empty appends; `Replicate`
/// streams entries; `Snapshot` waits for a snapshot to be acknowledged.
enum class ReplicationMode { Probe, Replicate, Snapshot };

/// What a leader knows of one follower or learner.
struct FollowerProgress {
  /// Identity the node last answered with; empty before the first answer.
  std::string m_identity;
  ReplicationMode m_mode = ReplicationMode::Probe;
  LogIndex m_match = 0;
  LogIndex m_next = 1;
  /// Heartbeat round that was current when `m_match` was last raised. Answers
  /// to later rounds were written after the follower had acknowledged it.
  std::uint64_t m_matchRound = 0;
  /// Highest round the node has answered under `m_identity`.
  std::uint64_t m_ackedRound = 0;
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
