#include "turmericdyke/src/Edge/EdgeServices.h"

#include <fmt/format.h>

namespace turmericdyke {

std::string EdgeServices::nextId() {
  return fmt::format("{}-{:x}-{}", m_node.str(), m_incarnation, m_nextId++);
}

void EdgeServices::onRequest(const std::string &Pool) {
  absl::MutexLock Lock(&m_budgetLock);
  m_budgets[Pool].onRequest();
}

} // namespace turmericdyke
