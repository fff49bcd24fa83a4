#include "turmericdyke/src/Groups/ColdTargets.h"

#include <utility>

#include "turmericdyke/src/Catalog/Catalog.h"
#include "turmericdyke/src/Fleet/FeedMessage.h"
#include "turmericdyke/src/Groups/ColdServer.h"

namespace turmericdyke {

namespace internal {
namespace {

/// How long the rate is published after a server has become warm. Its own clock
/// may run slower, and announcements are milliseconds old.
constexpr absl::Duration WarmMargin = absl::Milliseconds(300);

} // namespace
} // namespace internal

std::optional<double> ColdTargets::rate(Instant Now, const ServerRecord &Server,
                                        const ServiceEntry &Service,
                                        Instant RequestsSince) const {
  if (Service.m_coldPerSecond <= 0 ||
      coldUntil(Server, Service, RequestsSince) + internal::WarmMargin <= Now)
    return std::nullopt;
  return (Service.m_coldPerSecond * m_bounds.m_overage + m_bounds.m_slack) / 2;
}

std::vector<ColdTargets::Change>
ColdTargets::update(absl::Span<ServingTarget> Targets, bool MayLend) {
  std::map<TargetId, bool> Cold;
  std::vector<Change> Changes;
  for (ServingTarget &Target : Targets) {
    if (!Target.m_coldPerSecond)
      continue;
    auto Known = m_cold.find(Target.m_id);
    Target.m_coldLent = Known == m_cold.end() ? MayLend : Known->second;
    Cold[Target.m_id] = Target.m_coldLent;
    if (Known == m_cold.end())
      Changes.push_back({Target.m_id, Target.m_coldPerSecond});
  }
  for (const auto &[Id, Lent] : m_cold)
    if (Cold.count(Id) == 0)
      Changes.push_back({Id, std::nullopt});
  m_cold = std::move(Cold);
  return Changes;
}

} // namespace turmericdyke
