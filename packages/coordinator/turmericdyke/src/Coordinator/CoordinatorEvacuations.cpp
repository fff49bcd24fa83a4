#include "turmericdyke/src/Coordinator/CoordinatorNode.h"

#include <algorithm>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "absl/time/clock.h"
#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Coordinator/ProductCalls.h"
#include "turmericdyke/src/Http/ServerExchange.h"

namespace turmericdyke {

namespace internal {
namespace {

/// An order on a failure domain whose evacuation ended this recently gets the
/// answer of the first one, even if no server there is known any more. Orders
/// are repeated for at most the users' bound on the acknowledgement, 5 s.
constexpr absl::Duration RepeatedOrders = absl::Seconds(30);

std::string_view nameOf(const EvacuationCall &Order) {
  return Order.m_evacuated ? "start" : "end";
}

} // namespace
} // namespace internal

std::set<FailureDomainId> CoordinatorNode::failureDomains() const {
  std::set<FailureDomainId> Known(m_settings.m_failureDomains.begin(),
                                  m_settings.m_failureDomains.end());
  for (const auto &[Id, Server] : m_servers.all())
    Known.insert(Server.m_announcement.m_failureDomain);
  for (const auto &[Node, Domain] : m_roster.domains())
    Known.insert(Domain);
  for (const auto &[Domain, Record] : m_core->state().evacuations())
    if (Record.m_inForce)
      Known.insert(Domain);
  // Servers without a failure domain are in none.
  Known.erase(FailureDomainId());
  return Known;
}

bool CoordinatorNode::isKnown(const FailureDomainId &Domain) const {
  std::optional<Instant> Ended = m_evacuated.endedAt(Domain);
  return (Ended && monotonicNow() - *Ended < internal::RepeatedOrders) ||
         failureDomains().contains(Domain);
}

void CoordinatorNode::refuseEvacuation(ServerExchange &Exchange,
                                       const EvacuationCall &Call, int Status,
                                       const std::string &Reason) {
  m_metrics.increment(
      "turmericdyke_evacuation_orders_total",
      {{"order", internal::nameOf(Call)}, {"outcome", "refused"}});
  LogLine(LogLevel::Warning, "evacuation_order_refused")
      .field("order", internal::nameOf(Call))
      .field("failure_domain", Call.m_failureDomain)
      .field("status", Status)
      .field("reason", Reason);
  Exchange.respond(m_protocol.errorResponse(Status, Reason));
}

void CoordinatorNode::handle(const std::shared_ptr<ServerExchange> &Exchange,
                             const EvacuationCall &Call) {
  if (m_storageFailed)
    return refuseEvacuation(*Exchange, Call, 503, "storage failed");
  if (!leads() || m_stopping)
    return redirect(*Exchange);
  if (!isKnown(Call.m_failureDomain)) {
    // A new leader does not know all servers yet.
    if (!m_settled || m_ledTerm != m_core->raft().term())
      return refuseEvacuation(*Exchange, Call, 503,
                              "the servers are not known yet");
    return refuseEvacuation(*Exchange, Call, 404,
                            fmt::format("no failure domain {} is known",
                                        Call.m_failureDomain.str()));
  }
  Instant Now = monotonicNow();
  // A repeated order is submitted too: it reaches coordinators that lack the
  // first one, because an older version took a snapshot without it.
  std::uint64_t Ticket = m_core->submitAsLeader(
      Now, SetEvacuation{Call.m_failureDomain, Call.m_evacuated});
  m_pendingEvacuations[Ticket] = {Call, Exchange, Now};
  m_core->tick(Now, absl::Now(), m_random);
  runCore();
}

void CoordinatorNode::onEvacuationDone(const Completion &Done) {
  auto Found = m_pendingEvacuations.find(Done.m_ticket);
  if (Found == m_pendingEvacuations.end())
    return;
  PendingEvacuation Pending = std::move(Found->second);
  m_pendingEvacuations.erase(Found);
  bool Committed = Done.m_status == SubmitStatus::Committed &&
                   std::holds_alternative<CommandApplied>(Done.m_result);
  m_metrics.increment("turmericdyke_evacuation_orders_total",
                      {{"order", internal::nameOf(Pending.m_call)},
                       {"outcome", Committed ? "committed" : "unknown"}});
  LogLine(LogLevel::Info, "evacuation_order_answered")
      .field("order", internal::nameOf(Pending.m_call))
      .field("failure_domain", Pending.m_call.m_failureDomain)
      .field("committed", Committed)
      .field("ms",
             absl::ToInt64Milliseconds(monotonicNow() - Pending.m_received));
  Pending.m_exchange->respond(
      Committed ? evacuationResponse(Pending.m_call)
                : m_protocol.errorResponse(503, "not known to be in force"));
}

void CoordinatorNode::refusePendingEvacuations(const std::string &Reason) {
  for (const auto &[Ticket, Pending] : std::exchange(m_pendingEvacuations, {}))
    Pending.m_exchange->respond(m_protocol.errorResponse(503, Reason));
}

void CoordinatorNode::applyEvacuations() {
  std::vector<FailureDomainId> Changed =
      m_evacuated.update(monotonicNow(), m_core->state().evacuations());
  if (Changed.empty())
    return;
  for (const FailureDomainId &Domain : Changed)
    LogLine(LogLevel::Info, m_evacuated.contains(Domain) ? "evacuation_in_force"
                                                         : "evacuation_ended")
        .field("node", m_settings.m_name)
        .field("failure_domain", Domain)
        .field("index", m_core->state().appliedIndex())
        .field("leads", m_ledTerm != 0);
  coolReturnedServers();
  if (!leads() || m_ledTerm != m_core->raft().term())
    return;
  // Planning may pause for up to 100 ms after an expensive step.
  publishTargets();
  schedulePlan();
}

void CoordinatorNode::coolReturnedServers() {
  for (const auto &[Domain, Record] : m_core->state().evacuations())
    if (std::optional<Instant> Ended = m_evacuated.endedAt(Domain))
      m_servers.countAsStarted(Domain, *Ended);
}

std::vector<TargetId> CoordinatorNode::evacuatedServers() const {
  std::vector<TargetId> Servers;
  if (m_evacuated.size() > 0)
    for (const auto &[Id, Server] : m_servers.all())
      if (!m_evacuated.mayUse(Server.m_announcement))
        Servers.push_back(Id);
  return Servers;
}

std::vector<FailureDomainStatus> CoordinatorNode::failureDomainStatus() const {
  std::map<FailureDomainId, FailureDomainStatus> All;
  for (const FailureDomainId &Domain : failureDomains())
    All[Domain] = {Domain, m_evacuated.contains(Domain)};
  for (const auto &[Id, Server] : m_servers.all())
    if (auto At = All.find(Server.m_announcement.m_failureDomain);
        At != All.end())
      ++At->second.m_servers;
  for (const ServingTarget &Target : allTargets())
    if (auto At = All.find(Target.m_failureDomain); At != All.end())
      ++At->second.m_targets;
  // Also at targets that are no longer published.
  for (const auto &[Id, Requests] : m_feed.uses())
    if (const ServerRecord *Server = m_servers.find(Id))
      if (auto At = All.find(Server->m_announcement.m_failureDomain);
          At != All.end())
        At->second.m_requests += Requests;
  std::vector<FailureDomainStatus> List;
  List.reserve(All.size());
  for (auto &[Domain, Status] : All)
    List.push_back(std::move(Status));
  return List;
}

void CoordinatorNode::handle(const std::shared_ptr<ServerExchange> &Exchange,
                             const ListEvacuationsCall &) {
  if (!leads() || m_stopping)
    return redirect(*Exchange);
  Exchange->respond(evacuationListResponse(failureDomainStatus()));
}

void CoordinatorNode::setEvacuationMetrics() {
  m_metrics.set("turmericdyke_evacuated_failure_domains",
                static_cast<double>(m_evacuated.size()));
  if (m_ledTerm == 0 || !m_core)
    return;
  for (const FailureDomainStatus &Status : failureDomainStatus())
    m_metrics.set("turmericdyke_failure_domain_requests",
                  static_cast<double>(Status.m_requests),
                  {{"failure_domain", Status.m_failureDomain.str()}});
}

} // namespace turmericdyke
