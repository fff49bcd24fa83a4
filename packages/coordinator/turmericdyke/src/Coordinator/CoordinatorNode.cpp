#include "turmericdyke/src/Coordinator/CoordinatorNode.h"

#include <utility>

#include <fmt/format.h>

#include "absl/strings/str_join.h"
#include "absl/time/clock.h"
#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Base/LogSink.h"
#include "turmericdyke/src/Http/ServerExchange.h"
#include "turmericdyke/src/Node/CoreCodec.h"
#include "turmericdyke/src/Peer/PeerTransport.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Interval at which `ControlCore` must be ticked.
constexpr absl::Duration CoreTick = absl::Milliseconds(20);
constexpr absl::Duration RosterInterval = absl::Seconds(1);
/// Delays that batch further changes before groups are planned and before the
/// feed is pushed.
constexpr absl::Duration PlanDelay = absl::Milliseconds(20);
constexpr absl::Duration PushDelay = absl::Milliseconds(10);
/// Interval of planning without a change. Bounds the delay until a silent
/// server is detected.
constexpr absl::Duration PlanInterval = absl::Milliseconds(250);
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
/// How long a stop waits for another voter to take over leadership, and for
/// running calls.
constexpr absl::Duration StopWait = absl::Seconds(2);
constexpr absl::Duration StopPollInterval = absl::Milliseconds(50);
/// A full or failing disk rarely recovers within a second. The delay avoids a
/// tight restart loop.
constexpr absl::Duration StorageRestartDelay = absl::Seconds(4);

std::string_view nameOf(RaftEventKind Kind) {
  constexpr std::string_view Names[] = {"leadership_gained", "leadership_lost",
                                        "voter_rolled_back", "identity_revoked",
                                        "voters_committed",  "transfer_failed",
                                        "committed_conflict"};
  return Names[static_cast<std::size_t>(Kind)];
}

CoordinatorRosterOptions rosterOptions(const CoordinatorSettings &Settings) {
  CoordinatorRosterOptions Options;
  Options.m_voters = 2 * Settings.m_toleratedLosses + 1;
  return Options;
}

GroupPlannerOptions plannerOptions(const CoordinatorSettings &Settings) {
  GroupPlannerOptions Options;
  Options.m_headTimeout = Settings.m_headStall + absl::Seconds(1);
  return Options;
}

} // namespace
} // namespace internal

CoordinatorNode::CoordinatorNode(CoordinatorSettings Settings,
                                 const CoordinatorProtocol &Protocol)
    : m_settings(std::move(Settings)), m_protocol(Protocol),
      m_self(m_settings.m_peerAddress),
      m_roster(m_self, internal::rosterOptions(m_settings)),
      m_planner(internal::plannerOptions(m_settings)) {
  m_pool = std::make_unique<HttpClientPool>(
      m_loop, ClientConnectionOptions(),
      [this] { m_metrics.increment("turmericdyke_target_connects_total"); });
  m_serverCalls = std::make_unique<ServerCalls>(m_loop, *m_pool);
}

CoordinatorNode::~CoordinatorNode() {
  if (m_transport)
    m_transport->stop();
}

