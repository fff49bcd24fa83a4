#include "turmericdyke/src/Coordinator/CoordinatorNode.h"

#include <fmt/format.h>

#include "absl/strings/str_join.h"
#include "absl/time/clock.h"
#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Base/LogSink.h"
#include "turmericdyke/src/Coordinator/DepartureRecords.h"
#include "turmericdyke/src/Coordinator/ProductCalls.h"
#include "turmericdyke/src/Feed/FeedAssignment.h"
#include "turmericdyke/src/Http/ServerExchange.h"

namespace turmericdyke {

std::string CoordinatorNode::controlAddressOf(const NodeId &Node) const {
  std::string_view Peer = Node.str();
  std::string_view Own = m_settings.m_controlAddress;
  return std::string(Peer.substr(0, Peer.rfind(':'))) +
         std::string(Own.substr(Own.rfind(':')));
}

void CoordinatorNode::onCall(std::shared_ptr<ServerExchange> Exchange) {
  std::optional<ControlCall> Call = readProductCall(Exchange->request());
  if (!Call)
    Call = m_protocol.readCall(Exchange->request());
  std::visit([&](const auto &Kind) { handle(Exchange, Kind); }, *Call);
}

void CoordinatorNode::handle(const std::shared_ptr<ServerExchange> &Exchange,
                             const InvalidCall &Call) {
  m_metrics.increment("turmericdyke_control_calls_refused_total");
  LogLine(LogLevel::Warning, "control_call_refused")
      .field("target", Exchange->request().m_target)
      .field("status", Call.m_status)
      .field("reason", Call.m_reason);
  Exchange->respond(m_protocol.errorResponse(Call.m_status, Call.m_reason));
}

void CoordinatorNode::redirect(ServerExchange &Exchange) {
  NodeId Leader = leader();
  if (Leader.empty() || Leader == m_self)
    return Exchange.respond(
        m_protocol.errorResponse(503, "no leader is known"));
  HttpResponse Response;
  Response.m_status = 307;
  Response.m_fields.add("Location",
                        fmt::format("http://{}{}", controlAddressOf(Leader),
                                    Exchange.request().m_target));
  Exchange.respond(Response);
}

void CoordinatorNode::handle(const std::shared_ptr<ServerExchange> &Exchange,
                             const PutRoutingCall &Call) {
  Result<Catalog, CatalogError> Parsed =
      m_protocol.readCatalog(Call.m_document);
  std::optional<CatalogError> Error;
  if (!Parsed)
    Error = Parsed.error();
  else
    Error = validateCatalog(Parsed.value());
  if (Error) {
    LogLine(LogLevel::Warning, "routing_refused")
        .field("version", Parsed ? Parsed.value().m_version : 0)
        .field("place", Error->m_place)
        .field("reason", Error->m_message);
    return Exchange->respond(m_protocol.errorResponse(
        400, Error->m_place + ": " + Error->m_message));
  }
  if (m_storageFailed)
    return Exchange->respond(m_protocol.errorResponse(503, "storage failed"));
  if (!m_core || m_stopping)
    return redirect(*Exchange);
  std::uint64_t Version = Parsed.value().m_version;
  if (leads() && Version <= m_catalog.m_version) {
    LogLine(LogLevel::Info, "routing_put_overtaken")
        .field("version", Version)
        .field("in_force", m_catalog.m_version);
    return Exchange->respond(HttpResponse());
  }
  std::uint64_t Ticket =
      m_core->submit(monotonicNow(), SetRouting{Version, Call.m_document});
  LogLine(LogLevel::Info, "routing_put_submitted")
      .field("version", Version)
      .field("ticket", Ticket)
      .field("leader", m_core->raft().leader());
  m_pendingPuts[Ticket] = Exchange;
  m_core->tick(monotonicNow(), absl::Now(), m_random);
  runCore();
}

void CoordinatorNode::handle(const std::shared_ptr<ServerExchange> &Exchange,
                             const GetRoutingCall &) {
  if (!leads())
    return redirect(*Exchange);
  if (!m_core->stateIsCurrent())
    return Exchange->respond(
        m_protocol.errorResponse(503, "the newest change is not applied yet"));
  if (m_catalog.m_version == 0)
    return Exchange->respond(
        m_protocol.errorResponse(503, "no routing document is in force yet"));
  Exchange->respond(m_protocol.documentResponse(m_document));
}

void CoordinatorNode::handle(const std::shared_ptr<ServerExchange> &Exchange,
                             const AnnounceCall &Call) {
  const ServerAnnouncement &Announcement = Call.m_announcement;
  bool Leads = leads() && !m_stopping;
  if (!Leads && !mayRelay(Announcement))
    return redirect(*Exchange);
  m_metrics.increment("turmericdyke_announcements_total");
  if (!Leads) {
    m_announcementRelay.add(Announcement, m_directoryCopy);
    if (m_announcementRelay.hasChanges())
      relaySoon();
    return Exchange->respond(
        announcementResponse(Announcement, m_directoryCopy.size()));
  }
  accept(Announcement);
  HttpResponse Response =
      announcementResponse(Announcement, m_servers.all().size());
  if (!Announcement.m_draining)
    return Exchange->respond(Response);
  awaitDeparture(Departure::Draining,
                 {Announcement.m_id, Announcement.m_startMillis}, Exchange,
                 std::move(Response));
}

void CoordinatorNode::accept(ServerAnnouncement Announcement) {
  ServerIncarnation Life{Announcement.m_id, Announcement.m_startMillis};
  if (isWithdrawn(m_core->state(), Life))
    return m_metrics.increment("turmericdyke_withdrawn_announcements_total");
  // Earlier announcements may arrive after the one that drains.
  Announcement.m_draining =
      Announcement.m_draining || isDraining(m_core->state(), Life);
  AnnouncementResult Outcome = m_servers.announce(monotonicNow(), Announcement);
  if (Outcome != AnnouncementResult::Changed)
    return;
  LogLine(LogLevel::Info, "server_changed")
      .field("target", Announcement.m_id)
      .field("service", Announcement.m_service)
      .field("address", Announcement.m_address)
      .field("domain", Announcement.m_fabricDomain)
      .field("draining", Announcement.m_draining)
      .field("born_ms", Announcement.m_startMillis)
      .field("sequence", Announcement.m_sequence)
      .field("group", Announcement.m_group ? Announcement.m_group->m_group : "")
      .field("state", Announcement.m_group
                          ? turmericdyke::nameOf(Announcement.m_group->m_state)
                          : "none")
      .field("model", Announcement.m_model)
      .field("staged", absl::StrJoin(Announcement.m_stagedModels, ","));
  if (Announcement.m_draining)
    pushDirectory();
  schedulePlan();
}

bool CoordinatorNode::mayRelay(const ServerAnnouncement &Announcement) const {
  // The response to a draining server promises that it gets no new requests, so
  // only the leader may give it.
  return !m_stopping && !leads() && !Announcement.m_draining &&
         m_feedRelay.isFresh(monotonicNow()) &&
         m_directoryCopy.term() == m_feedRelay.term();
}

HttpResponse
CoordinatorNode::announcementResponse(const ServerAnnouncement &Announcement,
                                      std::size_t Servers) const {
  NodeId Leader = leader();
  NodeId Assigned = assignedCoordinator(
      {Announcement.m_id.str(), Announcement.m_failureDomain},
      static_cast<std::int64_t>(Servers), MaxServersOfLeader,
      Leader.empty() ? m_self : Leader, m_roster.live(monotonicNow()),
      m_roster.domains());
  return m_protocol.announcementResponse(controlAddressOf(Assigned));
}

void CoordinatorNode::onMetrics(
    const std::shared_ptr<ServerExchange> &Exchange) {
  m_metrics.set("turmericdyke_leads", leads() ? 1 : 0);
  m_metrics.set("turmericdyke_connection_memory_bytes",
                static_cast<double>(m_connectionBudget->total()));
  m_metrics.set("turmericdyke_connection_memory_limit_bytes",
                static_cast<double>(m_connectionBudget->limit()));
  m_metrics.set("turmericdyke_servers",
                static_cast<double>(m_servers.all().size()));
  m_metrics.set("turmericdyke_groups",
                static_cast<double>(m_planner.groups().size()));
  setEvacuationMetrics();
  m_metrics.set("turmericdyke_loop_turns_total",
                static_cast<double>(m_loop.turns()));
  m_metrics.set("turmericdyke_log_lines_dropped",
                static_cast<double>(LogSink::standard().dropped()));
  HttpResponse Response;
  Response.m_fields.add("Content-Type", "text/plain; version=0.0.4");
  Response.m_body = m_metrics.prometheusText();
  Exchange->respond(Response);
}

} // namespace turmericdyke
