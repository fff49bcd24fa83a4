#include "turmericdyke/src/Entry/EntryNode.h"

#include <utility>
#include <vector>

#include "absl/strings/str_join.h"
#include "absl/time/clock.h"
#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Base/LogSink.h"
#include "turmericdyke/src/Entry/EntryExchange.h"
#include "turmericdyke/src/Entry/EntryProtocol.h"
#include "turmericdyke/src/Entry/ReachProbes.h"
#include "turmericdyke/src/Entry/RelayHeader.h"
#include "turmericdyke/src/Http/ServerExchange.h"
#include "turmericdyke/src/Loop/TurnLog.h"
#include "turmericdyke/src/Peer/PeerTransport.h"
#include "turmericdyke/src/Serving/CarryDecision.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr absl::Duration StopPollInterval = absl::Milliseconds(50);
constexpr absl::Duration StallCheckInterval = absl::Milliseconds(100);
/// A relayed request has a header line more than the caller's.
constexpr std::size_t RelayHeadBytes = 1 << 10;
/// Descriptors reserved for files, peers and targets, not for callers'
/// connections.
constexpr std::size_t ReservedDescriptors = 600;
/// Connections of other entry nodes, and of probes and scrapes, are a part of
/// those of callers and taken from the reserve.
constexpr std::size_t RelayConnectionPart = 8;
/// Parts of the memory for the connections of callers and other entry nodes,
/// and for those of probes and scrapes.
constexpr std::size_t ConnectionPart = 4;
constexpr std::size_t ServicePart = 64;
/// Probes and scrapes have no bodies.
constexpr std::size_t MaxServiceBody = 4 << 10;

} // namespace
} // namespace internal

EntryNode::EntryNode(EntrySettings Settings, const EntryProtocol &Protocol)
    : m_settings(std::move(Settings)), m_protocol(Protocol),
      m_connectionBudget(std::make_shared<ConnectionBudget>(
          m_settings.m_maxMemory / internal::ConnectionPart)),
      m_serviceBudget(std::make_shared<ConnectionBudget>(
          m_settings.m_maxMemory / internal::ServicePart)) {
  m_feed = std::make_unique<FeedFollower>(
      NodeId(m_settings.m_peerAddress), m_settings.m_seeds,
      FeedFollowerOptions(), m_settings.m_failureDomain);
  m_pool = std::make_unique<HttpClientPool>(
      m_loop, ClientConnectionOptions(), [this] {
        m_services->m_metrics.increment("turmericdyke_target_connects_total");
      });
  m_services = std::make_unique<EntryServices>(m_loop, m_protocol, m_settings,
                                               *m_feed, *m_pool);
  m_services->m_onReachChange = [this](const ServiceId &Service,
                                       TargetReach::Change Change) {
    onReachChange(Service, Change);
  };
  m_probes = std::make_unique<ReachProbes>(*m_services);
}

EntryNode::~EntryNode() {
  if (m_transport)
    m_transport->stop();
  // Requests that ended last are held by posted work and refer to the services.
  m_callerServer.reset();
  m_relayServer.reset();
  m_loop.discardPosted();
}

