#include "turmericdyke/src/Requests/RetryBudget.h"

#include <algorithm>
#include <cassert>

namespace turmericdyke {

RetryBudget::RetryBudget(double Ratio, double Max)
    : m_ratio(Ratio), m_maxRetries(Max), m_available(Max) {
  assert(Ratio >= 0 && Ratio <= 1 && "the ratio must be in [0, 1]");
}

void RetryBudget::onRequest() {
  m_available = std::min(m_maxRetries, m_available + m_ratio);
}

bool RetryBudget::tryTake() {
  if (m_available < 1)
    return false;
  m_available -= 1;
  return true;
}

} // namespace turmericdyke