Result<void, CoordinatorError> CoordinatorNode::start() {
  auto Opened = DataDirectory::open(m_settings.m_dataDirectory);
  if (!Opened)
    return failure(CoordinatorError{Opened.error().m_message});
  for (const std::string &Notice : Opened.value().notices())
    LogLine(LogLevel::Warning, "data_directory_repaired")
        .field("notice", Notice);
  m_directory = std::move(Opened).value();
  m_controlServer = std::make_unique<HttpServer>(
      m_loop,
      [this](std::shared_ptr<ServerExchange> Exchange) {
        onCall(std::move(Exchange));
      },
      [this](HttpServerEvent Event) {
        m_metrics.increment("turmericdyke_control_events_total",
                            {{"event", turmericdyke::nameOf(Event)}});
      });
  m_metricsServer = std::make_unique<HttpServer>(
      m_loop,
      [this](const std::shared_ptr<ServerExchange> &Exchange) {
        onMetrics(Exchange);
      },
      [](HttpServerEvent) {});
  for (auto [Server, Address] :
       {std::pair{m_controlServer.get(), m_settings.m_controlAddress},
        std::pair{m_metricsServer.get(), m_settings.m_metricsAddress}}) {
    if (Address.empty())
      continue;
    if (Result<void, SocketError> Listening = Server->listen(Address);
        !Listening)
      return failure(CoordinatorError{Listening.error().m_message});
  }
  PeerTransportOptions Options;
  Options.m_identity.m_node = m_self;
  Options.m_identity.m_incarnation =
      static_cast<std::uint64_t>(absl::GetCurrentTimeNanos());
  Options.m_identity.m_address = m_settings.m_peerAddress;
  Options.m_listenAddress = m_settings.m_peerAddress;
  Options.m_clusterSecret = m_settings.m_clusterSecret;
  auto Transport =
      PeerTransport::start(Options, [this](ReceivedMessage Message) {
        m_loop.post(
            [this, Received = std::move(Message)] { onPeerMessage(Received); });
      });
  if (!Transport)
    return failure(CoordinatorError{Transport.error().m_message});
  m_transport = std::move(Transport).value();
  LogSink::standard().setBuffering(true);
  m_loop.setAfterTurn([] { LogSink::standard().flush(); });
  LogLine(LogLevel::Info, "coordinator_started")
      .field("node", m_settings.m_name)
      .field("control", m_settings.m_controlAddress)
      .field("peer", m_settings.m_peerAddress)
      .field("identity", m_directory->identity())
      .field("first_start", m_settings.m_firstStart)
      .field("empty", m_directory->isEmpty());
  m_roster.addSeeds(monotonicNow(), m_settings.m_seeds);
  tickRoster();
  if (m_directory->isEmpty()) {
    m_bootstrap.emplace(m_self, m_directory->identity(), m_settings.m_seeds,
                        m_settings.m_firstStart);
    stepBootstrap();
  } else {
    startCore(m_directory->load());
  }
  return success();
}

void CoordinatorNode::run() {
  m_loop.run();
  LogSink::standard().setBuffering(false);
}

void CoordinatorNode::requestReload(CoordinatorSettings Settings) {
  m_loop.post([this, Seeds = std::move(Settings.m_seeds)] {
    m_roster.addSeeds(monotonicNow(), Seeds);
    LogLine(LogLevel::Info, "settings_reloaded")
        .field("node", m_settings.m_name)
        .field("seeds", Seeds.size());
  });
}

void CoordinatorNode::stepBootstrap() {
  if (m_core)
    return;
  if (m_bootstrap->voters()) {
    auto Written = m_directory->bootstrap(*m_bootstrap->voters());
    if (!Written) {
      LogLine(LogLevel::Error, "bootstrap_failed")
          .field("reason", Written.error().m_message);
      return m_loop.stop();
    }
  }
  if (m_bootstrap->voters() || m_bootstrap->mustJoin()) {
    LogLine(LogLevel::Info,
            m_bootstrap->voters() ? "cluster_formed" : "joining_as_learner")
        .field("node", m_settings.m_name)
        .field("identity", m_directory->identity());
    return startCore(m_directory->load());
  }
  sendAll(m_bootstrap->tick(monotonicNow()));
  // The bootstrap limits itself to one send per 200 ms.
  m_loop.after(internal::CoreTick, [this] { stepBootstrap(); });
}

void CoordinatorNode::onBootstrapMessage(const ReceivedMessage &Message) {
  Result<CoreMessage, PeerError> Parsed =
      decodeCoreMessage(Message.m_kind, Message.m_bytes);
  if (Parsed && m_bootstrap)
    m_bootstrap->receive(Message.m_from,
                         std::get<BootstrapMessage>(Parsed.value()));
}

void CoordinatorNode::startCore(const PersistentState &State) {
  ControlCoreOptions Options;
  Options.m_node = m_self;
  Options.m_incarnation =
      static_cast<std::uint64_t>(absl::GetCurrentTimeNanos());
  Options.m_peers = m_roster.others();
  m_core.emplace(std::move(Options), State, monotonicNow(), m_random);
  m_driver.emplace(*m_core, &*m_directory, [this](const ControlOutput &Output) {
    processOutput(Output);
  });
  applyState();
  runCore();
  tickCore();
}

void CoordinatorNode::tickCore() {
  Instant Now = monotonicNow();
  m_core->tick(Now, absl::Now(), m_random);
  runCore();
  updateLeadership();
  m_loop.after(internal::CoreTick, [this] { tickCore(); });
}

