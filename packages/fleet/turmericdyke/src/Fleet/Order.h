#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Fleet/ModelSpec.h"
#include "turmericdyke/src/Fleet/TargetAnnouncement.h"

namespace turmericdyke {

/// `Join` loads the spec and takes the given rank in the replica; `Release`
/// leaves the replica after its requests have finished; `Drain` stops it from
/// accepting new requests.
enum class OrderKind { Join, Release, Drain };

/// An order from the control leader to a target.
struct Order {
  std::string m_id;
  TargetId m_target;
  std::uint64_t m_incarnation = 0;
  OrderKind m_kind = OrderKind::Join;
  ModelSpec m_spec;
  ReplicaMembership m_membership;
  /// Number of members in the replica.
  std::int64_t m_replicaSize = 0;
  /// Fencing token from the replicated counter; a target that checks tokens
  /// refuses an order whose token is lower than the highest it has seen.
  std::uint64_t m_fencingToken = 0;
  /// How long after its receipt the order may still be started, in
  /// milliseconds.
  std::int64_t m_expiresInMs = 0;
};

std::string_view nameOf(OrderKind Kind);
nlohmann::json toJson(const Order &Value);
Result<Order, FleetError> parseOrder(const nlohmann::json &Value);

} // namespace turmericdyke
