#pragma once

#include <cstdint>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "turmericdyke/src/Formation/PlannerInput.h"
#include "turmericdyke/src/Formation/PlannerOptions.h"

namespace turmericdyke::internal {

/// Numbers the orders and remembers the last one to each target, so that none
/// is sent again before it has expired.
class OrderBook {
public:
  /// Takes the block of fencing numbers and forgets expired orders.
  void start(Instant Now, const FenceBlock &Block);

  /// A fencing number, greater than all before it; nothing when the block is
  /// used up.
  std::optional<std::uint64_t> nextFence();
  std::uint64_t fencesLeft() const;

  /// Whether an order to the target may be sent now. An equal order waits until
  /// the last one has expired. So does a different one if the target does not
  /// check fencing numbers, as the two could arrive in the wrong order.
  bool maySend(const Order &Wanted, const TargetView &View, Instant LeaderSince,
               Instant Now) const;
  /// Gives the order its identifier, fence and expiry, and records it. Nothing
  /// when fencing numbers are used up.
  std::optional<Order> send(Order Wanted, Instant Now, bool NeedsLoad);

  /// Whether a join that needs a weight load is on its way to the target.
  bool isLoadOrdered(const TargetId &Target) const;

  /// Whether the target announces itself but did not follow several joins in a
  /// row. It gets another chance after five minutes.
  bool isUnresponsive(const TargetId &Target, Instant Now) const;

  /// For tests: stops the fencing numbers from growing.
  void repeatFences() { m_repeatFences = true; }

private:
  struct Sent {
    Order m_order;
    Instant m_expires;
    bool m_needsLoad = false;
  };

  /// Equal joins in a row.
  struct Joins {
    Order m_order;
    Instant m_lastSent;
    int m_count = 0;
  };
  void countJoin(const Order &Sent, Instant Now);

  std::uint64_t m_nextFence = 1;
  std::uint64_t m_fenceEnd = 1;
  absl::flat_hash_map<TargetId, Sent> m_sent;
  absl::flat_hash_map<TargetId, Joins> m_joins;
  bool m_repeatFences = false;
};

} // namespace turmericdyke::internal
