#include "turmericdyke/src/Coordinator/CoordinatorNode.h"

#include <utility>

#include <fmt/format.h>

#include "absl/strings/str_join.h"
#include "absl/time/clock.h"
#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Base/LogSink.h"
#include "turmericdyke/src/Coordinator/ClusterMembers.h"
#include "turmericdyke/src/Http/ServerExchange.h"
#include "turmericdyke/src/Loop/TurnLog.h"
#include "turmericdyke/src/Node/CoreCodec.h"
#include "turmericdyke/src/Peer/PeerTransport.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Interval at which `ControlCore` must be ticked.
constexpr absl::Duration CoreTick = absl::Milliseconds(20);
/// Pause between two parts of the log that are applied, in which messages are
/// read and sent.
constexpr absl::Duration ApplyPause = absl::Milliseconds(1);
/// How long a stop waits for another node to take over leadership and vote, and
/// for running calls.
constexpr absl::Duration StopWait = absl::Seconds(2);
constexpr absl::Duration StopPollInterval = absl::Milliseconds(50);
/// How long a stop waits after that for callers to receive their responses.
constexpr absl::Duration StopSendTime = absl::Milliseconds(500);
/// A full or failing disk rarely recovers within a second. The delay avoids a
/// tight loop.
constexpr absl::Duration StorageRetryDelay = absl::Seconds(1);
/// Part of the memory for the connections of the control port.
constexpr std::size_t ConnectionPart = 4;
/// Scrapes of metrics: their part of the memory, and their bodies.
constexpr std::size_t ServicePart = 64;
constexpr std::size_t MaxServiceBody = 4 << 10;

std::string_view nameOf(RaftEventKind Kind) {
  constexpr std::string_view Names[] = {"leadership_gained", "leadership_lost",
                                        "voter_rolled_back", "identity_revoked",
                                        "voters_committed",  "transfer_failed",
                                        "committed_conflict"};
  return Names[static_cast<std::size_t>(Kind)];
}

std::string namesOf(const VoterSet &Voters) {
  return absl::StrJoin(Voters.m_voters, ",",
                       [](std::string *Out, const Voter &Member) {
                         Out->append(Member.m_node.str());
                       });
}

