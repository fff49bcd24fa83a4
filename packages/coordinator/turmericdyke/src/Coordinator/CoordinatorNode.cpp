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

/// `ControlCore` must be ticked this often.
constexpr absl::Duration CoreTick = absl::Milliseconds(20);
constexpr absl::Duration RosterInterval = absl::Seconds(1);
/// Waits for further changes before groups are planned, or the feed is pushed.
constexpr absl::Duration PlanDelay = absl::Milliseconds(20);
constexpr absl::Duration PushDelay = absl::Milliseconds(10);
/// Planning without a change: silence of servers is found this late at most.
constexpr absl::Duration PlanInterval = absl::Milliseconds(250);
/// Servers answer an order at once; it may have been lost after this time.
constexpr absl::Duration OrderTimeout = absl::Milliseconds(800);
/// A server that lives answers a question within some milliseconds.
constexpr absl::Duration QuestionTimeout = absl::Milliseconds(300);
/// A server that was heard this recently is not asked whether it lives.
constexpr absl::Duration HeardLately = absl::Milliseconds(200);
/// One announcement interval of 1.2 s, and a margin.
constexpr absl::Duration MissedAnnouncement = absl::Milliseconds(1600);
/// A new leader listens this long before it acts: two intervals between
/// announcements of 1.2 s, and a margin.
constexpr absl::Duration SettleTime = absl::Seconds(3);
/// A copy of the list of servers is refreshed once a second at least; one that
/// is older than this may lack servers that came since. An election after a
/// leader that froze takes two seconds.
constexpr absl::Duration MostCopyAge = absl::Seconds(5);
/// The first leader ever has no groups to take up. It waits for two intervals
/// between announcements, so that groups are formed with all servers in view: a
/// division made of a part of them leaves a model short for the rest of the
/// day.
constexpr absl::Duration FirstSettleTime = absl::Milliseconds(2400);
/// A plain server that was silent for this long is not offered any more: its
/// announcements may be late by seconds, and entry nodes notice a crash
/// themselves.
constexpr absl::Duration PlainSilence = absl::Seconds(5);
/// A server that was silent for this long is forgotten.
constexpr absl::Duration ForgetSilence = absl::Seconds(30);
/// How long a stop waits for another voter to take over, and for calls that are
/// under way.
constexpr absl::Duration StopWait = absl::Seconds(2);
constexpr absl::Duration StopPoll = absl::Milliseconds(50);
/// A full or failing disk seldom recovers within a second; a process that ends
/// and starts at once would only do so again and again.
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
                                 const CoordinatorDialect &Dialect)
    : m_settings(std::move(Settings)), m_dialect(Dialect),
      m_self(m_settings.m_peerAddress),
      m_roster(m_self, internal::rosterOptions(m_settings)),
      m_planner(internal::plannerOptions(m_settings)) {
  m_pool = std::make_unique<HttpClientPool>(
      m_loop, ClientConnectionOptions(),
      [this] { m_metrics.increment("turmericdyke_target_connects_total"); });
  m_calls = std::make_unique<ServerCalls>(m_loop, *m_pool);
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
  m_control = std::make_unique<HttpServer>(
      m_loop,
      [this](std::shared_ptr<ServerExchange> Exchange) {
        onCall(std::move(Exchange));
      },
      [this](HttpServerEvent Event) {
        m_metrics.increment("turmericdyke_control_events_total",
                            {{"event", turmericdyke::nameOf(Event)}});
      });
  m_scrapes = std::make_unique<HttpServer>(
      m_loop,
      [this](const std::shared_ptr<ServerExchange> &Exchange) {
        onMetrics(Exchange);
      },
      [](HttpServerEvent) {});
  for (auto [Server, Address] :
       {std::pair{m_control.get(), m_settings.m_controlAddress},
        std::pair{m_scrapes.get(), m_settings.m_metricsAddress}}) {
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
        m_loop.post([this, Held = std::move(Message)] { onPeerMessage(Held); });
      });
  if (!Transport)
    return failure(CoordinatorError{Transport.error().m_message});
  m_transport = std::move(Transport).value();
  LogSink::standard().setCollecting(true);
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
  LogSink::standard().setCollecting(false);
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
  // The bootstrap sends every 200 ms.
  m_loop.after(internal::CoreTick, [this] { stepBootstrap(); });
}

