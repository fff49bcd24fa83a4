#include "turmericdyke/src/Formation/OrderTracker.h"

#include <algorithm>

#include <fmt/format.h>

namespace turmericdyke::internal {

namespace {

// Six orders take 30 s. Fewer could all be lost while the connection to the
// target is being re-established.
constexpr int MaxUnansweredJoinOrders = 6;
constexpr absl::Duration UnresponsiveDuration = absl::Minutes(5);

bool isSameOrder(const Order &A, const Order &B) {
  return A.m_kind == B.m_kind && A.m_incarnation == B.m_incarnation &&
         A.m_membership.m_replica == B.m_membership.m_replica &&
         A.m_membership.m_generation == B.m_membership.m_generation &&
         A.m_membership.m_rank == B.m_membership.m_rank;
}

} // namespace

void OrderTracker::start(Instant Now, const FencingTokenRange &Block) {
  m_nextFencingToken = std::max(m_nextFencingToken, Block.m_first);
  m_fencingTokenEnd = std::max(m_fencingTokenEnd, Block.m_end);
  absl::erase_if(m_lastOrders, [&](const auto &Entry) {
    return Entry.second.m_expires <= Now;
  });
  absl::erase_if(m_joins, [&](const auto &Entry) {
    return Now - Entry.second.m_lastSent > UnresponsiveDuration;
  });
}

std::optional<std::uint64_t> OrderTracker::nextFencingToken() {
  if (m_nextFencingToken >= m_fencingTokenEnd)
    return std::nullopt;
  return m_nextFencingToken++;
}

std::uint64_t OrderTracker::fencingTokensLeft() const {
  return m_fencingTokenEnd - std::min(m_nextFencingToken, m_fencingTokenEnd);
}

bool OrderTracker::maySend(const Order &Wanted, const TargetView &View,
                           Instant LeaderSince, Instant Now) const {
  bool Checks = View.m_announcement->m_checksFencing;
  if (!Checks && Now < LeaderSince + NewLeaderWait)
    return false;
  auto Last = m_lastOrders.find(Wanted.m_target);
  if (Last == m_lastOrders.end())
    return true;
  return Checks && !isSameOrder(Last->second.m_order, Wanted);
}

std::optional<Order> OrderTracker::send(Order Wanted, Instant Now,
                                        bool NeedsLoad) {
  std::optional<std::uint64_t> Fence = nextFencingToken();
  if (!Fence)
    return std::nullopt;
  Wanted.m_id = fmt::format("o{}", *Fence);
  Wanted.m_fencingToken = m_repeatFences ? 1 : *Fence;
  Wanted.m_expiresInMs = absl::ToInt64Milliseconds(OrderLifetime);
  if (Wanted.m_kind == OrderKind::Join)
    countJoin(Wanted, Now);
  m_lastOrders[Wanted.m_target] = {Wanted, Now + OrderLifetime, NeedsLoad};
  return Wanted;
}

void OrderTracker::countJoin(const Order &Sent, Instant Now) {
  JoinAttempts &Known = m_joins[Sent.m_target];
  bool Forgotten = Now - Known.m_lastSent > UnresponsiveDuration;
  if (Forgotten || !isSameOrder(Known.m_order, Sent))
    Known.m_count = 0;
  Known.m_order = Sent;
  Known.m_lastSent = Now;
  ++Known.m_count;
}

bool OrderTracker::isUnresponsive(const TargetId &Target, Instant Now) const {
  auto Found = m_joins.find(Target);
  if (Found == m_joins.end())
    return false;
  const JoinAttempts &Known = Found->second;
  return Known.m_count >= MaxUnansweredJoinOrders &&
         Now >= Known.m_lastSent + OrderLifetime &&
         Now <= Known.m_lastSent + UnresponsiveDuration;
}

bool OrderTracker::isLoadOrdered(const TargetId &Target) const {
  auto Last = m_lastOrders.find(Target);
  return Last != m_lastOrders.end() && Last->second.m_needsLoad;
}

} // namespace turmericdyke::internal
