#include "turmericdyke/src/Formation/OrderBook.h"

#include <algorithm>

#include <fmt/format.h>

namespace turmericdyke::internal {

namespace {

// Six orders take 30 s. Fewer could be lost together while a connection to the
// target is being replaced.
constexpr int MaxUnansweredJoins = 6;
constexpr absl::Duration UnresponsiveFor = absl::Minutes(5);

bool asksTheSame(const Order &A, const Order &B) {
  return A.m_kind == B.m_kind && A.m_incarnation == B.m_incarnation &&
         A.m_membership.m_replica == B.m_membership.m_replica &&
         A.m_membership.m_generation == B.m_membership.m_generation &&
         A.m_membership.m_rank == B.m_membership.m_rank;
}

} // namespace

void OrderBook::start(Instant Now, const FenceBlock &Block) {
  m_nextFence = std::max(m_nextFence, Block.m_first);
  m_fenceEnd = std::max(m_fenceEnd, Block.m_end);
  absl::erase_if(
      m_sent, [&](const auto &Entry) { return Entry.second.m_expires <= Now; });
  absl::erase_if(m_joins, [&](const auto &Entry) {
    return Now - Entry.second.m_lastSent > UnresponsiveFor;
  });
}

std::optional<std::uint64_t> OrderBook::nextFence() {
  if (m_nextFence >= m_fenceEnd)
    return std::nullopt;
  return m_nextFence++;
}

std::uint64_t OrderBook::fencesLeft() const {
  return m_fenceEnd - std::min(m_nextFence, m_fenceEnd);
}

bool OrderBook::maySend(const Order &Wanted, const TargetView &View,
                        Instant LeaderSince, Instant Now) const {
  bool Checks = View.m_announcement->m_checksFencing;
  if (!Checks && Now < LeaderSince + NewLeaderWait)
    return false;
  auto Last = m_sent.find(Wanted.m_target);
  if (Last == m_sent.end())
    return true;
  return Checks && !asksTheSame(Last->second.m_order, Wanted);
}

std::optional<Order> OrderBook::send(Order Wanted, Instant Now,
                                     bool NeedsLoad) {
  std::optional<std::uint64_t> Fence = nextFence();
  if (!Fence)
    return std::nullopt;
  Wanted.m_id = fmt::format("o{}", *Fence);
  Wanted.m_fence = m_repeatFences ? 1 : *Fence;
  Wanted.m_expiresInMs = absl::ToInt64Milliseconds(OrderLifetime);
  if (Wanted.m_kind == OrderKind::Join)
    countJoin(Wanted, Now);
  m_sent[Wanted.m_target] = {Wanted, Now + OrderLifetime, NeedsLoad};
  return Wanted;
}

void OrderBook::countJoin(const Order &Sent, Instant Now) {
  Joins &Known = m_joins[Sent.m_target];
  bool Forgotten = Now - Known.m_lastSent > UnresponsiveFor;
  if (Forgotten || !asksTheSame(Known.m_order, Sent))
    Known.m_count = 0;
  Known.m_order = Sent;
  Known.m_lastSent = Now;
  ++Known.m_count;
}

bool OrderBook::isUnresponsive(const TargetId &Target, Instant Now) const {
  auto Found = m_joins.find(Target);
  if (Found == m_joins.end())
    return false;
  const Joins &Known = Found->second;
  return Known.m_count >= MaxUnansweredJoins &&
         Now >= Known.m_lastSent + OrderLifetime &&
         Now <= Known.m_lastSent + UnresponsiveFor;
}

bool OrderBook::isLoadOrdered(const TargetId &Target) const {
  auto Last = m_sent.find(Target);
  return Last != m_sent.end() && Last->second.m_needsLoad;
}

} // namespace turmericdyke::internal
