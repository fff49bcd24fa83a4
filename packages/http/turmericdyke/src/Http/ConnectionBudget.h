#pragma once

#include <cstddef>
#include <set>
#include <utility>

#include "turmericdyke/src/Base/Instant.h"

namespace turmericdyke {

class ConnectionShare;

/// A connection whose memory counts in a `ConnectionBudget`.
class BudgetHolder {
public:
  virtual ~BudgetHolder() = default;
  /// Called when the budget is used up and this connection goes first. It
  /// refuses its request or closes, and reports its new size before it returns.
  virtual void giveUp() = 0;
};

/// What a connection holds memory for.
enum class ConnectionUse {
  /// No request, or one that was read to its end and runs.
  Kept,
  /// A request that was read in part.
  Incomplete,
  /// A response that the caller has not read to its end.
  Unread
};

/// The memory that the servers of a process may use for their callers'
/// connections: requests, responses and what a connection takes itself. It
/// reads no clock and closes nothing itself.
///
/// Load: callers that send many large bodies at once and do not end them, or
/// that do not read their responses. Above the limit, incomplete requests
/// larger than ordinary ones are given up, the largest first, then responses
/// whose callers have stopped to read. A reserve of a quarter of the limit
/// serves ordinary requests meanwhile. Beyond the reserve any incomplete
/// request goes, then any unread response. Complete requests that run are never
/// given up, so a request may begin to run only while there is room for it.
class ConnectionBudget {
public:
  /// What one connection takes without a request: its state in this process and
  /// in the kernel.
  static constexpr std::size_t ConnectionBytes = 4 << 10;
  /// A request that holds at most this much counts as ordinary; bodies of
  /// prompts are some KB.
  static constexpr std::size_t OrdinaryBytes = 64 << 10;
  /// A caller that has taken no byte for this long has stopped to read. Round
  /// trips and pauses of a sound caller are shorter.
  static constexpr absl::Duration UnreadPause = absl::Seconds(1);

  /// `Bytes` for all connections together.
  explicit ConnectionBudget(std::size_t Bytes) : m_limit(Bytes) {}
  ConnectionBudget(const ConnectionBudget &) = delete;
  ConnectionBudget &operator=(const ConnectionBudget &) = delete;

  std::size_t total() const { return m_total; }
  std::size_t limit() const { return m_limit; }
  /// Whether the connections hold more than the limit, without the reserve.
  bool isUsedUp() const { return m_total > m_limit; }
  /// Whether another connection may be accepted.
  bool mayAccept() const { return fits(ConnectionBytes); }
  /// Whether a complete request, which holds `Held` bytes now, may take `More`
  /// and run.
  bool mayRun(std::size_t Held, std::size_t More) const;

  /// The connection whose incomplete request must be given up now; null if none
  /// must.
  BudgetHolder *incompleteToEnd() const;
  /// The same to make room for a complete request.
  BudgetHolder *largestIncomplete() const;
  /// The connection whose response must be cut off now; null if none must.
  BudgetHolder *unreadToEnd(Instant Now) const;

private:
  friend class ConnectionShare;

  /// The reserve for ordinary requests.
  std::size_t reserve() const { return m_limit / 4; }
  bool fits(std::size_t More) const {
    return m_total + More <= m_limit + reserve();
  }

  std::size_t m_limit;
  std::size_t m_total = 0;
  /// By size. Shares without an owner's request or response are in neither.
  std::set<std::pair<std::size_t, const ConnectionShare *>> m_incomplete;
  std::set<std::pair<std::size_t, const ConnectionShare *>> m_unread;
};

} // namespace turmericdyke