Result<void, EntryError> EntryNode::start() {
  m_callerServer = std::make_unique<HttpServer>(
      m_loop,
      [this](std::shared_ptr<ServerExchange> Exchange) {
        onCaller(std::move(Exchange));
      },
      [this](HttpServerEvent Event) {
        onServerEvent("turmericdyke_caller_events_total", Event);
      });
  m_relayServer = std::make_unique<HttpServer>(
      m_loop,
      [this](const std::shared_ptr<ServerExchange> &Exchange) {
        onRelayed(Exchange);
      },
      [this](HttpServerEvent Event) {
        onServerEvent("turmericdyke_relay_events_total", Event);
      });
  m_readinessServer = std::make_unique<HttpServer>(
      m_loop,
      [this](const std::shared_ptr<ServerExchange> &Exchange) {
        onReadiness(Exchange);
      },
      [](HttpServerEvent) {});
  m_metricsServer = std::make_unique<HttpServer>(
      m_loop,
      [this](const std::shared_ptr<ServerExchange> &Exchange) {
        onMetrics(Exchange);
      },
      [](HttpServerEvent) {});
  HttpServerLimits Limits = m_callerServer->limits();
  if (m_settings.m_maxDescriptors > 2 * internal::ReservedDescriptors)
    Limits.m_connections =
        m_settings.m_maxDescriptors - internal::ReservedDescriptors;
  m_callerServer->setLimits(Limits);
  Limits.m_connections /= internal::RelayConnectionPart;
  m_relayServer->setLimits(Limits);
  Limits.m_bodyBytes = internal::MaxServiceBody;
  for (HttpServer *Server : {m_readinessServer.get(), m_metricsServer.get()}) {
    Server->shareBudget(m_serviceBudget);
    Server->setLimits(Limits);
  }
  m_callerServer->shareBudget(m_connectionBudget);
  m_relayServer->shareBudget(m_connectionBudget);
  for (auto [Server, Address] :
       {std::pair{m_callerServer.get(), m_settings.m_callerAddress},
        std::pair{m_relayServer.get(), m_settings.m_relayAddress},
        std::pair{m_readinessServer.get(), m_settings.m_readinessAddress},
        std::pair{m_metricsServer.get(), m_settings.m_metricsAddress}}) {
    if (Address.empty())
      continue;
    if (Result<void, SocketError> Listening = Server->listen(Address);
        !Listening)
      return failure(EntryError{Listening.error().m_message});
  }
  PeerTransportOptions Options;
  Options.m_identity.m_node = NodeId(m_settings.m_peerAddress);
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
    return failure(EntryError{Transport.error().m_message});
  m_transport = std::move(Transport).value();
  LogSink::standard().setBuffering(true);
  m_loop.setAfterTurn([this](absl::Duration Busy) {
    m_busy.record(monotonicNow(), Busy);
    logTurn(Busy);
  });
  LogLine(LogLevel::Info, "entry_started")
      .field("node", m_settings.m_name)
      .field("callers", m_settings.m_callerAddress)
      .field("peer", m_settings.m_peerAddress)
      .field("seeds", m_settings.m_seeds.size());
  tickFeed();
  checkStalls();
  return success();
}

void EntryNode::run() {
  m_loop.run();
  LogSink::standard().setBuffering(false);
}

void EntryNode::requestReload(EntrySettings Settings) {
  m_loop.post([this, Seeds = std::move(Settings.m_seeds)] {
    m_feed->addSeeds(Seeds);
    LogLine(LogLevel::Info, "settings_reloaded")
        .field("node", m_settings.m_name)
        .field("seeds", Seeds.size());
  });
}

void EntryNode::onCaller(std::shared_ptr<ServerExchange> Exchange) {
  std::make_shared<EntryExchange>(*m_services, std::move(Exchange))->begin();
}

CarryLoad EntryNode::carryLoad() const {
  CarryLoad Load;
  Load.m_stopping = m_services->m_stop.hasBegun();
  std::set<ServiceId> Services;
  for (const auto &[Id, Target] : m_feed->targets())
    Services.insert(Target.m_service);
  Load.m_cutOff = m_services->m_reach.isCutOffFromAll(
      std::vector<ServiceId>(Services.begin(), Services.end()));
  Load.m_carried = m_services->m_carried;
  Load.m_connections =
      m_callerServer->connections() + m_relayServer->connections();
  Load.m_maxConnections = m_callerServer->limits().m_connections;
  Load.m_busyFraction = m_busy.value();
  return Load;
}

bool EntryNode::takesRelayed() const {
  return !m_settings.m_relayAddress.empty() &&
         m_services->isInformed(monotonicNow()) &&
         decideCarry(carryLoad()) == CarryDecision::Carry;
}

