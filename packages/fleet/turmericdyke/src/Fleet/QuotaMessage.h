#pragma once

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include <nlohmann/json_fwd.hpp>

#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Fleet/FleetError.h"

namespace turmericdyke {

/// Identifies what a quota divides between nodes: the limit of a customer, or
/// the slots of a pool.
using LimitId = StringId<struct LimitIdTag>;

struct QuotaDemand {
  LimitId m_limit;
  /// Running plus queued requests.
  std::int64_t m_demand = 0;
  std::int64_t m_inUse = 0;
};

/// Sent by a node to the leader: its demand for each limit.
struct QuotaRequest {
  NodeId m_node;
  std::uint64_t m_incarnation = 0;
  /// Increases by one with each request of an incarnation.
  std::uint64_t m_sequence = 0;
  /// Highest sequence whose grant the node has applied; it ignores grants of
  /// earlier requests.
  std::uint64_t m_accepted = 0;
  std::vector<QuotaDemand> m_demands;
};

struct QuotaAmount {
  LimitId m_limit;
  std::int64_t m_amount = 0;
};

/// The answer to one request. It replaces all earlier grants of the node; a
/// limit that it omits is no longer leased.
struct QuotaGrant {
  NodeId m_node;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_sequence = 0;
  absl::Duration m_lease;
  std::vector<QuotaAmount> m_amounts;
};

nlohmann::json toJson(const QuotaRequest &Request);
nlohmann::json toJson(const QuotaGrant &Grant);

/// Read the messages. Unknown fields are ignored; wrong types, a missing node,
/// negative numbers and more than 1024 limits are errors.
Result<QuotaRequest, FleetError> parseQuotaRequest(const nlohmann::json &Value);
Result<QuotaGrant, FleetError> parseQuotaGrant(const nlohmann::json &Value);

} // namespace turmericdyke
