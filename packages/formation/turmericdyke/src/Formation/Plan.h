#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "turmericdyke/Fleet"

namespace turmericdyke {

/// `Forming`: members are still loading or joining. `Degraded`: a member is
/// absent or must be replaced, or the engine build is not accepted.
enum class ReplicaState { Forming, Serving, Degraded, Ending };

struct ReplicaStatus {
  ReplicaId m_replica;
  std::string m_pool;
  ReplicaState m_state = ReplicaState::Forming;
  /// Why the replica does not serve, or what is being done about it. Usually
  /// empty for a replica that serves.
  std::string m_reason;
};

struct PoolStatus {
  std::string m_pool;
  std::int64_t m_held = 0;
  std::int64_t m_wanted = 0;
  std::int64_t m_assigned = 0;
  std::int64_t m_serving = 0;
  /// Why replicas needed for the capacity held cannot be formed.
  std::string m_reason;
};

/// The actions that the leader takes next, and the status of all replicas and
/// pools.
struct Plan {
  /// Changes to append to the replicated log, in this order.
  std::vector<AssignmentChange> m_changes;
  /// Orders to send to targets. They implement assignments that are already in
  /// the log.
  std::vector<Order> m_orders;
  std::vector<ReplicaStatus> m_replicas;
  std::vector<PoolStatus> m_pools;
  /// Whether the range of fencing tokens is nearly used up.
  bool m_needsFencingTokens = false;
  /// Weight loads that are running or ordered, and those that wait because of
  /// the limit on concurrent loads.
  std::int64_t m_loadsRunning = 0;
  std::int64_t m_loadsWaiting = 0;
};

} // namespace turmericdyke