void EntryNode::onRelayed(const std::shared_ptr<ServerExchange> &Exchange) {
  HttpFields &Fields = Exchange->request().m_fields;
  std::optional<RelayedRequest> Relayed =
      readRelayedRequest(Fields.find(RelayHeader).value_or(""));
  if (!Relayed) {
    HttpResponse Response;
    Response.m_status = 400;
    return Exchange->respond(Response);
  }
  Fields.remove(RelayHeader);
  CarryLoad Load = carryLoad();
  Load.m_outdated =
      m_services->m_routes == nullptr ||
      m_services->m_routes->catalog().m_version < Relayed->m_routingVersion;
  CarryDecision Decision = decideCarry(Load);
  auto Carried =
      std::make_shared<EntryExchange>(*m_services, Exchange, Relayed);
  m_services->m_metrics.increment("turmericdyke_relayed_requests_total",
                                  {{"decision", nameOf(Decision)}});
  if (Decision == CarryDecision::Carry)
    return Carried->begin();
  LogLine(LogLevel::Info, "relayed_request_refused")
      .field("from", Relayed->m_from)
      .field("reason", nameOf(Decision))
      .field("carried", Load.m_carried)
      .field("connections", Load.m_connections)
      .field("busy", Load.m_busyFraction);
  Carried->refuseToCarry();
}

void EntryNode::onReachChange(const ServiceId &Service,
                              TargetReach::Change Change) {
  // The coordinators name this node to others, and others to this one.
  m_feed->requestNow(monotonicNow());
  m_loop.post([this] { tickFeed(); });
  if (Change != TargetReach::Change::CutOff)
    return;
  // This runs in an attempt, which may be one of those that are given up.
  m_loop.post([this, Service] {
    std::set<EntryExchange *> Running;
    for (const auto &[Target, Exchanges] : m_services->m_attempts)
      Running.insert(Exchanges.begin(), Exchanges.end());
    for (EntryExchange *Exchange : Running)
      Exchange->onCutOff(Service);
  });
}

bool EntryNode::ready() const {
  return !m_services->m_stop.hasBegun() &&
         m_services->isInformed(monotonicNow());
}

void EntryNode::onReadiness(const std::shared_ptr<ServerExchange> &Exchange) {
  HttpResponse Response;
  if (!m_protocol.isReadinessProbe(Exchange->request()))
    Response.m_status = 404;
  else if (!ready())
    Response.m_status = 503;
  Exchange->respond(Response);
}

void EntryNode::onMetrics(const std::shared_ptr<ServerExchange> &Exchange) {
  m_services->m_metrics.set("turmericdyke_caller_connections",
                            static_cast<double>(m_callerServer->connections()));
  m_services->m_metrics.set("turmericdyke_relayed_requests",
                            static_cast<double>(m_services->m_carried));
  m_services->m_metrics.set("turmericdyke_busy_fraction", m_busy.value());
  m_services->m_metrics.set("turmericdyke_connection_memory_bytes",
                            static_cast<double>(m_connectionBudget->total()));
  m_services->m_metrics.set("turmericdyke_connection_memory_limit_bytes",
                            static_cast<double>(m_connectionBudget->limit()));
  m_services->m_metrics.set("turmericdyke_held_back_bytes",
                            static_cast<double>(m_services->m_buffers.total()));
  m_services->m_metrics.set("turmericdyke_log_lines_dropped",
                            static_cast<double>(LogSink::standard().dropped()));
  m_services->m_metrics.set("turmericdyke_loop_turns_total",
                            static_cast<double>(m_loop.turns()));
  HttpResponse Response;
  Response.m_fields.add("Content-Type", "text/plain; version=0.0.4");
  Response.m_body = m_services->m_metrics.prometheusText();
  Exchange->respond(Response);
}

