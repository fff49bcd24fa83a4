#include "turmericdyke/src/Serving/RepeatAllowance.h"

#include <algorithm>

namespace turmericdyke {

namespace internal {
namespace {

/// Part of the bound that is used: nodes may disagree for a moment on how many
/// they are, and a restarted node begins with a full allowance.
constexpr double UsedShare = 0.7;
/// Part of the slack that may be spent at once; the rest comes back over the
/// window, so that no window holds more than the whole.
constexpr double BurstShare = 0.5;

} // namespace
} // namespace internal

RepeatAllowance::RepeatAllowance(RepeatAllowanceOptions Options)
    : m_options(Options) {}

double RepeatAllowance::mostTokens() const {
  return m_options.m_slack * internal::UsedShare * internal::BurstShare /
         m_nodes;
}

void RepeatAllowance::setNodes(double Nodes) {
  m_nodes = std::max(1.0, Nodes);
  m_tokens = std::min(m_tokens, mostTokens());
}

void RepeatAllowance::refill(Instant Now) {
  if (!m_started) {
    m_started = true;
    m_tokens = mostTokens();
  } else if (Now > m_refilled) {
    double Rate = m_options.m_slack * internal::UsedShare *
                  (1 - internal::BurstShare) / m_nodes /
                  absl::ToDoubleSeconds(m_options.m_window);
    m_tokens =
        std::min(mostTokens(),
                 m_tokens + absl::ToDoubleSeconds(Now - m_refilled) * Rate);
  }
  m_refilled = Now;
}

void RepeatAllowance::onRequest(Instant Now) {
  refill(Now);
  m_tokens = std::min(mostTokens(),
                      m_tokens + m_options.m_ratio * internal::UsedShare);
}

bool RepeatAllowance::tryTake(Instant Now) {
  refill(Now);
  if (m_tokens < 1)
    return false;
  m_tokens -= 1;
  return true;
}

double RepeatAllowance::available(Instant Now) {
  refill(Now);
  return m_tokens;
}

} // namespace turmericdyke