void CoordinatorNode::onBootstrapMessage(const ReceivedMessage &Message) {
  Result<CoreMessage, PeerError> Read =
      decodeCore(Message.m_kind, Message.m_bytes);
  if (Read && m_bootstrap)
    m_bootstrap->receive(Message.m_from,
                         std::get<BootstrapMessage>(Read.value()));
}

void CoordinatorNode::startCore(const PersistentState &State) {
  ControlCoreOptions Options;
  Options.m_node = m_self;
  Options.m_incarnation =
      static_cast<std::uint64_t>(absl::GetCurrentTimeNanos());
  Options.m_peers = m_roster.others();
  m_core.emplace(std::move(Options), State, monotonicNow(), m_random);
  m_driver.emplace(*m_core, &*m_directory,
                   [this](const ControlOutput &Output) { deliver(Output); });
  applyState();
  turn();
  tickCore();
}

void CoordinatorNode::tickCore() {
  Instant Now = monotonicNow();
  m_core->tick(Now, absl::Now(), m_random);
  turn();
  noteLeadership();
  m_loop.after(internal::CoreTick, [this] { tickCore(); });
}

void CoordinatorNode::turn() {
  m_driver->turn();
  if (!m_driver->storageFailed() || m_storageFailed)
    return;
  // The core takes no part any more; a restart reads the directory again.
  m_storageFailed = true;
  LogLine(LogLevel::Error, "coordinator_ends")
      .field("reason", "storage")
      .field("after_ms",
             absl::ToInt64Milliseconds(internal::StorageRestartDelay));
  m_loop.after(internal::StorageRestartDelay, [this] { m_loop.stop(); });
}

void CoordinatorNode::deliver(const ControlOutput &Output) {
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
      const auto *Granted = std::get_if<FencesGranted>(&Done.m_result);
      if (Done.m_status == SubmitStatus::Committed && Granted != nullptr &&
          m_ledTerm == m_core->raft().term())
        m_fence = Granted->m_first;
      continue;
    }
    auto Found = m_puts.find(Done.m_ticket);
    if (Found == m_puts.end())
      continue;
    const auto *Set = std::get_if<RoutingSet>(&Done.m_result);
    bool Committed = Done.m_status == SubmitStatus::Committed && Set != nullptr;
    LogLine(LogLevel::Info, "routing_put_answered")
        .field("ticket", Done.m_ticket)
        .field("committed", Committed)
        .field("in_force", Set != nullptr ? Set->m_version : 0)
        .field("replaced", Set != nullptr && Set->m_replaced);
    Found->second->respond(
        Committed ? HttpResponse()
                  : m_dialect.error(503, "not known to be in force"));
    m_puts.erase(Found);
  }
}

