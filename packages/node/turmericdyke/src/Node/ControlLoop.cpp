#include "turmericdyke/src/Node/ControlLoop.h"

#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "absl/time/clock.h"
#include "turmericdyke/Declaration"
#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Node/CoreCodec.h"
#include "turmericdyke/src/Node/OperatorReplies.h"

namespace turmericdyke {

namespace internal {
namespace {

/// The replicated log must be ticked at least every 20 ms.
constexpr absl::Duration TickInterval = absl::Milliseconds(10);
constexpr absl::Duration FleetInterval = absl::Milliseconds(50);
/// How long a stop waits until another voter is the leader.
constexpr absl::Duration LeadershipTransferTimeout = absl::Seconds(2);
/// Identity of the single voter of a node without durable state.
constexpr std::string_view VolatileIdentity = "volatile";

std::string_view nameOf(RaftEventKind Kind) {
  constexpr std::string_view Names[] = {"leadership_gained", "leadership_lost",
                                        "voter_rolled_back", "identity_revoked",
                                        "voters_committed",  "transfer_failed",
                                        "committed_conflict"};
  return Names[static_cast<std::size_t>(Kind)];
}

} // namespace
} // namespace internal

struct ControlLoop::Waiter {
  absl::Mutex m_lock;
  bool m_done ABSL_GUARDED_BY(m_lock) = false;
  SubmitResult m_result ABSL_GUARDED_BY(m_lock);

  void complete(SubmitResult Value) {
    absl::MutexLock Lock(&m_lock);
    m_result = std::move(Value);
    m_done = true;
  }
  SubmitResult wait() {
    absl::MutexLock Lock(&m_lock);
    m_lock.Await(absl::Condition(&m_done));
    return m_result;
  }
};

ControlLoop::ControlLoop(EdgeServices &Services, const Settings &NodeSettings,
                         std::optional<DataDirectory> Directory)
    : m_services(Services), m_settings(NodeSettings),
      m_directory(std::move(Directory)) {}

ControlLoop::~ControlLoop() { stop(); }

ControlCoreOptions ControlLoop::coreOptions() const {
  ControlCoreOptions Options;
  Options.m_node = m_settings.m_node;
  Options.m_incarnation = m_services.m_incarnation;
  for (const auto &[Peer, Address] : m_settings.m_peers)
    Options.m_peers.push_back(Peer);
  Options.m_desiredVoters = m_settings.m_initialVoters;
  return Options;
}

Result<void, std::string> ControlLoop::start() {
  if (!m_settings.isSingleNode()) {
    PeerTransportOptions Options;
    Options.m_identity.m_node = m_settings.m_node;
    Options.m_identity.m_incarnation = m_services.m_incarnation;
    Options.m_identity.m_address = m_settings.m_peerAdvertisedAddress;
    Options.m_listenAddress = m_settings.m_peerAddress.text();
    Options.m_clusterSecret = m_settings.m_clusterSecret;
    auto Started = PeerTransport::start(
        std::move(Options),
        [this](ReceivedMessage Message) { push(std::move(Message)); });
    if (!Started)
      return failure(Started.error().m_message);
    m_transport = std::move(Started).value();
    for (const auto &[Peer, Address] : m_settings.m_peers)
      m_transport->setPeer(Peer, Address);
  }
  FleetOptions Fleet;
  Fleet.m_node = m_settings.m_node;
  Fleet.m_incarnation = m_services.m_incarnation;
  Fleet.m_address = m_transport ? m_transport->address() : "";
  for (const auto &[Peer, Address] : m_settings.m_peers)
    Fleet.m_seeds.push_back(Address);
  m_fleet.emplace(std::move(Fleet), monotonicNow());
  m_quota.emplace(m_settings.m_node, m_services.m_incarnation,
                  m_settings.m_peers.size() + 1);
  m_thread = std::thread([this] { run(); });
  return success();
}

void ControlLoop::stop() {
  if (!m_thread.joinable())
    return;
  runOnLoop([this](Instant Now) {
    if (m_core && m_core->raft().isLeader() && !m_settings.isSingleNode())
      m_core->transferLeadership(Now);
  });
  Instant Until = monotonicNow() + internal::LeadershipTransferTimeout;
  bool Leads = !m_settings.isSingleNode();
  while (Leads && monotonicNow() < Until) {
    runOnLoop([&](Instant) { Leads = m_core && m_core->raft().isLeader(); });
    absl::SleepFor(internal::TickInterval);
  }
  {
    absl::MutexLock Lock(&m_lock);
    m_stopped = true;
  }
  m_thread.join();
  if (m_transport)
    m_transport->stop();
}

void ControlLoop::push(Event Value) {
  absl::MutexLock Lock(&m_lock);
  m_events.push_back(std::move(Value));
}

bool ControlLoop::runOnLoop(const Task &Work) {
  auto Done = std::make_shared<Waiter>();
  {
    absl::MutexLock Lock(&m_lock);
    if (m_stopped)
      return false;
    m_events.push_back(Task([&Work, Done](Instant Now) {
      Work(Now);
      Done->complete({});
    }));
  }
  Done->wait();
  return true;
}

std::deque<ControlLoop::Event> ControlLoop::takeEvents() {
  absl::MutexLock Lock(&m_lock);
  auto Ready = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_lock) {
    return m_stopped || !m_events.empty();
  };
  bool Waiting = m_core && m_core->waitingEntries() > 0;
  m_lock.AwaitWithTimeout(absl::Condition(&Ready),
                          Waiting ? absl::ZeroDuration()
                                  : internal::TickInterval);
  return std::exchange(m_events, {});
}

