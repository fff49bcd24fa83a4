#include "turmericdyke/src/Coordinator/CoordinatorNode.h"

#include <algorithm>

#include "turmericdyke/src/Base/LogLine.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Delays that batch further changes before groups are planned and before the
/// feed is pushed.
constexpr absl::Duration PlanDelay = absl::Milliseconds(20);
/// Interval of planning without a change. Bounds the delay until a silent
/// server is detected.
constexpr absl::Duration PlanInterval = absl::Milliseconds(250);
/// Planning pauses for this multiple of the time that the last step took, so
/// that it uses a bounded part of the processor while the fleet changes
/// constantly.
constexpr double PlanPauseFactor = 5;
/// A step that was interrupted says little about its cost.
constexpr absl::Duration MaxPlanPause = absl::Milliseconds(100);
/// Servers respond to an order at once; after this time the order may have been
/// lost.
constexpr absl::Duration OrderTimeout = absl::Milliseconds(800);
/// A live server responds to a probe within some milliseconds.
constexpr absl::Duration ProbeTimeout = absl::Milliseconds(300);
/// A server that was heard from this recently is not probed.
constexpr absl::Duration RecentlyHeard = absl::Milliseconds(200);
/// One announcement interval of 1.2 s and a margin.
constexpr absl::Duration ProbeAfterSilence = absl::Milliseconds(1600);
/// A new leader collects announcements this long before it acts: two
/// announcement intervals of 1.2 s and a margin.
constexpr absl::Duration SettleTime = absl::Seconds(3);
/// A copy of the server list is refreshed at least once a second; an older copy
/// than this may lack new servers. An election after a leader that froze takes
/// two seconds.
constexpr absl::Duration MaxCopyAge = absl::Seconds(5);
/// The first leader ever has no groups to adopt. It waits for two announcement
/// intervals, so that all servers are known when groups are formed. Groups
/// formed from a part of the servers leave a model undersupplied for the rest
/// of the day.
constexpr absl::Duration FirstSettleTime = absl::Milliseconds(2400);
/// A server outside groups that was silent for this long is not published any
/// more. Announcements may be late by seconds, and entry nodes detect a crash
/// themselves.
constexpr absl::Duration UngroupedSilence = absl::Seconds(5);
/// A server that was silent for this long is removed.
constexpr absl::Duration RemoveAfterSilence = absl::Seconds(30);

} // namespace
} // namespace internal

void CoordinatorNode::updateLeadership() {
  Instant Now = monotonicNow();
  const NodeId &Leader = m_core->raft().leader();
  if (Leader != m_knownLeader) {
    LogLine(LogLevel::Info, Leader.empty() ? "leader_lost" : "leader_known")
        .field("node", m_settings.m_name)
        .field("leader", Leader)
        .field("term", m_core->raft().term());
    m_knownLeader = Leader;
  }
  bool Leads = m_core->leads(Now);
  if (!m_core->raft().isLeader() && m_ledTerm != 0)
    return stopLeading();
  if (Leads && m_ledTerm != m_core->raft().term()) {
    m_ledTerm = m_core->raft().term();
    m_leaderSince = Now;
    m_fencingToken = 0;
    m_planner.stop();
    m_demand.begin(Now);
    m_feed.reset();
    m_announcementRelay.clear();
    updateSuspects();
    inheritServers();
    coolReturnedServers();
    m_fenceTicket = m_core->submit(Now, ReserveFencingTokens{m_self, 1});
    schedulePlan();
  }
}

void CoordinatorNode::stopLeading() {
  m_ledTerm = 0;
  m_fenceTicket = 0;
  m_fencingToken = 0;
  m_planner.stop();
  setDemandMetrics(false);
  // Only a leader knows what entry nodes hold.
  refuseDepartures("no longer leads");
  m_crashes.reset();
  m_limits.clear();
  m_cold.clear();
  m_metrics.set("turmericdyke_cold_targets", 0);
  m_feed.reset();
  m_feedRelay.reset();
}