CoordinatorRosterOptions rosterOptions(const CoordinatorSettings &Settings) {
  CoordinatorRosterOptions Options;
  Options.m_voters = 2 * Settings.m_toleratedLosses + 1;
  // The other half is left for an election, if the lost voter led, and for the
  // changes of the voter set.
  Options.m_replaceAfter = Settings.m_catchUp / 2;
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
      m_connectionBudget(std::make_shared<ConnectionBudget>(
          m_settings.m_maxMemory / internal::ConnectionPart)),
      m_roster(m_self, internal::rosterOptions(m_settings)),
      m_planner(internal::plannerOptions(m_settings)),
      m_cold({m_settings.m_coldOverage, m_settings.m_coldSlack}),
      m_feedRelay(m_self) {
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
  m_controlServer->shareBudget(m_connectionBudget);
  m_metricsServer->shareBudget(std::make_shared<ConnectionBudget>(
      m_settings.m_maxMemory / internal::ServicePart));
  HttpServerLimits ScrapeLimits;
  ScrapeLimits.m_bodyBytes = internal::MaxServiceBody;
  m_metricsServer->setLimits(ScrapeLimits);
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
  m_loop.setAfterTurn(&logTurn);
  LogLine(LogLevel::Info, "coordinator_started")
      .field("node", m_settings.m_name)
      .field("control", m_settings.m_controlAddress)
      .field("peer", m_settings.m_peerAddress)
      .field("identity", m_directory->identity())
      .field("first_start", m_settings.m_firstStart)
      .field("empty", m_directory->isEmpty());
  m_roster.addSeeds(monotonicNow(), m_settings.m_seeds);
  m_roster.setDomain(m_self, m_settings.m_failureDomain);
  tickRoster();
  tickRelay();
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
  m_loop.post([this, Seeds = std::move(Settings.m_seeds),
               Domains = std::move(Settings.m_failureDomains)] {
    m_settings.m_failureDomains = Domains;
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
  if (!m_core)
    return;
  Instant Now = monotonicNow();
  m_core->tick(Now, absl::Now(), m_random);
  runCore();
  updateLeadership();
  m_loop.cancel(m_coreTimer);
  bool Waiting = m_core && m_core->waitingEntries() > 0;
  m_coreTimer =
      m_loop.after(Waiting ? internal::ApplyPause : internal::CoreTick,
                   [this] { tickCore(); });
}

void CoordinatorNode::runCore() {
  m_driver->processActions();
  if (!m_driver->storageFailed() || m_storageFailed)
    return;
  // The core has stopped taking part in consensus. The node goes on without a
  // log, and opens the directory again until its disk takes writes.
  m_storageFailed = true;
  LogLine(LogLevel::Error, "storage_lost")
      .field("node", m_settings.m_name)
      .field("retry_ms",
             absl::ToInt64Milliseconds(internal::StorageRetryDelay));
  stopLeading();
  refusePendingCalls("storage failed");
  m_loop.after(internal::StorageRetryDelay, [this] { reopenStorage(); });
}

void CoordinatorNode::refusePendingCalls(const std::string &Reason) {
  for (const auto &[Ticket, Exchange] : m_pendingPuts)
    Exchange->respond(m_protocol.errorResponse(503, Reason));
  m_pendingPuts.clear();
  refusePendingEvacuations(Reason);
  refuseDepartures(Reason);
}

void CoordinatorNode::reopenStorage() {
  m_driver.reset();
  m_core.reset();
  // Releases the lock of the directory.
  m_directory.reset();
  auto Opened = DataDirectory::open(m_settings.m_dataDirectory);
  if (!Opened) {
    LogLine(LogLevel::Warning, "storage_unavailable")
        .field("node", m_settings.m_name)
        .field("reason", Opened.error().m_message);
    m_loop.after(internal::StorageRetryDelay, [this] { reopenStorage(); });
    return;
  }
  m_directory = std::move(Opened).value();
  m_storageFailed = false;
  LogLine(LogLevel::Info, "storage_regained")
      .field("node", m_settings.m_name)
      .field("empty", m_directory->isEmpty());
  if (!m_directory->isEmpty())
    return startCore(m_directory->load());
  m_bootstrap.emplace(m_self, m_directory->identity(), m_settings.m_seeds,
                      false);
  stepBootstrap();
}

void CoordinatorNode::processOutput(const ControlOutput &Output) {
  sendAll(Output.m_messages);
  for (const RaftEvent &Value : Output.m_events)
    logEvent(Value);
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
    onEvacuationDone(Done);
    onDeparturesDone(Done);
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

void CoordinatorNode::logEvent(const RaftEvent &Value) {
  LogLine Line(LogLevel::Info, internal::nameOf(Value.m_kind));
  Line.field("node", m_settings.m_name)
      .field("subject", Value.m_voter.m_node)
      .field("term", m_core->raft().term())
      .field("commit", m_core->raft().commitIndex())
      .field("waiting", m_core->waitingEntries())
      .field("last", m_core->raft().lastIndex());
  if (Value.m_kind != RaftEventKind::VotersCommitted)
    return;
  std::size_t Size = Value.m_voters.m_voters.size();
  Line.field("size", Size).field("voters", internal::namesOf(Value.m_voters));
  m_metrics.set("turmericdyke_voters", static_cast<double>(Size));
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

void CoordinatorNode::applyState() {
  updateSuspects();
  applyDepartures();
  applyEvacuations();
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

NodeId CoordinatorNode::leader() const {
  return m_core ? m_core->raft().leader() : NodeId();
}

bool CoordinatorNode::leads() const {
  return m_core && m_core->leads(monotonicNow());
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
  m_roster.leave(m_stopStarted);
  if (m_core && m_core->raft().isLeader()) {
    m_core->transferLeadership(m_stopStarted);
    runCore();
  }
  m_controlServer->closeAfterResponses();
  pollStop();
}

void CoordinatorNode::pollStop() {
  bool Leads = m_core && m_core->raft().isLeader();
  bool Votes = m_core && mayHandVoteOver(monotonicNow(), m_roster, *m_core);
  absl::Duration Stopping = monotonicNow() - m_stopStarted;
  if (Stopping >= internal::StopWait) {
    refusePendingCalls("stopping");
    m_controlServer->refuseIncomplete();
  }
  bool Busy = m_controlServer->busyConnections() > 0;
  if (Stopping >= internal::StopWait + internal::StopSendTime ||
      (!Busy && ((!Leads && !Votes) || Stopping >= internal::StopWait))) {
    LogLine(LogLevel::Info, "coordinator_stopped")
        .field("node", m_settings.m_name)
        .field("still_led", Leads)
        .field("vote_not_handed_over", Votes);
    return m_loop.stop();
  }
  m_loop.after(internal::StopPollInterval, [this] { pollStop(); });
}

} // namespace turmericdyke