void ControlLoop::run() {
  if (!formCluster())
    return waitForStop();
  for (;;) {
    std::deque<Event> Events = takeEvents();
    for (Event &Value : Events)
      handle(Value);
    Instant Now = monotonicNow();
    m_core->tick(Now, absl::Now(), m_random);
    turn();
    stepFleet(Now);
    absl::MutexLock Lock(&m_lock);
    if (m_stopped && m_events.empty())
      break;
  }
  for (auto &[Ticket, Waiting] : m_waiters)
    Waiting->complete({SubmitStatus::Unknown, CommandApplied()});
  m_waiters.clear();
}

bool ControlLoop::formCluster() {
  PersistentState State;
  if (!m_directory) {
    if (m_settings.isSingleNode())
      State = bootstrapState(
          std::string(internal::VolatileIdentity),
          {{{m_settings.m_node, std::string(internal::VolatileIdentity)}}});
    startCore(State);
    return true;
  }
  if (m_directory->isEmpty() && !bootstrapDirectory())
    return false;
  State = m_directory->load();
  startCore(State);
  return true;
}

void ControlLoop::startCore(const PersistentState &State) {
  m_core.emplace(coreOptions(), State, monotonicNow(), m_random);
  m_driver.emplace(
      *m_core, m_directory ? &*m_directory : nullptr,
      [this](ControlOutput Output) { deliver(std::move(Output)); });
  turn();
}

bool ControlLoop::bootstrapDirectory() {
  Bootstrap Forming(m_settings.m_node, m_directory->identity(),
                    m_settings.m_initialVoters);
  while (!Forming.voters() && !Forming.mustJoin()) {
    for (Event &Value : takeEvents()) {
      handleWithoutCore(Value);
      auto *Received = std::get_if<ReceivedMessage>(&Value);
      if (Received == nullptr || Received->m_kind != PeerMessageKind::Bootstrap)
        continue;
      auto Read = decodeCoreMessage(Received->m_kind, Received->m_bytes);
      if (Read)
        Forming.receive(Received->m_from,
                        std::get<BootstrapMessage>(Read.value()));
    }
    sendAll(Forming.tick(monotonicNow()));
    if (stopped())
      return false;
  }
  if (Forming.voters()) {
    auto Written = m_directory->bootstrap(*Forming.voters());
    if (!Written) {
      LogLine(LogLevel::Error, "bootstrap_failed")
          .field("reason", Written.error().m_message);
      return false;
    }
  }
  LogLine(LogLevel::Info,
          Forming.voters() ? "cluster_formed" : "joining_as_learner")
      .field("node", m_settings.m_node)
      .field("identity", m_directory->identity());
  return true;
}

bool ControlLoop::stopped() {
  absl::MutexLock Lock(&m_lock);
  return m_stopped;
}

void ControlLoop::handleWithoutCore(Event &Value) {
  if (auto *Work = std::get_if<Task>(&Value))
    (*Work)(monotonicNow());
  if (auto *Early = std::get_if<Submitted>(&Value))
    Early->m_waiter->complete({});
}

void ControlLoop::waitForStop() {
  for (;;) {
    for (Event &Value : takeEvents())
      handleWithoutCore(Value);
    absl::MutexLock Lock(&m_lock);
    if (m_stopped && m_events.empty())
      return;
  }
}

