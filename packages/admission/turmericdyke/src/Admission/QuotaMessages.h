#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "turmericdyke/src/Declaration/Declaration.h"
#include "turmericdyke/src/Fleet/QuotaMessage.h"

namespace turmericdyke {

LimitId customerLimitId(const CustomerId &Customer);
LimitId poolLimitId(std::string_view Pool);

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

} // namespace turmericdyke