void CoordinatorNode::inheritServers() {
  Instant Now = monotonicNow();
  m_settled = false;
  m_directorySent.clear();
  m_trafficSeen = m_trafficSeen || m_directoryCopy.trafficSeen();
  m_inherited =
      m_directoryCopy.complete() && Now - m_copyUpdated < internal::MaxCopyAge;
  LogLine(LogLevel::Info, "servers_inherited")
      .field("node", m_settings.m_name)
      .field("taken", m_inherited)
      .field("servers", m_directoryCopy.servers().size())
      .field("copy_term", m_directoryCopy.term())
      .field("copy_age_ms",
             m_copyUpdated == absl::InfinitePast()
                 ? -1
                 : absl::ToInt64Milliseconds(Now - m_copyUpdated))
      .field("term", m_ledTerm);
  if (!m_inherited)
    return m_servers.clear();
  m_servers.inherit(Now, m_directoryCopy.servers());
  applyDepartures();
  for (const TargetId &Id : m_servers.unconfirmed(Now, internal::SettleTime))
    probe(Id);
}

bool CoordinatorNode::hasUnconfirmedServers() const {
  for (const TargetId &Id :
       m_servers.unconfirmed(monotonicNow(), internal::SettleTime)) {
    const ServiceEntry *Service =
        m_catalog.service(m_servers.find(Id)->m_announcement.m_service);
    if (Service == nullptr || Service->m_engine)
      return true;
  }
  return false;
}

void CoordinatorNode::updateSettled() {
  if (m_settled || m_fencingToken == 0)
    return;
  absl::Duration Wait =
      m_fencingToken == 1 ? internal::FirstSettleTime : internal::SettleTime;
  absl::Duration LeaderFor = monotonicNow() - m_leaderSince;
  m_settled = LeaderFor >= Wait || (m_inherited && !hasUnconfirmedServers());
  if (m_settled)
    LogLine(LogLevel::Info, "servers_heard")
        .field("node", m_settings.m_name)
        .field("servers", m_servers.all().size())
        .field("inherited", m_inherited)
        .field("term", m_ledTerm)
        .field("ms", absl::ToInt64Milliseconds(LeaderFor));
}

void CoordinatorNode::schedulePlan() {
  planAt(monotonicNow() + internal::PlanDelay);
}

void CoordinatorNode::planAt(Instant When) {
  When = std::max(When, m_planNotBefore);
  if (m_planTimer && m_planTimer.m_when <= When)
    return;
  m_loop.cancel(m_planTimer);
  m_planTimer = m_loop.at(When, [this] {
    m_planTimer = EventLoop::Timer{};
    plan();
  });
}

void CoordinatorNode::plan() {
  if (!leads() || m_ledTerm != m_core->raft().term())
    return;
  Instant Now = monotonicNow();
  for (const TargetId &Id : m_servers.expire(Now, internal::RemoveAfterSilence))
    LogLine(LogLevel::Info, "server_forgotten").field("target", Id);
  probeSilentServers();
  updateSettled();
  pushDirectory();
  m_trafficSeen = m_trafficSeen || m_feed.trafficSeen();
  if (m_fencingToken > 0 && m_catalog.m_version > 0) {
    if (!m_planner.leading()) {
      m_planner.lead(m_fencingToken);
      // Every later leader may find groups of an earlier one.
      if (m_fencingToken > 1)
        m_demand.expectGroups();
    }
    updateDemand(Now);
    GroupPlannerInput Input;
    Input.m_servers = &m_servers;
    Input.m_catalog = &m_catalog;
    Input.m_evacuated = &m_evacuated;
    // A leader that inherits nothing does not know whether requests have run.
    Input.m_trafficSeen = m_trafficSeen || (m_fencingToken > 1 && !m_inherited);
    noteRequests(Now, Input.m_trafficSeen);
    Input.m_requestsSince = m_requestsSince;
    Input.m_progress = m_progress;
    Input.m_settled = m_settled;
    Input.m_demand = &m_demand;
    for (const GroupOrder &Order : m_planner.step(Now, Input))
      sendOrder(Order);
    for (const GroupEvent &Event : m_planner.takeEvents())
      LogLine(LogLevel::Info, "group_phase")
          .field("group", Event.m_group)
          .field("model", Event.m_model)
          .field("phase", turmericdyke::nameOf(Event.m_phase))
          .field("reason", Event.m_reason)
          .field("fence", m_planner.fence());
  }
  publishTargets();
  Instant Ended = monotonicNow();
  m_planNotBefore = Ended + std::min((Ended - Now) * internal::PlanPauseFactor,
                                     internal::MaxPlanPause);
  m_metrics.observe("turmericdyke_plan_seconds",
                    absl::ToDoubleSeconds(Ended - Now), {});
  planAt(Now + internal::PlanInterval);
}

