#include "turmericdyke/src/Groups/LoadRateLimiter.h"

#include <algorithm>

namespace turmericdyke {

bool LoadRateLimiter::tryTake(Instant Now, double Count) {
  if (Now > m_refilled && m_refilled != absl::InfinitePast())
    m_tokens = std::min(
        Burst, m_tokens + absl::ToDoubleSeconds(Now - m_refilled) * m_rate);
  m_refilled = Now;
  if (m_tokens < std::min(Count, Burst))
    return false;
  m_tokens -= Count;
  return true;
}

} // namespace turmericdyke
