#include "turmericdyke/src/Groups/LoadPacer.h"

#include <algorithm>

namespace turmericdyke {

bool LoadPacer::tryTake(Instant Now, double Count) {
  if (Now > m_filled && m_filled != absl::InfinitePast())
    m_tokens = std::min(
        Burst, m_tokens + absl::ToDoubleSeconds(Now - m_filled) * m_rate);
  m_filled = Now;
  if (m_tokens < std::min(Count, Burst))
    return false;
  m_tokens -= Count;
  return true;
}

} // namespace turmericdyke