void EntryNode::onServerEvent(std::string_view Counter, HttpServerEvent Event) {
  m_services->m_metrics.increment(Counter, {{"event", nameOf(Event)}});
  // The servers log what they do for want of memory, many events in a line.
  if (Event != HttpServerEvent::Accepted && !isForMemory(Event))
    LogLine(LogLevel::Info, "caller_refused").field("reason", nameOf(Event));
}

void EntryNode::tickFeed() {
  Instant Now = monotonicNow();
  updateInformed();
  std::vector<TargetUse> Uses;
  for (const auto &[Target, Count] : m_services->m_uses)
    Uses.push_back({Target, Count});
  for (FeedFollower::OutgoingRequest &Outgoing :
       m_feed->tick(Now, std::move(Uses))) {
    // Counts since the last report are sent only once, to the source.
    if (Outgoing.m_coordinator == m_feed->source()) {
      Outgoing.m_request.m_modelRequests =
          std::exchange(m_services->m_modelRequests, 0);
      Outgoing.m_request.m_arrivals = m_services->m_arrivals.take();
      Outgoing.m_request.m_suspects = std::exchange(m_suspects, {});
      Outgoing.m_request.m_progressing = m_services->m_stalls.takeProgress();
      m_services->m_suspects.takeReports(Now, Outgoing.m_request);
      m_services->m_signals.addReports(Now, Outgoing.m_request);
    }
    Outgoing.m_request.m_suspectsVersion = m_services->m_suspects.version();
    Outgoing.m_request.m_limitsVersion = m_services->m_signals.listedVersion();
    Outgoing.m_request.m_stopping = m_services->m_stop.hasBegun();
    if (takesRelayed())
      Outgoing.m_request.m_relayAddress = m_settings.m_relayAddress;
    auto Sent = m_transport->sendTo(Outgoing.m_coordinator.str(),
                                    PeerMessageKind::FeedRequest,
                                    encode(Outgoing.m_request));
    if (!Sent)
      LogLine(LogLevel::Warning, "feed_request_not_sent")
          .field("coordinator", Outgoing.m_coordinator)
          .field("reason", Sent.error().m_message);
  }
  if (m_feed->source() != m_loggedSource) {
    m_loggedSource = m_feed->source();
    LogLine(LogLevel::Info, "feed_source")
        .field("source", m_loggedSource)
        .field("leader", m_feed->leader())
        .field("term", m_feed->term());
  }
  m_loop.cancel(m_feedTimer);
  m_feedTimer = m_loop.at(m_feed->nextTick(), [this] { tickFeed(); });
}

void EntryNode::notifyRequests(const TargetId &Target,
                               void (EntryExchange::*Callback)()) {
  auto Found = m_services->m_attempts.find(Target);
  if (Found == m_services->m_attempts.end())
    return;
  std::set<EntryExchange *> Running = Found->second;
  for (EntryExchange *Exchange : Running)
    (Exchange->*Callback)();
}

void EntryNode::notifyAllRequests(void (EntryExchange::*Callback)()) {
  std::vector<TargetId> Targets;
  for (const auto &[Target, Running] : m_services->m_attempts)
    Targets.push_back(Target);
  for (const TargetId &Target : Targets)
    notifyRequests(Target, Callback);
}

void EntryNode::checkStalls() {
  Instant Now = monotonicNow();
  for (const StallDetector::Stall &Stall : m_services->m_stalls.stalled(Now)) {
    LogLine(LogLevel::Info, "target_stalled")
        .field("target", Stall.m_target)
        .field("running_here", m_services->m_uses[Stall.m_target])
        .field("silent", Stall.m_silent)
        .field("given_up", Stall.m_abandon)
        .field("term", m_feed->term());
    // Until then the target is only quiet: it may be sound, and takes requests
    // that no other target has room for.
    if (Stall.m_abandon)
      m_services->m_health.recordFailure(Now, Stall.m_target);
    m_suspects.push_back(Stall.m_target);
    if (Stall.m_abandon)
      notifyRequests(Stall.m_target, &EntryExchange::onTargetEnded);
  }
  checkPeerStalls();
  m_probes->check();
  if (!m_suspects.empty() || m_services->m_suspects.hasReports() ||
      m_services->m_signals.hasNews()) {
    m_feed->requestNow(Now);
    tickFeed();
  }
  m_loop.after(internal::StallCheckInterval, [this] { checkStalls(); });
}