void CoordinatorNode::runCore() {
  m_driver->processActions();
  if (!m_driver->storageFailed() || m_storageFailed)
    return;
  // The core has stopped taking part in consensus. A restart reads the
  // directory again.
  m_storageFailed = true;
  LogLine(LogLevel::Error, "coordinator_ends")
      .field("reason", "storage")
      .field("after_ms",
             absl::ToInt64Milliseconds(internal::StorageRestartDelay));
  m_loop.after(internal::StorageRestartDelay, [this] { m_loop.stop(); });
}

void CoordinatorNode::processOutput(const ControlOutput &Output) {
  sendAll(Output.m_messages);
  for (const RaftEvent &Value : Output.m_events)
    LogLine(LogLevel::Info, internal::nameOf(Value.m_kind))
        .field("node", m_settings.m_name)
        .field("subject", Value.m_voter.m_node)
        .field("term", m_core->raft().term())
        .field("commit", m_core->raft().commitIndex());
  if (Output.m_stateChanged)
    applyState();
  for (const Completion &Done : Output.m_completions) {
    if (Done.m_ticket == m_fenceTicket) {
      m_fenceTicket = 0;
      const auto *Granted = std::get_if<FencingTokensGranted>(&Done.m_result);
      if (Done.m_status == SubmitStatus::Committed && Granted != nullptr &&
          m_ledTerm == m_core->raft().term())
        m_fencingToken = Granted->m_first;
      continue;
    }
    auto Found = m_pendingPuts.find(Done.m_ticket);
    if (Found == m_pendingPuts.end())
      continue;
    const auto *Set = std::get_if<SetRoutingResult>(&Done.m_result);
    bool Committed = Done.m_status == SubmitStatus::Committed && Set != nullptr;
    LogLine(LogLevel::Info, "routing_put_answered")
        .field("ticket", Done.m_ticket)
        .field("committed", Committed)
        .field("in_force", Set != nullptr ? Set->m_version : 0)
        .field("replaced", Set != nullptr && Set->m_replaced);
    Found->second->respond(
        Committed ? HttpResponse()
                  : m_protocol.errorResponse(503, "not known to be in force"));
    m_pendingPuts.erase(Found);
  }
}

void CoordinatorNode::sendAll(const std::vector<AddressedMessage> &Messages) {
  for (const AddressedMessage &Message : Messages) {
    EncodedMessage Encoded = encodeCoreMessage(Message.m_message);
    // A coordinator's identifier is its address.
    auto Sent = m_transport->sendTo(Message.m_to.str(), Encoded.m_kind,
                                    std::move(Encoded.m_bytes));
    if (!Sent)
      m_metrics.increment("turmericdyke_peer_messages_dropped_total",
                          {{"peer", Message.m_to.str()}});
  }
}

void CoordinatorNode::onPeerMessage(const ReceivedMessage &Message) {
  Instant Now = monotonicNow();
  if (Message.m_kind == PeerMessageKind::FeedRequest) {
    Result<FeedRequest, PeerError> Parsed = decodeFeedRequest(Message.m_bytes);
    if (!Parsed || Parsed.value().m_node != Message.m_from)
      return m_metrics.increment("turmericdyke_peer_messages_refused_total");
    if (leads()) {
      onSuspects(Parsed.value().m_suspects);
      for (const TargetId &Progressing : Parsed.value().m_progressing)
        m_progress[Progressing] = Now;
    }
    FeedUpdate Update = m_feed.respond(Now, Parsed.value(), feedContext());
    // A lost response is requested again.
    (void)m_transport->sendTo(Message.m_fromAddress,
                              PeerMessageKind::FeedUpdate, encode(Update));
    return;
  }
  m_roster.heardFrom(Now, Message.m_from);
  if (Message.m_kind == PeerMessageKind::Roster) {
    Result<RosterMessage, PeerError> Parsed = decodeRoster(Message.m_bytes);
    if (!Parsed)
      return m_metrics.increment("turmericdyke_peer_messages_refused_total");
    for (const NodeId &Node : Parsed.value().m_known)
      m_roster.discovered(Now, Node);
    if (m_ledTerm == 0)
      return;
    // Updates that were lost are sent again from this sequence number.
    m_directorySent[Message.m_from] =
        Parsed.value().m_directoryTerm == m_ledTerm
            ? Parsed.value().m_directorySequence
            : 0;
    return sendDirectory(Message.m_from);
  }
  if (Message.m_kind == PeerMessageKind::DirectoryUpdate) {
    Result<DirectoryUpdate, PeerError> Parsed =
        decodeDirectoryUpdate(Message.m_bytes);
    if (!Parsed)
      return m_metrics.increment("turmericdyke_peer_messages_refused_total");
    if (m_directoryCopy.receive(Parsed.value()))
      m_copyUpdated = Now;
    return;
  }
  if (!m_core) {
    if (Message.m_kind == PeerMessageKind::Bootstrap)
      onBootstrapMessage(Message);
    return;
  }
  Result<CoreMessage, PeerError> Parsed =
      decodeCoreMessage(Message.m_kind, Message.m_bytes);
  if (!Parsed) {
    m_metrics.increment("turmericdyke_peer_messages_refused_total");
    LogLine(LogLevel::Warning, "peer_message_refused")
        .field("peer", Message.m_from)
        .field("reason", Parsed.error().m_message);
    return;
  }
  m_core->onMessage(Now, Message.m_from, Parsed.value(), m_random);
  runCore();
}

