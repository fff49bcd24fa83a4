#pragma once

#include <cstddef>
#include <cstdint>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// Safety checks that tests disable one at a time, to show that their oracle
/// detects the resulting violations.
enum class DisabledCheck {
  None,
  /// Grants votes within the minimum election timeout after leader contact.
  VoteWithinLeaderContact,
  /// Grants votes right after a restart.
  VoteAfterRestart,
  /// Commits entries of earlier terms by counting replicas.
  CommitAnyTerm,
  /// Counts votes and acknowledgements by node and ignores the identity.
  IgnoreIdentity,
  /// Keeps the leader lease during a leadership transfer.
  LeaseDuringTransfer,
};

struct RaftOptions {
  NodeId m_node;
  absl::Duration m_heartbeatInterval = absl::Milliseconds(100);
  /// The election timeout is random between these two. For the minimum timeout
  /// a follower also rejects vote requests after hearing from a leader.
  absl::Duration m_electionTimeoutMin = absl::Seconds(1);
  absl::Duration m_electionTimeoutMax = absl::Seconds(2);
  /// The minimum election timeout less 20 % for clock drift and scheduling
  /// delays.
  absl::Duration m_leaderLease = absl::Milliseconds(800);
  /// Limits of an append message, which always carries at least one entry,
  /// whatever its size.
  std::size_t m_maxEntriesPerMessage = 256;
  std::size_t m_maxBytesPerMessage = std::size_t{256} * 1024;
  /// Unacknowledged append messages with entries allowed per follower.
  std::size_t m_maxInflightMessages = 4;
  std::size_t m_maxCommandBytes = std::size_t{4} * 1024 * 1024;
  /// Entries kept in memory before a snapshot, so that a follower that lags
  /// slightly does not need the snapshot.
  std::size_t m_retainedEntries = 1024;
  /// The same in bytes of commands; both limits hold.
  std::size_t m_retainedBytes = std::size_t{4} * 1024 * 1024;
  /// A learner gets a heartbeat once per this many rounds: learners do not
  /// count for the lease, and there may be many.
  std::uint64_t m_learnerHeartbeatRounds = 5;
  /// A voter that acknowledged none of this many last rounds does not respond.
  std::uint64_t m_responseRounds = 5;
  /// Heartbeat rounds before an unacknowledged snapshot is retried.
  std::uint64_t m_snapshotRetryRounds = 20;
  /// For tests only.
  DisabledCheck m_disabledCheck = DisabledCheck::None;
};

} // namespace turmericdyke