void EntryNode::checkPeerStalls() {
  Instant Now = monotonicNow();
  for (const StallDetector::Stall &Stall :
       m_services->m_peerStalls.stalled(Now)) {
    if (!Stall.m_silent)
      continue;
    LogLine(LogLevel::Info, "peer_stalled")
        .field("peer", Stall.m_target)
        .field("given_up", Stall.m_abandon);
    m_services->m_peerHealth.recordFailure(Now, Stall.m_target);
    if (Stall.m_abandon)
      notifyRequests(Stall.m_target, &EntryExchange::onTargetEnded);
  }
}

void EntryNode::onPeerMessage(const ReceivedMessage &Message) {
  if (Message.m_kind != PeerMessageKind::FeedUpdate)
    return;
  Result<FeedUpdate, PeerError> Parsed = decodeFeedUpdate(Message.m_bytes);
  if (!Parsed) {
    LogLine(LogLevel::Warning, "feed_update_refused")
        .field("from", Message.m_from)
        .field("reason", Parsed.error().m_message);
    return;
  }
  if (std::size_t Malformed = Parsed.value().m_malformedTargets;
      Malformed > 0) {
    m_services->m_metrics.increment("turmericdyke_malformed_entries_total", {},
                                    static_cast<double>(Malformed));
    LogLine(LogLevel::Warning, "malformed_entries_left_out")
        .field("peer", Message.m_from)
        .field("kind", nameOf(Message.m_kind))
        .field("entries", Malformed);
  }
  Instant Now = monotonicNow();
  FeedChange Change = m_feed->receive(Now, Parsed.value());
  if (Change.m_leaderChanged)
    LogLine(LogLevel::Info, "leader_followed")
        .field("leader", m_feed->leader())
        .field("term", m_feed->term());
  if (Change.m_routingDocument)
    applyRouting(*Change.m_routingDocument, Change.m_routingVersion);
  else if (Change.m_routingVersion > 0)
    LogLine(LogLevel::Error, "routing_not_read")
        .field("version", Change.m_routingVersion)
        .field("reason", "the document cannot be decompressed");
  for (const TargetId &Ended : Change.m_ended) {
    LogLine(LogLevel::Info, "target_ended")
        .field("target", Ended)
        .field("term", m_feed->term())
        .field("running_here", m_services->m_uses.count(Ended) > 0
                                   ? m_services->m_uses.at(Ended)
                                   : 0);
    m_services->m_stalls.closedToNew(Ended);
    notifyRequests(Ended, &EntryExchange::onTargetClosing);
  }
  for (const TargetId &Listed : Change.m_listed)
    m_services->m_stalls.openedToNew(Listed);
  if (Change.m_suspects)
    applySuspects(*Change.m_suspects);
  if (Change.m_limits)
    m_services->m_signals.learn(Now, *Change.m_limits);
  m_services->m_signals.setLeaderHeard(m_feed->lastResponse());
  m_services->m_signals.takeGrants(Change.m_coldGrantsUntil,
                                   Change.m_coldGrants);
  if (Change.m_targetsChanged)
    m_services->m_signals.retain(m_feed->targets());
  updateInformed();
  if (m_feed->nextTick() <= Now)
    tickFeed();
}

void EntryNode::applySuspects(const SuspectLists &Lists) {
  if (!m_services->m_suspects.update(Lists))
    return;
  LogLine(LogLevel::Info, "refused_keys")
      .field("keys", absl::StrJoin(Lists.m_refused, ","))
      .field("suspects", Lists.m_suspects.size())
      .field("term", m_feed->term());
  notifyAllRequests(&EntryExchange::onRefusedKeys);
}