void CoordinatorNode::sendAll(const std::vector<AddressedMessage> &Messages) {
  for (const AddressedMessage &Message : Messages) {
    EncodedMessage Encoded = encodeCore(Message.m_message);
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
    Result<FeedRequest, PeerError> Read = decodeFeedRequest(Message.m_bytes);
    if (!Read || Read.value().m_node != Message.m_from)
      return m_metrics.increment("turmericdyke_peer_messages_refused_total");
    if (leads()) {
      onSuspects(Read.value().m_suspects);
      for (const TargetId &Moving : Read.value().m_progressing)
        m_progress[Moving] = Now;
    }
    FeedUpdate Update = m_feed.respond(Now, Read.value(), feedContext());
    // A lost answer is asked for again.
    (void)m_transport->sendTo(Message.m_fromAddress,
                              PeerMessageKind::FeedUpdate, encode(Update));
    return;
  }
  m_roster.heardFrom(Now, Message.m_from);
  if (Message.m_kind == PeerMessageKind::Roster) {
    Result<RosterMessage, PeerError> Read = decodeRoster(Message.m_bytes);
    if (!Read)
      return m_metrics.increment("turmericdyke_peer_messages_refused_total");
    for (const NodeId &Node : Read.value().m_known)
      m_roster.discovered(Now, Node);
    if (m_ledTerm == 0)
      return;
    // What was lost on the way is told again from here.
    m_directoryTold[Message.m_from] = Read.value().m_directoryTerm == m_ledTerm
                                          ? Read.value().m_directorySequence
                                          : 0;
    return sendDirectory(Message.m_from);
  }
  if (Message.m_kind == PeerMessageKind::DirectoryUpdate) {
    Result<DirectoryUpdate, PeerError> Read =
        decodeDirectoryUpdate(Message.m_bytes);
    if (!Read)
      return m_metrics.increment("turmericdyke_peer_messages_refused_total");
    if (m_copy.receive(Read.value()))
      m_copyHeard = Now;
    return;
  }
  if (!m_core) {
    if (Message.m_kind == PeerMessageKind::Bootstrap)
      onBootstrapMessage(Message);
    return;
  }
  Result<CoreMessage, PeerError> Read =
      decodeCore(Message.m_kind, Message.m_bytes);
  if (!Read) {
    m_metrics.increment("turmericdyke_peer_messages_refused_total");
    LogLine(LogLevel::Warning, "peer_message_refused")
        .field("peer", Message.m_from)
        .field("reason", Read.error().m_message);
    return;
  }
  m_core->onMessage(Now, Message.m_from, Read.value(), m_random);
  turn();
}

void CoordinatorNode::tickRoster() {
  Instant Now = monotonicNow();
  RosterMessage Message;
  Message.m_known = m_roster.live(Now);
  Message.m_directoryTerm = m_copy.term();
  Message.m_directorySequence = m_copy.sequence();
  std::string Bytes = encode(Message);
  for (const NodeId &Other : m_roster.others())
    (void)m_transport->sendTo(Other.str(), PeerMessageKind::Roster, Bytes);
  if (m_core) {
    std::vector<NodeId> Voters;
    for (const Voter &Member : m_core->raft().voters().m_voters) {
      Voters.push_back(Member.m_node);
      m_roster.discovered(Now, Member.m_node);
    }
    m_core->setCluster(m_roster.others(), m_roster.desiredVoters(Now, Voters));
    m_roster.expire(Now, Voters);
  }
  m_loop.after(internal::RosterInterval, [this] { tickRoster(); });
}

void CoordinatorNode::applyState() {
  const SetRouting &Routing = m_core->state().routing();
  if (Routing.m_version <= m_catalog.m_version)
    return;
  Result<Catalog, CatalogError> Read =
      m_dialect.readCatalog(Routing.m_document);
  if (!Read) {
    LogLine(LogLevel::Error, "routing_not_read")
        .field("version", Routing.m_version)
        .field("reason", Read.error().m_message);
    return;
  }
  m_catalog = std::move(Read).value();
  m_document = Routing.m_document;
  LogLine(LogLevel::Info, "routing_in_force")
      .field("version", m_catalog.m_version)
      .field("routes", m_catalog.m_routes.size())
      .field("services", m_catalog.m_services.size())
      .field("index", m_core->state().appliedIndex());
  planSoon();
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
  ControlCall Call = m_dialect.readCall(Exchange->request());
  std::visit([&](const auto &Kind) { handle(Exchange, Kind); }, Call);
}

void CoordinatorNode::handle(const std::shared_ptr<ServerExchange> &Exchange,
                             const WrongCall &Call) {
  m_metrics.increment("turmericdyke_control_calls_refused_total");
  LogLine(LogLevel::Warning, "control_call_refused")
      .field("target", Exchange->request().m_target)
      .field("status", Call.m_status)
      .field("reason", Call.m_reason);
  Exchange->respond(m_dialect.error(Call.m_status, Call.m_reason));
}

