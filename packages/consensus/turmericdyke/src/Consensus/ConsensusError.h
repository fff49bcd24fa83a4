#pragma once

#include <string>

namespace turmericdyke {

/// Why the replicated log rejected a call.
enum class ConsensusErrorKind {
  /// This node is not the leader; `Raft::leader` may name the current one.
  NotLeader,
  /// This node is the leader but holds no valid lease. Retry later.
  NoLease,
  /// A leadership transfer is in progress. Retry at the new leader.
  TransferInProgress,
  /// An earlier change of voters is not committed yet.
  ChangeInProgress,
  /// The voter set is malformed or differs by more than one voter.
  InvalidVoterSet,
  /// The added voter or transfer target is not known by that identity, or its
  /// log is too far behind.
  NotCaughtUp,
  /// The command exceeds `RaftOptions::m_maxCommandBytes`.
  TooLarge,
  /// The storage of this node failed; it stays inactive until restarted.
  StorageFailed,
};

struct ConsensusError {
  ConsensusErrorKind m_kind = ConsensusErrorKind::NotLeader;
  std::string m_message;
};

} // namespace turmericdyke