void CoordinatorNode::tickRoster() {
  Instant Now = monotonicNow();
  RosterMessage Message;
  Message.m_known = m_roster.live(Now);
  Message.m_directoryTerm = m_directoryCopy.term();
  Message.m_directorySequence = m_directoryCopy.sequence();
  std::string Bytes = encode(Message);
  for (const NodeId &Other : m_roster.others())
    (void)m_transport->sendTo(Other.str(), PeerMessageKind::Roster, Bytes);
  if (m_core) {
    std::vector<NodeId> Voters;
    for (const Voter &Member : m_core->raft().voters().m_voters) {
      Voters.push_back(Member.m_node);
      m_roster.discovered(Now, Member.m_node);
    }
    m_core->setClusterMembers(m_roster.others(),
                              m_roster.desiredVoters(Now, Voters));
    m_roster.expire(Now, Voters);
  }
  m_loop.after(internal::RosterInterval, [this] { tickRoster(); });
}

void CoordinatorNode::applyState() {
  const SetRouting &Routing = m_core->state().routing();
  if (Routing.m_version <= m_catalog.m_version)
    return;
  Result<Catalog, CatalogError> Parsed =
      m_protocol.readCatalog(Routing.m_document);
  if (!Parsed) {
    LogLine(LogLevel::Error, "routing_not_read")
        .field("version", Routing.m_version)
        .field("reason", Parsed.error().m_message);
    return;
  }
  m_catalog = std::move(Parsed).value();
  m_document = Routing.m_document;
  LogLine(LogLevel::Info, "routing_in_force")
      .field("version", m_catalog.m_version)
      .field("routes", m_catalog.m_routes.size())
      .field("services", m_catalog.m_services.size())
      .field("index", m_core->state().appliedIndex());
  schedulePlan();
  pushFeed();
}

bool CoordinatorNode::leads() const {
  return m_core && m_core->leads(monotonicNow());
}

std::string CoordinatorNode::controlAddressOf(const NodeId &Node) const {
  std::string_view Peer = Node.str();
  std::string_view Own = m_settings.m_controlAddress;
  return std::string(Peer.substr(0, Peer.rfind(':'))) +
         std::string(Own.substr(Own.rfind(':')));
}

void CoordinatorNode::onCall(std::shared_ptr<ServerExchange> Exchange) {
  ControlCall Call = m_protocol.readCall(Exchange->request());
  std::visit([&](const auto &Kind) { handle(Exchange, Kind); }, Call);
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
  NodeId Leader = m_core ? m_core->raft().leader() : NodeId();
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
  if (m_catalog.m_version == 0)
    return Exchange->respond(
        m_protocol.errorResponse(503, "no routing document is in force yet"));
  Exchange->respond(m_protocol.documentResponse(m_document));
}

