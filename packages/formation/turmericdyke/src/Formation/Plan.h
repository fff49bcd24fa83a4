#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "turmericdyke/Fleet"

namespace turmericdyke {

/// `Forming` waits for members to load and confirm; `Degraded` has a member
/// that is absent or to be replaced, or a build that is not accepted.
enum class ReplicaState { Forming, Serving, Degraded, Ending };

struct ReplicaStatus {
  ReplicaId m_replica;
  std::string m_pool;
  ReplicaState m_state = ReplicaState::Forming;
  /// Why it does not serve, or what is being done; empty when it serves.
  std::string m_reason;
};

struct PoolStatus {
  std::string m_pool;
  std::int64_t m_held = 0;
  std::int64_t m_wanted = 0;
  std::int64_t m_assigned = 0;
  std::int64_t m_serving = 0;
  /// Why replicas that the capacity held needs are not being formed.
  std::string m_reason;
};

/// What the leader does next.
struct Plan {
  /// For the log, in this order.
  std::vector<AssignmentChange> m_changes;
  /// For the targets. They follow from assignments that are in the log already.
  std::vector<Order> m_orders;
  std::vector<ReplicaStatus> m_replicas;
  std::vector<PoolStatus> m_pools;
  /// Whether the block of fencing numbers is nearly used up.
  bool m_needsFences = false;
  /// Weight loads that run or are ordered, and those that wait for a turn.
  std::int64_t m_loadsRunning = 0;
  std::int64_t m_loadsWaiting = 0;
};

} // namespace turmericdyke
