#include "turmericdyke/src/Http/ConnectionBudget.h"

#include "turmericdyke/src/Http/ConnectionShare.h"

namespace turmericdyke {

bool ConnectionBudget::mayRun(std::size_t Held, std::size_t More) const {
  return Held + More <= OrdinaryBytes ? fits(More) : m_total + More <= m_limit;
}

BudgetHolder *ConnectionBudget::largestIncomplete() const {
  return m_incomplete.empty() ? nullptr
                              : m_incomplete.rbegin()->second->m_owner;
}

BudgetHolder *ConnectionBudget::incompleteToEnd() const {
  if (!isUsedUp() || m_incomplete.empty())
    return nullptr;
  bool Ordinary = m_incomplete.rbegin()->first <= OrdinaryBytes;
  return Ordinary && fits(0) ? nullptr : largestIncomplete();
}

BudgetHolder *ConnectionBudget::unreadToEnd(Instant Now) const {
  if (!isUsedUp() || m_unread.empty())
    return nullptr;
  if (!fits(0))
    return m_unread.rbegin()->second->m_owner;
  for (auto At = m_unread.rbegin(); At != m_unread.rend(); ++At)
    if (Now - At->second->m_lastProgress >= UnreadPause)
      return At->second->m_owner;
  return nullptr;
}

} // namespace turmericdyke
