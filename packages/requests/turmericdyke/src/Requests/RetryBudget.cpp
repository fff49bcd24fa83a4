#include "turmericdyke/src/Requests/RetryBudget.h"

#include <algorithm>
#include <cassert>

namespace turmericdyke {

RetryBudget::RetryBudget(double Ratio, double Most)
    : m_ratio(Ratio), m_most(Most), m_available(Most) {
  assert(Ratio >= 0 && Ratio <= 1 && "the ratio is a share of the requests");
}

void RetryBudget::onRequest() {
  m_available = std::min(m_most, m_available + m_ratio);
}

bool RetryBudget::tryTake() {
  if (m_available < 1)
    return false;
  m_available -= 1;
  return true;
}

} // namespace turmericdyke