void CoordinatorNode::redirect(ServerExchange &Exchange) {
  NodeId Leader = m_core ? m_core->raft().leader() : NodeId();
  if (Leader.empty() || Leader == m_self)
    return Exchange.respond(m_dialect.error(503, "no leader is known"));
  HttpResponse Response;
  Response.m_status = 307;
  Response.m_fields.add("Location",
                        fmt::format("http://{}{}", controlAddressOf(Leader),
                                    Exchange.request().m_target));
  Exchange.respond(Response);
}

void CoordinatorNode::handle(const std::shared_ptr<ServerExchange> &Exchange,
                             const PutRoutingCall &Call) {
  Result<Catalog, CatalogError> Read = m_dialect.readCatalog(Call.m_document);
  std::optional<CatalogError> Error;
  if (!Read)
    Error = Read.error();
  else
    Error = validateCatalog(Read.value());
  if (Error) {
    LogLine(LogLevel::Warning, "routing_refused")
        .field("version", Read ? Read.value().m_version : 0)
        .field("place", Error->m_place)
        .field("reason", Error->m_message);
    return Exchange->respond(
        m_dialect.error(400, Error->m_place + ": " + Error->m_message));
  }
  if (!m_core || m_stopping)
    return redirect(*Exchange);
  std::uint64_t Version = Read.value().m_version;
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
  m_puts[Ticket] = Exchange;
  m_core->tick(monotonicNow(), absl::Now(), m_random);
  turn();
}

void CoordinatorNode::handle(const std::shared_ptr<ServerExchange> &Exchange,
                             const GetRoutingCall &) {
  if (!leads())
    return redirect(*Exchange);
  if (m_catalog.m_version == 0)
    return Exchange->respond(
        m_dialect.error(503, "no routing document is in force yet"));
  Exchange->respond(m_dialect.document(m_document));
}

void CoordinatorNode::handle(const std::shared_ptr<ServerExchange> &Exchange,
                             const AnnounceCall &Call) {
  if (!leads() || m_stopping)
    return redirect(*Exchange);
  const ServerAnnouncement &Said = Call.m_announcement;
  AnnouncementResult Taken = m_servers.announce(monotonicNow(), Said);
  if (Taken == AnnouncementResult::Changed) {
    LogLine(LogLevel::Info, "server_changed")
        .field("target", Said.m_id)
        .field("service", Said.m_service)
        .field("address", Said.m_address)
        .field("domain", Said.m_fabricDomain)
        .field("draining", Said.m_draining)
        .field("born_ms", Said.m_bornMillis)
        .field("sequence", Said.m_sequence)
        .field("group", Said.m_group ? Said.m_group->m_group : "")
        .field("state", Said.m_group
                            ? turmericdyke::nameOf(Said.m_group->m_state)
                            : "none")
        .field("model", Said.m_model)
        .field("staged", absl::StrJoin(Said.m_stagedModels, ","));
    planSoon();
    if (Said.m_draining)
      plan();
  }
  m_metrics.increment("turmericdyke_announcements_total");
  Exchange->respond(m_dialect.announced(m_settings.m_controlAddress));
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

void CoordinatorNode::noteLeadership() {
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
    m_fence = 0;
    m_planner.stop();
    return;
  }
  if (Leads && m_ledTerm != m_core->raft().term()) {
    m_ledTerm = m_core->raft().term();
    m_ledSince = Now;
    m_fence = 0;
    m_planner.stop();
    m_feed.reset();
    inheritServers();
    m_fenceTicket = m_core->submit(Now, AdvanceFence{m_self, 1});
    planSoon();
  }
}

