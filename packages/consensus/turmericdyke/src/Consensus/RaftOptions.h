#pragma once

#include <cstddef>
#include <cstdint>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// Rules that tests switch off to show that their oracle notices.
enum class BrokenGuard {
  None,
  /// Grants votes although a leader was heard within the least timeout.
  VoteWithinLeaderContact,
  /// Grants votes right after a restart.
  VoteAfterRestart,
  /// Commits entries of earlier terms by counting copies.
  CommitAnyTerm,
  /// Counts votes and acknowledgements by node alone.
  IgnoreIdentity,
  /// Keeps the leader lease during a leadership transfer.
  LeaseDuringTransfer,
};

struct RaftOptions {
  NodeId m_node;
  absl::Duration m_heartbeatInterval = absl::Milliseconds(100);
  /// The election timeout is drawn between these two. The lower one is also the
  /// time during which a follower refuses votes after hearing from a leader.
  absl::Duration m_electionTimeoutMin = absl::Seconds(1);
  absl::Duration m_electionTimeoutMax = absl::Seconds(2);
  /// The least election timeout less 20 % for clock drift and scheduling.
  absl::Duration m_leaderLease = absl::Milliseconds(800);
  /// An append message carries at least one entry, whatever its size.
  std::size_t m_maxEntriesPerMessage = 256;
  std::size_t m_maxBytesPerMessage = std::size_t{256} * 1024;
  /// Append messages with entries that may be unanswered per follower.
  std::size_t m_maxInflightMessages = 4;
  std::size_t m_maxCommandBytes = std::size_t{4} * 1024 * 1024;
  /// Entries kept in memory before a snapshot, so that a follower that is
  /// slightly behind does not need the snapshot.
  std::size_t m_retainedEntries = 1024;
  /// Heartbeat rounds between heartbeats to a learner. Learners do not count
  /// for the lease, and there may be many.
  std::uint64_t m_learnerHeartbeatRounds = 5;
  /// Heartbeat rounds before an unanswered snapshot is sent again.
  std::uint64_t m_snapshotRetryRounds = 20;
  /// For tests only.
  BrokenGuard m_brokenGuard = BrokenGuard::None;
};

} // namespace turmericdyke
