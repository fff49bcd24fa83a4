#include "turmericdyke/src/Admission/YieldPolicy.h"

#include <cassert>

namespace turmericdyke {

YieldPolicy::YieldPolicy(YieldOptions Options) : m_options(Options) {
  assert(Options.m_maxYields >= 0 && "the number of yields must be bounded");
}

bool YieldPolicy::shouldYield(Instant Now, Instant RunningSince,
                              std::int64_t Yields,
                              Instant ShortDeadline) const {
  if (Yields >= m_options.m_maxYields)
    return false;
  if (Now - RunningSince < m_options.m_minRun)
    return false;
  return ShortDeadline - Now <= m_options.m_urgentSlack;
}

} // namespace turmericdyke