void EntryNode::applyRouting(std::string_view Document, std::uint64_t Version) {
  Result<Catalog, CatalogError> Parsed = m_protocol.readCatalog(Document);
  if (!Parsed) {
    LogLine(LogLevel::Error, "routing_not_read")
        .field("version", Version)
        .field("place", Parsed.error().m_place)
        .field("reason", Parsed.error().m_message);
    return;
  }
  m_feed->routingApplied(Version);
  HttpServerLimits Limits = m_callerServer->limits();
  const CallerLimits &Configured = Parsed.value().m_limits;
  Limits.m_headBytes = Configured.m_headBytes;
  Limits.m_bodyBytes = Configured.m_bodyBytes;
  Limits.m_headTime = Configured.m_headTime;
  Limits.m_idleTime = Configured.m_idleTime;
  m_callerServer->setLimits(Limits);
  Limits.m_headBytes += internal::RelayHeadBytes;
  Limits.m_idleTime = m_relayServer->limits().m_idleTime;
  Limits.m_connections = m_relayServer->limits().m_connections;
  m_relayServer->setLimits(Limits);
  LogLine(LogLevel::Info, "routing_in_force")
      .field("version", Version)
      .field("routes", Parsed.value().m_routes.size())
      .field("customers", Parsed.value().m_customers.size());
  m_services->m_signals.setServices(Parsed.value().m_services);
  m_services->m_routes =
      std::make_shared<const RouteTable>(std::move(Parsed).value());
}

void EntryNode::updateInformed() {
  bool Informed = monotonicNow() < m_feed->leaseUntil();
  if (Informed == m_informed)
    return;
  m_informed = Informed;
  LogLine(Informed ? LogLevel::Info : LogLevel::Warning,
          Informed ? "coordinators_regained" : "coordinators_lost")
      .field("leader", m_feed->leader())
      .field("term", m_feed->term());
}

void EntryNode::requestStop() {
  m_loop.post([this] { beginStop(); });
}

void EntryNode::beginStop() {
  if (m_services->m_stop.hasBegun())
    return;
  m_services->m_stop.begin(monotonicNow(), m_settings.m_stopGrace);
  LogLine(LogLevel::Info, "stop_begun")
      .field("node", m_settings.m_name)
      .field("requests", unfinishedRequests());
  m_callerServer->closeAfterResponses();
  m_relayServer->closeAfterResponses();
  pollStop();
}

std::size_t EntryNode::unfinishedRequests() const {
  return m_callerServer->busyConnections() + m_relayServer->busyConnections();
}

void EntryNode::pollStop() {
  StopPhase Phase = m_services->m_stop.phase(monotonicNow());
  if (Phase >= StopPhase::Closing) {
    m_callerServer->stopListening();
    m_callerServer->closeIdle();
    m_relayServer->stopListening();
    m_relayServer->closeIdle();
  }
  if (Phase >= StopPhase::Ending)
    endRequests();
  std::size_t Busy = unfinishedRequests();
  // Attempts may also run for callers that have left.
  bool Done = Busy == 0 && m_services->m_attempts.empty();
  if (Phase == StopPhase::Over || (Phase >= StopPhase::Closing && Done)) {
    LogLine(LogLevel::Info, "entry_stopped")
        .field("node", m_settings.m_name)
        .field("cut_off", Busy);
    return m_loop.stop();
  }
  m_loop.after(internal::StopPollInterval, [this] { pollStop(); });
}

void EntryNode::endRequests() {
  if (std::size_t Running = unfinishedRequests(); Running > 0)
    LogLine(LogLevel::Warning, "stop_ends_requests")
        .field("node", m_settings.m_name)
        .field("requests", Running);
  notifyAllRequests(&EntryExchange::onStopEnding);
  m_callerServer->refuseIncomplete();
}

} // namespace turmericdyke
