#pragma once

#include <string>

namespace turmericdyke {

/// Why the replicated log refused a call.
enum class ConsensusErrorKind {
  /// This node does not lead; `Raft::leader` may name the node that does.
  NotLeader,
  /// This node leads but holds no leader lease at present. Retry later.
  NoLease,
  /// A leadership transfer is under way. Retry at the new leader.
  TransferInProgress,
  /// An earlier change of voters is not committed yet.
  ChangeInProgress,
  /// The voter set is malformed or differs by more than one voter.
  InvalidVoterSet,
  /// The added voter or transfer target is unknown under that identity or too
  /// far behind.
  NotCaughtUp,
  /// The command exceeds `RaftOptions::m_maxCommandBytes`.
  TooLarge,
  /// The storage of this node failed; it takes no part until its restart.
  StorageFailed,
};

struct ConsensusError {
  ConsensusErrorKind m_kind = ConsensusErrorKind::NotLeader;
  std::string m_message;
};

} // namespace turmericdyke