void CoordinatorNode::sendOrder(const GroupOrder &Order) {
  std::string Bytes = m_protocol.encodeOrder(Order, m_planner.fence());
  m_serverCalls->call(Order.m_address, std::move(Bytes), internal::OrderTimeout,
                      [this, Order](const ServerCallResult &Result) {
                        LogLine(LogLevel::Info, "order_answered")
                            .field("order", turmericdyke::nameOf(Order.m_kind))
                            .field("target", Order.m_target)
                            .field("group", Order.m_group)
                            .field("model", Order.m_model)
                            .field("status", Result.m_status);
                        if (m_planner.leading())
                          m_planner.onOrderResult(
                              monotonicNow(), Order,
                              m_protocol.readOrderResult(Result.m_status));
                        schedulePlan();
                      });
}

void CoordinatorNode::probe(const TargetId &Id) {
  Instant Now = monotonicNow();
  const ServerRecord *Server = m_servers.find(Id);
  if (Server == nullptr ||
      (!Server->m_inherited &&
       Now - Server->m_lastHeard < internal::RecentlyHeard))
    return;
  auto [LastProbe, New] = m_lastProbes.try_emplace(Id, absl::InfinitePast());
  if (Now - LastProbe->second < internal::ProbeTimeout)
    return;
  LastProbe->second = Now;
  const std::string &Address = Server->m_announcement.m_address;
  m_metrics.increment("turmericdyke_questions_total");
  m_serverCalls->call(Address, m_protocol.encodeProbe(Id, Address),
                      internal::ProbeTimeout,
                      [this, Id, Now](const ServerCallResult &Result) {
                        onProbeResult(Id, Now, Result);
                      });
}

void CoordinatorNode::onProbeResult(const TargetId &Id, Instant SentAt,
                                    const ServerCallResult &Result) {
  Instant Now = monotonicNow();
  if (m_protocol.isAlive(Result.m_status)) {
    std::optional<ServerReport> Report = m_protocol.readReport(Result.m_body);
    if (!Report)
      return m_servers.probeAnswered(Now, Id);
    m_servers.applyReport(SentAt, Now, Id, *Report);
    if (!m_settled)
      schedulePlan();
    return;
  }
  LogLine(LogLevel::Info, "server_unanswered")
      .field("target", Id)
      .field("refused", Result.m_refused)
      .field("unreachable", Result.m_unreachable)
      .field("status", Result.m_status);
  m_servers.probeFailed(SentAt, Id,
                        Result.m_refused       ? ProbeFailure::Refused
                        : Result.m_unreachable ? ProbeFailure::Unreachable
                                               : ProbeFailure::Unanswered);
  const ServerRecord *Server = m_servers.find(Id);
  if (Server != nullptr && !Server->failsProbes(Now))
    m_loop.at(std::max(Now, SentAt + internal::ProbeTimeout),
              [this, Id] { probe(Id); });
  schedulePlan();
}

