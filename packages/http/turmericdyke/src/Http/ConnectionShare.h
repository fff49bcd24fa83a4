#pragma once

#include <memory>
#include <utility>

#include "turmericdyke/src/Http/ConnectionBudget.h"

namespace turmericdyke {

/// The part of a `ConnectionBudget` that a connection or a running request
/// holds. Released on destruction.
class ConnectionShare {
public:
  /// `Owner` must outlive the share. It may be null if the share never holds
  /// an incomplete request or an unread response.
  ConnectionShare(std::shared_ptr<ConnectionBudget> Budget, BudgetHolder *Owner)
      : m_budget(std::move(Budget)), m_owner(Owner) {}
  ~ConnectionShare() { resize(0, ConnectionUse::Kept); }
  ConnectionShare(const ConnectionShare &) = delete;
  ConnectionShare &operator=(const ConnectionShare &) = delete;

  /// Records that the connection now holds `Bytes`.
  void resize(std::size_t Bytes, ConnectionUse Use);
  /// Records that the caller has taken bytes of a response.
  void progressed(Instant Now) { m_lastProgress = Now; }
  /// When the caller last took bytes, or when the response was begun.
  Instant lastProgress() const { return m_lastProgress; }

private:
  friend class ConnectionBudget;

  std::shared_ptr<ConnectionBudget> m_budget;
  BudgetHolder *m_owner;
  std::size_t m_bytes = 0;
  ConnectionUse m_use = ConnectionUse::Kept;
  Instant m_lastProgress = absl::InfinitePast();
};

} // namespace turmericdyke