void ControlLoop::handle(Event &Value) {
  if (auto *Work = std::get_if<Task>(&Value)) {
    (*Work)(monotonicNow());
    turn();
    return;
  }
  if (auto *New = std::get_if<Submitted>(&Value)) {
    std::uint64_t Ticket = m_core->submit(monotonicNow(), New->m_command);
    m_waiters[Ticket] = New->m_waiter;
    return;
  }
  auto &Received = std::get<ReceivedMessage>(Value);
  Result<CoreMessage, PeerError> Read =
      decodeCoreMessage(Received.m_kind, Received.m_bytes);
  if (!Read) {
    m_services.m_metrics.increment("turmericdyke_peer_messages_refused_total");
    LogLine(LogLevel::Warning, "peer_message_refused")
        .field("peer", Received.m_from)
        .field("kind", nameOf(Received.m_kind))
        .field("reason", Read.error().m_message);
    return;
  }
  Instant Now = monotonicNow();
  if (const auto *Digest = std::get_if<TargetDigest>(&Read.value()))
    return m_fleet->receive(Now, Received.m_from, *Digest);
  if (const auto *Swim = std::get_if<SwimMessage>(&Read.value()))
    return m_fleet->receive(Now, *Swim, m_random);
  if (const auto *Request = std::get_if<QuotaRequest>(&Read.value())) {
    std::vector<AddressedMessage> Replies;
    if (Request->m_node == Received.m_from)
      m_quota->receive(Now, *Request, Replies);
    return sendAll(Replies);
  }
  if (const auto *Grant = std::get_if<QuotaGrant>(&Read.value()))
    return m_quota->receive(Now, *Grant);
  m_core->onMessage(Now, Received.m_from, Read.value(), m_random);
  turn();
}

void ControlLoop::turn() {
  m_driver->processActions();
  if (m_driver->storageFailed())
    m_services.m_metrics.set("turmericdyke_storage_failed", 1);
}

void ControlLoop::deliver(ControlOutput Output) {
  sendAll(Output.m_messages);
  for (const RaftEvent &Value : Output.m_events)
    logEvent(Value);
  for (Completion &Done : Output.m_completions) {
    if (m_fleetTickets.erase(Done.m_ticket) > 0)
      m_fleet->onCommandCompleted(Done.m_status == SubmitStatus::Committed,
                                  Done.m_result);
    auto Found = m_waiters.find(Done.m_ticket);
    if (Found == m_waiters.end())
      continue;
    Found->second->complete({Done.m_status, std::move(Done.m_result)});
    m_waiters.erase(Found);
  }
  if (Output.m_stateChanged)
    publish(monotonicNow());
}

void ControlLoop::sendAll(const std::vector<AddressedMessage> &Messages) {
  if (!m_transport)
    return;
  for (const AddressedMessage &Message : Messages) {
    EncodedMessage Encoded = encodeCoreMessage(Message.m_message);
    auto Sent = Message.m_to.empty()
                    ? m_transport->sendTo(Message.m_address, Encoded.m_kind,
                                          std::move(Encoded.m_bytes))
                    : m_transport->send(Message.m_to, Encoded.m_kind,
                                        std::move(Encoded.m_bytes));
    if (!Sent)
      m_services.m_metrics.increment("turmericdyke_peer_messages_dropped_total",
                                     {{"peer", Message.m_to.str()}});
  }
}

void ControlLoop::stepFleet(Instant Now) {
  if (Now < m_nextFleetStep)
    return;
  m_nextFleetStep = Now + internal::FleetInterval;
  LeaseStatus Lease{m_core->leads(Now), Now < m_core->leaseUntil()};
  FleetOutput Output = m_fleet->step(Now, m_core->state(), Lease, m_random);
  for (const NodeUpdate &Change : Output.m_nodeChanges)
    LogLine(LogLevel::Info, "node_state")
        .field("peer", Change.m_node)
        .field("state", nameOf(Change.m_state))
        .field("incarnation", Change.m_incarnation);
  for (const Command &Value : Output.m_commands) {
    m_fleetTickets.insert(m_core->submit(Now, Value));
  }
  for (AddressedOrder &Value : Output.m_orders)
    m_orders.send(Now, std::move(Value));
  sendAll(Output.m_messages);
  publish(Now);
}

void ControlLoop::publish(Instant Now) {
  auto View = std::make_shared<ClusterView>();
  const ControlState &State = m_core->state();
  View->m_revision = State.revision();
  if (State.declaration())
    View->m_declaration = State.declaration();
  View->m_leaseUntil = m_core->leaseUntil();
  View->m_publishedAt = Now;
  m_fleet->fillView(Now, State, *View);
  m_services.m_gate.configure(Now, *View);
  stepQuota(Now, *View);
  m_services.m_views.set(std::move(View));
}

QuotaInput ControlLoop::quotaInput(Instant Now, const ClusterView &View) const {
  QuotaInput Input;
  Input.m_declaration = View.m_declaration.get();
  Input.m_leader = m_core->raft().leader();
  Input.m_leads = m_core->leads(Now);
  for (const auto &[Id, Settings] : View.m_declaration->m_customers) {
    std::string Pool = poolName(Settings.m_resolved);
    Input.m_slots.try_emplace(Pool, 0);
    AdmissionGate::Usage Used = m_services.m_gate.usage(Pool, Id);
    Input.m_demand[Id] = Used.m_running + Used.m_queued;
  }
  for (const auto &[Pool, Serving] : View.m_pools)
    for (const ServingReplica &Replica : Serving)
      Input.m_slots[Pool] += Replica.m_slots;
  return Input;
}