void CoordinatorNode::probeSilentServers() {
  Instant Now = monotonicNow();
  std::vector<TargetId> Silent;
  for (const auto &[Id, Server] : m_servers.all())
    if (Now - Server.m_lastHeard >= internal::ProbeAfterSilence &&
        !Server.failsProbes(Now))
      Silent.push_back(Id);
  for (const TargetId &Id : Silent)
    probe(Id);
  auto Unknown = [this](const auto &Entry) {
    return m_servers.find(Entry.first) == nullptr;
  };
  std::erase_if(m_lastProbes, Unknown);
  std::erase_if(m_progress, Unknown);
}

void CoordinatorNode::onSuspects(const std::vector<TargetId> &Heads) {
  for (const TargetId &Head : Heads)
    for (const auto &[Epoch, Group] : m_planner.groups())
      if (Group.m_phase == GroupPhase::Serving && Group.head() == Head)
        for (const GroupPlanner::Member &Member : Group.m_members)
          probe(Member.m_id);
}

std::vector<ServingTarget> CoordinatorNode::servingTargets() const {
  std::vector<ServingTarget> Targets = allTargets();
  std::erase_if(Targets, [this](const ServingTarget &Target) {
    return m_evacuated.contains(Target.m_failureDomain);
  });
  return Targets;
}

std::vector<ServingTarget> CoordinatorNode::allTargets() const {
  Instant Now = monotonicNow();
  std::vector<ServingTarget> Targets;
  for (const auto &[Epoch, Group] : m_planner.groups()) {
    if (Group.m_phase != GroupPhase::Serving)
      continue;
    const ServerRecord *Head = m_servers.find(Group.head());
    const ServiceEntry *Service = m_catalog.service(Group.m_service);
    if (Head == nullptr || Service == nullptr || !Service->m_engine)
      continue;
    Targets.push_back(
        {Group.head(), Group.m_service, Head->m_announcement.m_address,
         Head->m_announcement.m_failureDomain, Group.m_model,
         Service->m_engine->m_slots, Epoch,
         static_cast<std::uint64_t>(Head->m_announcement.m_startMillis),
         m_cold.rate(Now, *Head, *Service, m_requestsSince)});
  }
  for (const auto &[Id, Server] : m_servers.all()) {
    const ServerAnnouncement &Announcement = Server.m_announcement;
    const ServiceEntry *Service = m_catalog.service(Announcement.m_service);
    if (Service == nullptr || Service->m_engine || Announcement.m_draining ||
        Server.isLost(Now, internal::UngroupedSilence))
      continue;
    auto Started = static_cast<std::uint64_t>(Announcement.m_startMillis);
    Targets.push_back({Id, Announcement.m_service, Announcement.m_address,
                       Announcement.m_failureDomain, "", Announcement.m_slots,
                       Started, Started,
                       m_cold.rate(Now, Server, *Service, m_requestsSince)});
  }
  return Targets;
}

void CoordinatorNode::publishTargets() {
  std::vector<ServingTarget> Targets = servingTargets();
  updateColdTargets(Targets);
  std::vector<TargetId> Departing = departingServers();
  std::vector<TargetId> Closed = Departing;
  // Entry nodes may hold targets of an earlier term until this leader knows all
  // servers, but not those that have left or are in evacuated failure domains.
  if (!m_settled || !m_planner.leading()) {
    for (TargetId &Id : evacuatedServers())
      Closed.push_back(std::move(Id));
    for (TargetId &Id : departedServers())
      Closed.push_back(std::move(Id));
  }
  m_feed.setTargets(monotonicNow(), Targets, Closed);
  for (const TargetId &Id : Departing)
    m_feed.requestConfirmation(Id);
  pushFeed();
  answerDepartures();
}

} // namespace turmericdyke
