#pragma once

#include <cstddef>

namespace turmericdyke {

/// The memory that a node may use for responses and events that it holds back.
/// Single responses are bounded by their holders; the budget bounds the sum of
/// several hundred of them, when faulty targets send bytes without end.
///
/// Load: nearly all responses are small. Once the budget is used up, those that
/// hold more than an equal part may not grow, so the faulty ones end and the
/// others complete. What was held before stays, so the sum is at most twice the
/// budget.
class BufferBudget {
public:
  /// `Bytes` for all holders together.
  explicit BufferBudget(std::size_t Bytes) : m_limit(Bytes) {}

  void setLimit(std::size_t Bytes) { m_limit = Bytes; }
  std::size_t total() const { return m_total; }

private:
  friend class BufferShare;

  std::size_t m_limit;
  std::size_t m_total = 0;
  /// Shares that hold any bytes.
  std::size_t m_holders = 0;
};

/// The part of a `BufferBudget` that one response holds. Released on
/// destruction; the budget must outlive it.
class BufferShare {
public:
  explicit BufferShare(BufferBudget &Budget) : m_budget(Budget) {}
  ~BufferShare() { (void)resize(0); }
  BufferShare(const BufferShare &) = delete;
  BufferShare &operator=(const BufferShare &) = delete;

  /// Records that the holder now holds `Bytes`. Returns whether it may go on
  /// growing.
  bool resize(std::size_t Bytes);

private:
  BufferBudget &m_budget;
  std::size_t m_bytes = 0;
};

} // namespace turmericdyke