void CoordinatorNode::handle(const std::shared_ptr<ServerExchange> &Exchange,
                             const AnnounceCall &Call) {
  if (!leads() || m_stopping)
    return redirect(*Exchange);
  const ServerAnnouncement &Announcement = Call.m_announcement;
  AnnouncementResult Outcome = m_servers.announce(monotonicNow(), Announcement);
  if (Outcome == AnnouncementResult::Changed) {
    LogLine(LogLevel::Info, "server_changed")
        .field("target", Announcement.m_id)
        .field("service", Announcement.m_service)
        .field("address", Announcement.m_address)
        .field("domain", Announcement.m_fabricDomain)
        .field("draining", Announcement.m_draining)
        .field("born_ms", Announcement.m_startMillis)
        .field("sequence", Announcement.m_sequence)
        .field("group",
               Announcement.m_group ? Announcement.m_group->m_group : "")
        .field("state",
               Announcement.m_group
                   ? turmericdyke::nameOf(Announcement.m_group->m_state)
                   : "none")
        .field("model", Announcement.m_model)
        .field("staged", absl::StrJoin(Announcement.m_stagedModels, ","));
    schedulePlan();
    if (Announcement.m_draining)
      plan();
  }
  m_metrics.increment("turmericdyke_announcements_total");
  Exchange->respond(
      m_protocol.announcementResponse(m_settings.m_controlAddress));
}

void CoordinatorNode::handle(const std::shared_ptr<ServerExchange> &Exchange,
                             const WithdrawCall &Call) {
  if (!leads() || m_stopping)
    return redirect(*Exchange);
  bool Known = m_servers.withdraw(monotonicNow(), Call.m_id);
  LogLine(LogLevel::Info, "server_withdrawn")
      .field("target", Call.m_id)
      .field("known", Known);
  plan();
  Exchange->respond(HttpResponse());
}

void CoordinatorNode::onMetrics(
    const std::shared_ptr<ServerExchange> &Exchange) {
  m_metrics.set("turmericdyke_leads", leads() ? 1 : 0);
  m_metrics.set("turmericdyke_servers",
                static_cast<double>(m_servers.all().size()));
  m_metrics.set("turmericdyke_groups",
                static_cast<double>(m_planner.groups().size()));
  m_metrics.set("turmericdyke_loop_turns_total",
                static_cast<double>(m_loop.turns()));
  m_metrics.set("turmericdyke_log_lines_dropped",
                static_cast<double>(LogSink::standard().dropped()));
  HttpResponse Response;
  Response.m_fields.add("Content-Type", "text/plain; version=0.0.4");
  Response.m_body = m_metrics.prometheusText();
  Exchange->respond(Response);
}

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
  if (!m_core->raft().isLeader() && m_ledTerm != 0) {
    m_ledTerm = 0;
    m_fencingToken = 0;
    m_planner.stop();
    return;
  }
  if (Leads && m_ledTerm != m_core->raft().term()) {
    m_ledTerm = m_core->raft().term();
    m_leaderSince = Now;
    m_fencingToken = 0;
    m_planner.stop();
    m_feed.reset();
    inheritServers();
    m_fenceTicket = m_core->submit(Now, ReserveFencingTokens{m_self, 1});
    schedulePlan();
  }
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

void CoordinatorNode::sendDirectory(const NodeId &Node) {
  std::uint64_t &Sent = m_directorySent[Node];
  DirectoryUpdate Update = m_servers.changesSince(Sent);
  Update.m_term = m_ledTerm;
  Update.m_complete = m_settled;
  Update.m_trafficSeen = m_trafficSeen;
  Sent = Update.m_sequence;
  // The receiver reports what it holds once a second, so lost updates are sent
  // again.
  (void)m_transport->sendTo(Node.str(), PeerMessageKind::DirectoryUpdate,
                            encode(Update));
}

void CoordinatorNode::pushDirectory() {
  for (const auto &[Node, Sent] : m_directorySent)
    if (Sent < m_servers.sequence())
      sendDirectory(Node);
}

void CoordinatorNode::schedulePlan() {
  planAt(monotonicNow() + internal::PlanDelay);
}

