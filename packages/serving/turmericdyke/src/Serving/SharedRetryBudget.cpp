#include "turmericdyke/src/Serving/SharedRetryBudget.h"

#include <algorithm>

namespace turmericdyke {

namespace internal {
namespace {

/// Fraction of the limit that is used. Nodes may briefly disagree on their
/// number, and a restarted node begins with a full budget.
constexpr double UsedShare = 0.7;
/// Fraction of the slack that may be spent at once. The rest is refilled over
/// the window, so that no window exceeds the limit.
constexpr double BurstShare = 0.5;

} // namespace
} // namespace internal

SharedRetryBudget::SharedRetryBudget(SharedRetryBudgetOptions Options)
    : m_options(Options) {}

double SharedRetryBudget::maxTokens() const {
  double Share =
      m_options.m_slack * internal::UsedShare * internal::BurstShare / m_nodes;
  // A node that can never hold a whole token can never retry. All nodes may
  // hold one as long as these and the refill stay within the limit.
  double Refill =
      m_options.m_slack * internal::UsedShare * (1 - internal::BurstShare);
  bool WholeTokensFit = m_nodes + Refill <= m_options.m_slack;
  return WholeTokensFit ? std::max(1.0, Share) : Share;
}

void SharedRetryBudget::setNodes(double Nodes) {
  m_nodes = std::max(1.0, Nodes);
  m_tokens = std::min(m_tokens, maxTokens());
}

void SharedRetryBudget::refill(Instant Now) {
  if (!m_started) {
    m_started = true;
    m_tokens = maxTokens();
  } else if (Now > m_refilled) {
    double Rate = m_options.m_slack * internal::UsedShare *
                  (1 - internal::BurstShare) / m_nodes /
                  absl::ToDoubleSeconds(m_options.m_window);
    m_tokens = std::min(
        maxTokens(), m_tokens + absl::ToDoubleSeconds(Now - m_refilled) * Rate);
  }
  m_refilled = Now;
}

void SharedRetryBudget::onRequest(Instant Now) {
  refill(Now);
  m_tokens =
      std::min(maxTokens(), m_tokens + m_options.m_ratio * internal::UsedShare);
}

bool SharedRetryBudget::tryTake(Instant Now) {
  refill(Now);
  if (m_tokens < 1)
    return false;
  m_tokens -= 1;
  return true;
}

double SharedRetryBudget::available(Instant Now) {
  refill(Now);
  return m_tokens;
}

} // namespace turmericdyke
