#include "turmericdyke/src/Edge/EdgeServices.h"

#include <fmt/format.h>

#include "absl/time/clock.h"

namespace turmericdyke {

std::string EdgeServices::nextId() {
  return fmt::format("{}-{:x}-{}", m_node.str(), m_incarnation, m_nextId++);
}

std::uint64_t EdgeServices::renewOnceOnlyIncarnation(std::uint64_t Lost) {
  auto Fresh = static_cast<std::uint64_t>(absl::GetCurrentTimeNanos());
  m_onceOnlyIncarnation.compare_exchange_strong(Lost, Fresh);
  return m_onceOnlyIncarnation;
}

void EdgeServices::onRequest(const std::string &Pool) {
  absl::MutexLock Lock(&m_budgetLock);
  m_budgets[Pool].onRequest();
}

std::optional<absl::Duration>
EdgeServices::retryDelay(const std::string &Pool, const RetryRequest &Request,
                         const AttemptResult &Result) {
  absl::MutexLock Lock(&m_budgetLock);
  return decideRetry(monotonicNow(), RetryOptions(), Request, Result,
                     m_budgets[Pool], m_random);
}

} // namespace turmericdyke
