#pragma once

#include <cstdint>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "turmericdyke/src/Formation/PlannerInput.h"
#include "turmericdyke/src/Formation/PlannerOptions.h"

namespace turmericdyke::internal {

/// Assigns fencing tokens to orders and keeps the last order to each target, so
/// that an order is not repeated before it has expired.
class OrderTracker {
public:
  /// Starts a planning round: takes the range of fencing tokens and drops
  /// expired orders.
  void start(Instant Now, const FencingTokenRange &Block);

  /// Returns a fencing token greater than all previous ones, or nothing if the
  /// range is used up.
  std::optional<std::uint64_t> nextFencingToken();
  std::uint64_t fencingTokensLeft() const;

  /// Whether an order may be sent to the target now. A repeated order waits
  /// until the previous one has expired. If the target does not check fencing
  /// tokens, a different order waits as well, because the two could arrive out
  /// of order.
  bool maySend(const Order &Wanted, const TargetView &View, Instant LeaderSince,
               Instant Now) const;
  /// Sets the identifier, fencing token and expiry of the order and records it.
  /// Returns nothing if the fencing tokens are used up.
  std::optional<Order> send(Order Wanted, Instant Now, bool NeedsLoad);

  /// Whether the last unexpired order to the target makes it load weights.
  bool isLoadOrdered(const TargetId &Target) const;

  /// Whether the target announces itself but ignored several join orders in a
  /// row. It is tried again after five minutes.
  bool isUnresponsive(const TargetId &Target, Instant Now) const;

  /// For tests: gives every order the same fencing token.
  void repeatFences() { m_repeatFences = true; }

private:
  struct Sent {
    Order m_order;
    Instant m_expires;
    bool m_needsLoad = false;
  };

  /// Consecutive join orders with the same content.
  struct JoinAttempts {
    Order m_order;
    Instant m_lastSent;
    int m_count = 0;
  };
  void countJoin(const Order &Sent, Instant Now);

  std::uint64_t m_nextFencingToken = 1;
  std::uint64_t m_fencingTokenEnd = 1;
  absl::flat_hash_map<TargetId, Sent> m_lastOrders;
  absl::flat_hash_map<TargetId, JoinAttempts> m_joins;
  bool m_repeatFences = false;
};

} // namespace turmericdyke::internal