void ControlLoop::stepQuota(Instant Now, const ClusterView &View) {
  QuotaInput Input = quotaInput(Now, View);
  sendAll(m_quota->step(Now, Input));
  QuotaShares Shares = m_quota->shares(Now, Input);
  for (const auto &[Pool, Slots] : Shares.m_slots)
    m_services.m_gate.setSlots(Now, Pool, Slots, Input.m_slots.at(Pool));
  for (const auto &[Id, Share] : Shares.m_customers) {
    const Customer &Settings = View.m_declaration->m_customers.at(Id);
    m_services.m_gate.setShare(Now, poolName(Settings.m_resolved), Id, Share);
  }
}

void ControlLoop::logEvent(const RaftEvent &Value) {
  LogLine(LogLevel::Info, internal::nameOf(Value.m_kind))
      .field("node", m_settings.m_node)
      .field("subject", Value.m_voter.m_node)
      .field("term", m_core->raft().term());
}

SubmitResult ControlLoop::submit(const Command &Value) {
  auto Waiting = std::make_shared<Waiter>();
  {
    absl::MutexLock Lock(&m_lock);
    if (m_stopped)
      return {};
    m_events.push_back(Submitted{Value, Waiting});
  }
  return Waiting->wait();
}

Result<void, FleetError>
ControlLoop::announce(const TargetAnnouncement &Announcement) {
  Result<void, FleetError> Taken =
      failure(FleetError{"", "this node is stopping"});
  runOnLoop([&](Instant Now) { Taken = m_fleet->announce(Now, Announcement); });
  return Taken;
}

OperatorReply ControlLoop::declaration(std::optional<std::uint64_t> Revision) {
  OperatorReply Reply = unavailableReply(Outcome::NotRun);
  runOnLoop([&](Instant) {
    if (m_core)
      Reply = declarationReply(m_core->state(), Revision);
  });
  return Reply;
}

OperatorReply ControlLoop::applyDeclaration(std::string_view Body) {
  Result<ApplyDeclaration, OperatorReply> Parsed =
      parseApply(Body, absl::Now());
  if (!Parsed)
    return Parsed.error();
  return changeReply(submit(Parsed.value()), Parsed.value().m_changeId);
}

OperatorReply ControlLoop::drain(std::string_view Body) {
  Result<SetDrained, OperatorReply> Parsed = parseDrain(Body);
  if (!Parsed)
    return Parsed.error();
  return changeReply(submit(Parsed.value()), Parsed.value().m_changeId);
}

OperatorReply ControlLoop::history() {
  OperatorReply Reply = unavailableReply(Outcome::NotRun);
  runOnLoop([&](Instant) {
    if (m_core)
      Reply = historyReply(m_core->state());
  });
  return Reply;
}

OperatorReply ControlLoop::status() {
  OperatorReply Reply = unavailableReply(Outcome::NotRun);
  runOnLoop([&](Instant Now) {
    if (m_core)
      Reply = {200, statusJson(Now)};
  });
  return Reply;
}

nlohmann::json ControlLoop::customersJson() const {
  std::shared_ptr<const ClusterView> View = m_services.m_views.get();
  nlohmann::json Customers = nlohmann::json::array();
  for (const auto &[Id, Settings] : View->m_declaration->m_customers) {
    std::string Pool = poolName(Settings.m_resolved);
    AdmissionGate::Usage Used = m_services.m_gate.usage(Pool, Id);
    auto Serving = View->m_pools.find(Pool);
    std::size_t Replicas =
        Serving == View->m_pools.end() ? 0 : Serving->second.size();
    Customers.push_back({{"customer", Id.str()},
                         {"pool", Pool},
                         {"capacity", Settings.m_capacity},
                         {"running", Used.m_running},
                         {"queued", Used.m_queued},
                         {"replicas_serving", Replicas}});
  }
  return Customers;
}

std::string ControlLoop::statusJson(Instant Now) {
  nlohmann::json Status = {{"node", m_settings.m_node.str()},
                           {"revision", m_core->state().revision()},
                           {"leader", m_core->raft().leader().str()},
                           {"term", m_core->raft().term()},
                           {"commit_index", m_core->raft().commitIndex()}};
  m_fleet->fillStatus(Now, m_core->state(), Now < m_core->leaseUntil(), Status);
  Status["customers"] = customersJson();
  for (nlohmann::json &Entry : Status["nodes"]) {
    NodeId Node(Entry["node"].get<std::string>());
    Entry["voter"] = m_core->raft().voters().find(Node) != nullptr;
  }
  return Status.dump();
}

} // namespace turmericdyke