void CoordinatorNode::planAt(Instant When) {
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
    if (!m_planner.leading())
      m_planner.lead(m_fencingToken);
    GroupPlannerInput Input;
    Input.m_servers = &m_servers;
    Input.m_catalog = &m_catalog;
    // A leader that inherits nothing does not know whether requests have run.
    Input.m_trafficSeen = m_trafficSeen || (m_fencingToken > 1 && !m_inherited);
    Input.m_progress = m_progress;
    Input.m_settled = m_settled;
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
      .field("status", Result.m_status);
  m_servers.probeFailed(Id, Result.m_refused);
  const ServerRecord *Server = m_servers.find(Id);
  if (Server != nullptr &&
      Server->m_failedProbes < ServerRecord::LostAfterFailures)
    probe(Id);
  schedulePlan();
}

void CoordinatorNode::probeSilentServers() {
  Instant Now = monotonicNow();
  std::vector<TargetId> Silent;
  for (const auto &[Id, Server] : m_servers.all())
    if (Now - Server.m_lastHeard >= internal::ProbeAfterSilence &&
        Server.m_failedProbes < ServerRecord::LostAfterFailures)
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
  Instant Now = monotonicNow();
  std::vector<ServingTarget> Targets;
  for (const auto &[Epoch, Group] : m_planner.groups()) {
    if (Group.m_phase != GroupPhase::Serving)
      continue;
    const ServerRecord *Head = m_servers.find(Group.head());
    const ServiceEntry *Service = m_catalog.service(Group.m_service);
    if (Head == nullptr || Service == nullptr || !Service->m_engine)
      continue;
    Targets.push_back({Group.head(), Group.m_service,
                       Head->m_announcement.m_address,
                       Head->m_announcement.m_failureDomain, Group.m_model,
                       Service->m_engine->m_slots, Epoch});
  }
  for (const auto &[Id, Server] : m_servers.all()) {
    const ServerAnnouncement &Announcement = Server.m_announcement;
    const ServiceEntry *Service = m_catalog.service(Announcement.m_service);
    if (Service == nullptr || Service->m_engine || Announcement.m_draining ||
        Server.isLost(Now, internal::UngroupedSilence))
      continue;
    Targets.push_back({Id, Announcement.m_service, Announcement.m_address,
                       Announcement.m_failureDomain, "", Announcement.m_slots,
                       static_cast<std::uint64_t>(Announcement.m_startMillis)});
  }
  return Targets;
}

void CoordinatorNode::publishTargets() {
  m_feed.setTargets(servingTargets());
  pushFeed();
}

FeedContext CoordinatorNode::feedContext() const {
  FeedContext Context;
  Context.m_coordinators = m_roster.live(monotonicNow());
  if (!m_core)
    return Context;
  Context.m_term = m_core->raft().term();
  Context.m_leader = m_core->raft().leader();
  Context.m_leads = leads() && m_ledTerm == Context.m_term;
  Context.m_complete = m_settled && m_planner.leading();
  Context.m_routingVersion = m_catalog.m_version;
  Context.m_routingDocument = &m_document;
  return Context;
}

void CoordinatorNode::pushFeed() {
  if (m_pushDue)
    return;
  m_pushDue = true;
  m_loop.after(internal::PushDelay, [this] {
    m_pushDue = false;
    for (const auto &[Node, Update] :
         m_feed.pendingUpdates(monotonicNow(), feedContext()))
      // Lost updates are requested again with the next request.
      (void)m_transport->sendTo(Node.str(), PeerMessageKind::FeedUpdate,
                                encode(Update));
  });
}

void CoordinatorNode::requestStop() {
  m_loop.post([this] { beginStop(); });
}

void CoordinatorNode::beginStop() {
  if (m_stopping)
    return;
  m_stopping = true;
  m_stopStarted = monotonicNow();
  LogLine(LogLevel::Info, "stop_begun")
      .field("node", m_settings.m_name)
      .field("leads", leads());
  if (m_core && m_core->raft().isLeader()) {
    m_core->transferLeadership(m_stopStarted);
    runCore();
  }
  m_controlServer->closeAfterResponses();
  pollStop();
}

void CoordinatorNode::pollStop() {
  bool Leads = m_core && m_core->raft().isLeader();
  bool Busy = Leads || m_controlServer->exchanges() > 0;
  if (!Busy || monotonicNow() - m_stopStarted >= internal::StopWait) {
    LogLine(LogLevel::Info, "coordinator_stopped")
        .field("node", m_settings.m_name)
        .field("still_led", Leads);
    return m_loop.stop();
  }
  m_loop.after(internal::StopPollInterval, [this] { pollStop(); });
}

} // namespace turmericdyke
