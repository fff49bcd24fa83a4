#include "turmericdyke/src/Serving/BufferBudget.h"

#include <utility>

namespace turmericdyke {

bool BufferShare::resize(std::size_t Bytes) {
  std::size_t Before = std::exchange(m_bytes, Bytes);
  m_budget.m_total = m_budget.m_total - Before + Bytes;
  if (Before == 0 && Bytes > 0)
    ++m_budget.m_holders;
  if (Before > 0 && Bytes == 0)
    --m_budget.m_holders;
  return Bytes <= Before || m_budget.m_total <= m_budget.m_limit ||
         Bytes <= m_budget.m_limit / m_budget.m_holders;
}

} // namespace turmericdyke
