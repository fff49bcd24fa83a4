#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Declaration/Declaration.h"

namespace turmericdyke {

/// What a quota divides between nodes: the limit of a customer, or the slots of
/// a pool.
using LimitId = StringId<struct LimitIdTag>;

LimitId limitOfCustomer(const CustomerId &Customer);
LimitId limitOfPool(std::string_view Pool);

struct QuotaOptions {
  /// From the send time of the request at the node.
  absl::Duration m_lease = absl::Seconds(2);
  /// Part of each limit that is divided equally for good and needs no lease, so
  /// that nodes without a leader keep serving.
  double m_floorShare = 0.2;
  /// Nodes that the floor is divided between, at least the number that run; 0
  /// for no floor. Leader and nodes must use the same value.
  std::int64_t m_maxNodes = 0;
};

/// What each node may use of a limit without a lease.
std::int64_t quotaFloor(const QuotaOptions &Options, std::int64_t Limit);

struct QuotaDemand {
  LimitId m_limit;
  /// Running plus queued.
  std::int64_t m_demand = 0;
  std::int64_t m_inUse = 0;
};

/// From a node to the leader.
struct QuotaRequest {
  NodeId m_node;
  std::uint64_t m_incarnation = 0;
  /// Grows by one with each request of an incarnation.
  std::uint64_t m_sequence = 0;
  /// Highest sequence whose grant the node has taken; it will not go back to an
  /// earlier one.
  std::uint64_t m_accepted = 0;
  std::vector<QuotaDemand> m_demands;
};

struct QuotaAmount {
  LimitId m_limit;
  std::int64_t m_amount = 0;
};

/// The answer to one request. It replaces all earlier grants of the node; a
/// limit it does not name is no longer leased.
struct QuotaGrant {
  NodeId m_node;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_sequence = 0;
  absl::Duration m_lease;
  std::vector<QuotaAmount> m_amounts;
};

} // namespace turmericdyke