void CoordinatorNode::inheritServers() {
  Instant Now = monotonicNow();
  m_settled = false;
  m_directoryTold.clear();
  m_trafficSeen = m_trafficSeen || m_copy.trafficSeen();
  m_inherited = m_copy.complete() && Now - m_copyHeard < internal::MostCopyAge;
  LogLine(LogLevel::Info, "servers_inherited")
      .field("node", m_settings.m_name)
      .field("taken", m_inherited)
      .field("servers", m_copy.servers().size())
      .field("copy_term", m_copy.term())
      .field("copy_age_ms", m_copyHeard == absl::InfinitePast()
                                ? -1
                                : absl::ToInt64Milliseconds(Now - m_copyHeard))
      .field("term", m_ledTerm);
  if (!m_inherited)
    return m_servers.clear();
  m_servers.inherit(Now, m_copy.servers());
  for (const TargetId &Id : m_servers.unconfirmed(Now, internal::SettleTime))
    question(Id);
}

bool CoordinatorNode::awaitsServers() const {
  for (const TargetId &Id :
       m_servers.unconfirmed(monotonicNow(), internal::SettleTime)) {
    const ServiceEntry *Service =
        m_catalog.service(m_servers.find(Id)->m_said.m_service);
    if (Service == nullptr || Service->m_engine)
      return true;
  }
  return false;
}

void CoordinatorNode::noteSettled() {
  if (m_settled || m_fence == 0)
    return;
  absl::Duration Wait =
      m_fence == 1 ? internal::FirstSettleTime : internal::SettleTime;
  absl::Duration Led = monotonicNow() - m_ledSince;
  m_settled = Led >= Wait || (m_inherited && !awaitsServers());
  if (m_settled)
    LogLine(LogLevel::Info, "servers_heard")
        .field("node", m_settings.m_name)
        .field("servers", m_servers.all().size())
        .field("inherited", m_inherited)
        .field("term", m_ledTerm)
        .field("ms", absl::ToInt64Milliseconds(Led));
}

void CoordinatorNode::sendDirectory(const NodeId &Node) {
  std::uint64_t &Told = m_directoryTold[Node];
  DirectoryUpdate Update = m_servers.changesSince(Told);
  Update.m_term = m_ledTerm;
  Update.m_complete = m_settled;
  Update.m_trafficSeen = m_trafficSeen;
  Told = Update.m_sequence;
  // The receiver names what it holds once a second.
  (void)m_transport->sendTo(Node.str(), PeerMessageKind::DirectoryUpdate,
                            encode(Update));
}

void CoordinatorNode::pushDirectory() {
  for (const auto &[Node, Told] : m_directoryTold)
    if (Told < m_servers.sequence())
      sendDirectory(Node);
}

void CoordinatorNode::planSoon() {
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
  for (const TargetId &Id : m_servers.expire(Now, internal::ForgetSilence))
    LogLine(LogLevel::Info, "server_forgotten").field("target", Id);
  questionSilent();
  noteSettled();
  pushDirectory();
  m_trafficSeen = m_trafficSeen || m_feed.trafficSeen();
  if (m_fence > 0 && m_catalog.m_version > 0) {
    if (!m_planner.leading())
      m_planner.lead(m_fence);
    GroupPlannerInput Input;
    Input.m_servers = &m_servers;
    Input.m_catalog = &m_catalog;
    // A leader that inherits nothing cannot tell whether requests have run.
    Input.m_trafficSeen = m_trafficSeen || (m_fence > 1 && !m_inherited);
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
  std::string Bytes = m_dialect.orderBytes(Order, m_planner.fence());
  m_calls->call(Order.m_address, std::move(Bytes), internal::OrderTimeout,
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
                        m_dialect.readOrderAnswer(Result.m_status));
                  planSoon();
                });
}

void CoordinatorNode::question(const TargetId &Id) {
  Instant Now = monotonicNow();
  const ServerRecord *Server = m_servers.find(Id);
  if (Server == nullptr || (!Server->m_inherited &&
                            Now - Server->m_lastHeard < internal::HeardLately))
    return;
  auto [Asked, New] = m_questions.try_emplace(Id, absl::InfinitePast());
  if (Now - Asked->second < internal::QuestionTimeout)
    return;
  Asked->second = Now;
  const std::string &Address = Server->m_said.m_address;
  m_metrics.increment("turmericdyke_questions_total");
  m_calls->call(Address, m_dialect.questionBytes(Id, Address),
                internal::QuestionTimeout,
                [this, Id, Now](const ServerCallResult &Result) {
                  onQuestionAnswered(Id, Now, Result);
                });
}

