#include "turmericdyke/src/Entry/EntryServices.h"

#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Fleet/EntryPeer.h"
#include "turmericdyke/src/Serving/PeerChoice.h"

namespace turmericdyke {

bool EntryServices::isInformed(Instant Now) const {
  return m_routes != nullptr && Now < m_feed.leaseUntil();
}

SharedRetryBudget &EntryServices::retryBudget(const ServiceId &Service) {
  auto [At, New] =
      m_retryBudgets.try_emplace(Service, m_settings.m_retryBudget);
  At->second.setNodes(static_cast<double>(m_feed.entryNodes()));
  return At->second;
}

PeerOption EntryServices::peerOption(Instant Now, const EntryPeer &Peer) const {
  TargetId Id(Peer.m_node.str());
  PeerOption Option;
  auto Used = m_peerUses.find(Id);
  Option.m_ownRequests = Used == m_peerUses.end() ? 0 : Used->second;
  Option.m_sameDomain = Peer.m_failureDomain == m_settings.m_failureDomain;
  Option.m_avoided = m_peerHealth.isAvoided(Now, Id);
  return Option;
}

std::vector<TargetId> EntryServices::targetsOf(const ServiceId &Service) const {
  std::vector<TargetId> Targets;
  for (const auto &[Id, Target] : m_feed.targets())
    if (Target.m_service == Service)
      Targets.push_back(Id);
  return Targets;
}

void EntryServices::recordConnection(const ServingTarget &Target, bool Works) {
  const ServiceId &Service = Target.m_service;
  TargetReach::Change Change =
      Works ? m_reach.connected(Service)
            : m_reach.connectFailed(monotonicNow(), Service, Target.m_id,
                                    targetsOf(Service).size());
  if (Change == TargetReach::Change::None)
    return;
  bool CutOff = Change == TargetReach::Change::CutOff;
  m_metrics.increment("turmericdyke_reach_changes_total",
                      {{"service", Service.str()},
                       {"change", CutOff ? "cut_off" : "regained"}});
  LogLine(CutOff ? LogLevel::Warning : LogLevel::Info,
          CutOff ? "targets_cut_off" : "targets_regained")
      .field("service", Service)
      .field("target", Target.m_id)
      .field("listed", targetsOf(Service).size())
      .field("peers", m_feed.peers().size());
  m_onReachChange(Service, Change);
}

} // namespace turmericdyke
