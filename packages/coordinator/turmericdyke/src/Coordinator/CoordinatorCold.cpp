#include <algorithm>

#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Coordinator/CoordinatorNode.h"
#include "turmericdyke/src/Groups/ColdServer.h"

namespace turmericdyke {

namespace internal {
namespace {

/// The lease of an entry node and a margin.
constexpr absl::Duration LendAfter = absl::Seconds(5);
/// Fewer nodes use most of the rate by equal parts, which work without a
/// leader.
constexpr std::int64_t MinNodesToLend = 12;

} // namespace
} // namespace internal

void CoordinatorNode::noteRequests(Instant Now, bool Run) {
  if (!Run || m_requestsSince != absl::InfiniteFuture())
    return;
  m_requestsSince =
      requestsSince(Now, {m_fencingToken == 1, m_inherited, m_settled});
}

bool CoordinatorNode::mayLendColdRates() const {
  Instant Now = monotonicNow();
  // Nodes that do not hear this leader yet may use their equal parts. They have
  // no lease any more by then.
  return Now - m_leaderSince >= internal::LendAfter && !m_feed.hasRelays() &&
         m_feed.entryNodes(Now) >= internal::MinNodesToLend;
}

void CoordinatorNode::updateColdTargets(std::vector<ServingTarget> &Targets) {
  std::vector<ColdTargets::Change> Changes =
      m_cold.update(absl::MakeSpan(Targets), mayLendColdRates());
  m_feed.coldGrants().setTargets(monotonicNow(), Targets);
  for (const ColdTargets::Change &Change : Changes) {
    const ServerRecord *Server = m_servers.find(Change.m_target);
    bool Cold = Change.m_perSecond.has_value();
    m_metrics.increment("turmericdyke_cold_changes_total",
                        {{"change", Cold ? "cold" : "warm"}});
    LogLine(LogLevel::Info, Cold ? "target_cold" : "target_warm")
        .field("target", Change.m_target)
        .field("per_second", Change.m_perSecond.value_or(0))
        .field("stated", Server != nullptr &&
                             Server->m_announcement.m_coldUntil.has_value())
        .field("stated_ms", Server == nullptr
                                ? 0
                                : absl::ToInt64Milliseconds(std::max(
                                      absl::ZeroDuration(),
                                      Server->m_coldUntil - monotonicNow())))
        .field("lent", m_cold.isLent(Change.m_target))
        .field("term", m_ledTerm);
  }
  m_metrics.set("turmericdyke_cold_targets",
                static_cast<double>(m_cold.size()));
}

} // namespace turmericdyke
