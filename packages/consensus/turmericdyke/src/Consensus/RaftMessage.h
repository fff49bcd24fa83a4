#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "turmericdyke/src/Consensus/RaftState.h"

namespace turmericdyke {

enum class RaftMessageKind : std::uint8_t {
  PreVoteRequest = 0,
  PreVoteResponse = 1,
  VoteRequest = 2,
  VoteResponse = 3,
  /// Without entries this is a heartbeat.
  AppendRequest = 4,
  /// Response to append and snapshot requests.
  AppendResponse = 5,
  SnapshotRequest = 6,
  TimeoutNow = 7,
};

/// A message between two nodes. Fields that a kind does not use keep their
/// defaults.
struct RaftMessage {
  RaftMessageKind m_kind = RaftMessageKind::AppendRequest;
  NodeId m_from;
  /// Identity of the sender's data directory; empty for a learner without one.
  std::string m_fromIdentity;
  NodeId m_to;
  /// Term of the sender; in pre-votes the requested or granted term.
  Term m_term = 0;
  /// Requests: number of the heartbeat round or candidacy. Responses echo the
  /// number of their request.
  std::uint64_t m_sequence = 0;
  /// Vote requests: last log index of the candidate. Append requests: index
  /// before the first entry. Append responses: last index known to match, or
  /// the rejected index.
  LogIndex m_index = 0;
  /// Term of the entry at `m_index`, in requests.
  Term m_logTerm = 0;
  /// Append requests: commit index of the leader.
  LogIndex m_commit = 0;
  /// Vote responses: granted. Append responses: the logs match.
  bool m_accepted = false;
  /// Vote requests: the leader started this election to transfer leadership.
  bool m_transfer = false;
  /// Append responses: last index of the sender's log.
  LogIndex m_lastIndex = 0;
  /// Rejected append responses: the term of the sender's entry at `m_index` and
  /// the first index of that term; term 0 if the sender's log is shorter.
  LogIndex m_conflictIndex = 0;
  Term m_conflictTerm = 0;
  /// Append requests: the receiver's identity if the leader detected that its
  /// log was rolled back.
  std::string m_revokedIdentity;
  std::vector<LogEntry> m_entries;
  /// Snapshot requests only.
  std::optional<Snapshot> m_snapshot;
};

} // namespace turmericdyke