void CoordinatorNode::onQuestionAnswered(const TargetId &Id, Instant Asked,
                                         const ServerCallResult &Result) {
  Instant Now = monotonicNow();
  if (m_dialect.readLiveness(Result.m_status)) {
    std::optional<ServerReport> Report = m_dialect.readReport(Result.m_body);
    if (!Report)
      return m_servers.probeAnswered(Now, Id);
    m_servers.applyReport(Asked, Now, Id, *Report);
    if (!m_settled)
      planSoon();
    return;
  }
  LogLine(LogLevel::Info, "server_unanswered")
      .field("target", Id)
      .field("refused", Result.m_refused)
      .field("status", Result.m_status);
  m_servers.probeFailed(Id, Result.m_refused);
  const ServerRecord *Still = m_servers.find(Id);
  if (Still != nullptr &&
      Still->m_failedProbes < ServerRecord::LostAfterFailures)
    question(Id);
  planSoon();
}

void CoordinatorNode::questionSilent() {
  Instant Now = monotonicNow();
  std::vector<TargetId> Silent;
  for (const auto &[Id, Server] : m_servers.all())
    if (Now - Server.m_lastHeard >= internal::MissedAnnouncement &&
        Server.m_failedProbes < ServerRecord::LostAfterFailures)
      Silent.push_back(Id);
  for (const TargetId &Id : Silent)
    question(Id);
  auto Unknown = [this](const auto &Entry) {
    return m_servers.find(Entry.first) == nullptr;
  };
  std::erase_if(m_questions, Unknown);
  std::erase_if(m_progress, Unknown);
}

void CoordinatorNode::onSuspects(const std::vector<TargetId> &Heads) {
  for (const TargetId &Head : Heads)
    for (const auto &[Epoch, Group] : m_planner.groups())
      if (Group.m_phase == GroupPhase::Serving && Group.head() == Head)
        for (const GroupPlanner::Member &Member : Group.m_members)
          question(Member.m_id);
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
    Targets.push_back({Group.head(), Group.m_service, Head->m_said.m_address,
                       Head->m_said.m_failureDomain, Group.m_model,
                       Service->m_engine->m_slots, Epoch});
  }
  for (const auto &[Id, Server] : m_servers.all()) {
    const ServerAnnouncement &Said = Server.m_said;
    const ServiceEntry *Service = m_catalog.service(Said.m_service);
    if (Service == nullptr || Service->m_engine || Said.m_draining ||
        Server.isLost(Now, internal::PlainSilence))
      continue;
    Targets.push_back({Id, Said.m_service, Said.m_address, Said.m_failureDomain,
                       "", Said.m_slots,
                       static_cast<std::uint64_t>(Said.m_bornMillis)});
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
      // What is lost is asked for again with the next request.
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
  m_stopBegun = monotonicNow();
  LogLine(LogLevel::Info, "stop_begun")
      .field("node", m_settings.m_name)
      .field("leads", leads());
  if (m_core && m_core->raft().isLeader()) {
    m_core->handOver(m_stopBegun);
    turn();
  }
  m_control->closeAfterAnswers();
  pollStop();
}

void CoordinatorNode::pollStop() {
  bool Leads = m_core && m_core->raft().isLeader();
  bool Busy = Leads || m_control->exchanges() > 0;
  if (!Busy || monotonicNow() - m_stopBegun >= internal::StopWait) {
    LogLine(LogLevel::Info, "coordinator_stopped")
        .field("node", m_settings.m_name)
        .field("still_led", Leads);
    return m_loop.stop();
  }
  m_loop.after(internal::StopPoll, [this] { pollStop(); });
}

} // namespace turmericdyke
