#include "SimCluster.h"

#include "turmericdyke/Declaration"

namespace turmericdyke::fuzz {

namespace {

constexpr std::size_t Nodes = 5;
constexpr std::size_t Voters = 3;
constexpr std::size_t ModelTargets = 10;
constexpr std::size_t ServiceTargets = 2;
constexpr std::size_t HostsPerDomain = 5;
constexpr absl::Duration Step = absl::Milliseconds(20);
constexpr std::uint64_t StepsPerAnnouncement = 25;
/// Limit on the recovery time after the last fault.
constexpr absl::Duration RecoveryBound = absl::Seconds(60);
/// A silence that a planner may count as a loss. Two losses put a target in
/// hold-down.
constexpr absl::Duration LossAfter = absl::Milliseconds(2300);

constexpr std::string_view DeclarationText = R"(
templates:
  chat:
    parameters:
      version: {{}}
    model: chat-8b
    version: ${{version}}
    hosts_per_replica: 2
    accelerators_per_host: 8
    slots_per_replica: 8
    patch_policy: accept
services:
  orders:
    deadline: 10s
    operations:
      order: {{method: POST, path: /orders, repeatable: false}}
customers:
  small:
    template: chat
    parameters: {{version: "1"}}
    capacity: {}
    capacity_limit: 24
    services: [orders]
    key_hashes:
      - sha256:24a322b6bf551124425bc8107dfd0f9c:d8b40b4773b20f3b1c6ba3e18284c1fbf38b1d256774961dc5404c3c9a04582b
  large:
    template: chat
    parameters: {{version: "{}"}}
    capacity: 8
    capacity_limit: 8
    services: [orders]
    key_hashes:
      - sha256:61c26a1b8922f75107ab6155bc4df23d:55151fa27b564153223e10a0e10f7cab2d6c2f58cc6cee5a33add5adc70fecf5
)";

std::string declarationOf(std::uint64_t Number) {
  std::string Text = fmt::format(DeclarationText, Number % 2 == 0 ? 8 : 16,
                                 Number / 2 % 2 + 2);
  Result<Declaration, DeclarationError> Read =
      parseDeclarationYaml(Text, "fuzz");
  if (!Read)
    throw std::logic_error(Read.error().m_field);
  return declarationJson(Read.value());
}

SimTarget initialTarget(std::size_t Index) {
  TargetAnnouncement Announcement;
  Announcement.m_host = HostId(fmt::format("h{:02}", Index));
  Announcement.m_target = TargetId(fmt::format("t{:02}", Index));
  Announcement.m_incarnation = 1;
  std::string Domain = fmt::format("f{}", Index / HostsPerDomain);
  Announcement.m_fabricDomain = FabricDomainId(Domain);
  Announcement.m_failureDomain = FailureDomainId(Domain);
  Announcement.m_accelerators = 8;
  Announcement.m_address = Announcement.m_target.str();
  Announcement.m_engineBuild = "build-1";
  Announcement.m_checksFencing = Index % 3 != 0;
  if (Index >= ModelTargets) {
    Announcement.m_kind = TargetKind::Service;
    Announcement.m_service = ServiceId("orders");
    Announcement.m_state = TargetState::Ready;
  }
  SimTarget Target(Announcement);
  Target.m_node = Index % Nodes;
  return Target;
}

constexpr std::string_view ActionNames[] = {
    "wait",       "change declaration", "crash node",   "lose data",
    "pause node", "crash leader",       "pause leader", "transfer leadership",
    "partition",  "block link",         "crash target", "pause target",
    "leave",      "crash two targets",  "lose domain",  "patch engine"};

} // namespace

std::ostream &operator<<(std::ostream &Out, const Action &Value) {
  return Out << "{" << ActionNames[static_cast<std::size_t>(Value.m_kind)]
             << " at " << Value.m_where << " for " << Value.m_length
             << " ms, then " << Value.m_ms << " ms}";
}

SimCluster::SimCluster(FuzzOptions Options)
    : m_options(Options), m_random(Options.m_seed), m_now(absl::UnixEpoch()),
      m_processes(Nodes + ModelTargets + ServiceTargets),
      m_oracle(m_nodes, m_targets) {
  m_now += absl::Hours(1);
  for (std::size_t Index = 0; Index < ModelTargets + ServiceTargets; ++Index)
    m_targets.push_back(initialTarget(Index));
  for (std::size_t Index = 0; Index < Nodes; ++Index) {
    NodeHooks Hooks;
    Hooks.m_send = [this, Index](const AddressedMessage &Value) {
      std::string Name =
          Value.m_to.empty() ? Value.m_address : Value.m_to.str();
      std::size_t To = static_cast<std::size_t>(Name.at(1) - '0');
      transmit(Index, To, [this, Index, To, Message = Value.m_message] {
        m_nodes[To]->receive(m_now, SimNode::nameOf(Index), Message, m_random);
      });
    };
    Hooks.m_order = [this, Index](const AddressedOrder &Value) {
      sendOrder(Index, Value);
    };
    Hooks.m_published = [this, Index] { m_oracle.viewPublished(m_now, Index); };
    m_nodes.push_back(
        std::make_unique<SimNode>(m_options, Index, Index < Voters, Hooks));
  }
  for (auto &Node : m_nodes)
    Node->start(m_now, m_random);
}

std::string SimCluster::run(const std::vector<Action> &Actions) {
  // Forms the cluster and applies the first declaration.
  advance(absl::Seconds(4));
  changeDeclaration(0, 1);
  advance(absl::Seconds(12));
  for (const Action &Value : Actions) {
    apply(Value);
    advance(absl::Milliseconds(Value.m_ms));
    if (!m_oracle.failure().empty())
      return m_oracle.failure();
  }
  heal();
  std::string Missing = "not run";
  for (Instant End = m_now + RecoveryBound; m_now < End && !Missing.empty();) {
    advance(absl::Milliseconds(500));
    std::set<TargetId> HeldDown;
    for (std::size_t Index = 0; Index < ModelTargets; ++Index)
      if (m_processes[processOf(Index)].m_losses > 1)
        HeldDown.insert(m_targets[Index].m_announcement.m_target);
    Missing = m_oracle.unhealthy(m_now, HeldDown);
    if (!m_oracle.failure().empty())
      return m_oracle.failure();
  }
  return Missing.empty() ? "" : "no recovery within 60 s: " + Missing;
}

void SimCluster::advance(absl::Duration Length) {
  for (Instant End = m_now + Length; m_now < End && m_oracle.failure().empty();)
    step();
}

void SimCluster::step() {
  Instant End = m_now + Step;
  while (!m_events.empty() && m_events.begin()->first <= End) {
    auto Due = m_events.extract(m_events.begin());
    m_now = std::max(m_now, Due.key());
    Due.mapped()();
  }
  m_now = End;
  ++m_steps;
  for (std::size_t Which = 0; Which < m_processes.size(); ++Which)
    if (m_processes[Which].m_up && !m_processes[Which].m_deferred.empty() &&
        m_now >= m_processes[Which].m_pausedUntil)
      resume(Which);
  for (std::size_t Node = 0; Node < Nodes; ++Node)
    if (active(Node)) {
      m_nodes[Node]->tick(m_now, m_random);
      generateLoad(Node);
    }
  for (std::size_t Target = 0; Target < m_targets.size(); ++Target)
    if (active(processOf(Target))) {
      m_targets[Target].tick(m_now);
      if ((m_steps + Target * 2) % StepsPerAnnouncement == 0)
        announce(Target);
    }
  countLosses();
  m_oracle.checkLeaders(m_now);
  for (const CallPtr &Value : m_calls)
    if (Value->m_machine && active(Value->m_node))
      perform(Value, Value->m_machine->onTick(m_now));
  std::erase_if(m_calls,
                [](const CallPtr &Value) { return !Value->m_machine; });
}

void SimCluster::countLosses() {
  for (std::size_t Index = 0; Index < ModelTargets; ++Index) {
    absl::Duration Silence = m_now - m_targets[Index].m_lastHeard;
    if (Silence >= LossAfter && Silence < LossAfter + Step)
      ++m_processes[processOf(Index)].m_losses;
  }
}

void SimCluster::at(absl::Duration Delay, Task Run) {
  m_events.emplace(m_now + Delay, std::move(Run));
}

bool SimCluster::active(std::size_t Which) const {
  return m_processes[Which].m_up && m_now >= m_processes[Which].m_pausedUntil;
}

void SimCluster::deliver(std::size_t To, absl::Duration Delay, Task Run) {
  at(Delay, [this, To, Epoch = m_processes[To].m_epoch, Run = std::move(Run)] {
    Process &Receiver = m_processes[To];
    if (!Receiver.m_up || Receiver.m_epoch != Epoch)
      return;
    if (active(To) && Receiver.m_deferred.empty())
      return Run();
    Receiver.m_deferred.push_back(Run);
  });
}

bool SimCluster::linked(std::size_t From, std::size_t To) const {
  return m_processes[From].m_partition == m_processes[To].m_partition &&
         m_blockedLinks.count({From, To}) == 0;
}

absl::Duration SimCluster::delay() {
  double Longest = m_faults && randomChance(0.05) ? 300 : 20;
  return absl::Milliseconds(absl::Uniform(m_random, 1.0, Longest));
}

void SimCluster::transmit(std::size_t From, std::size_t To, const Task &Run) {
  if (!linked(From, To) || (m_faults && randomChance(0.02)))
    return;
  deliver(To, delay(), Run);
  if (m_faults && randomChance(0.03))
    deliver(To, delay(), Run);
}

void SimCluster::announce(std::size_t Target) {
  SimTarget &Sender = m_targets[Target];
  std::size_t Node = Sender.m_node;
  if (!linked(processOf(Target), Node) || !active(Node)) {
    Sender.m_node = randomBelow(Nodes);
    return;
  }
  transmit(processOf(Target), Node,
           [this, Target, Node, Announcement = Sender.announce()] {
             if (!m_nodes[Node]->announce(m_now, Announcement))
               return;
             m_targets[Target].onAnnounced(m_now, Announcement);
           });
}

void SimCluster::sendOrder(std::size_t From, const AddressedOrder &Value) {
  std::size_t Target = std::stoul(Value.m_address.substr(1));
  auto Follow = [this, Target, Value] {
    SimTarget &Receiver = m_targets[Target];
    bool Checks =
        Receiver.m_announcement.m_checksFencing && !m_options.m_skipFenceCheck;
    if (!Receiver.follow(m_now, Value.m_order, Checks))
      return;
    trace("t{:02} follows order {} {} generation {} fence {}", Target,
          nameOf(Value.m_order.m_kind),
          Value.m_order.m_membership.m_replica.str(),
          Value.m_order.m_membership.m_generation,
          Value.m_order.m_fencingToken);
    m_oracle.orderFollowed(Receiver, Value.m_order);
  };
  // A duplicate may be delayed for as long as an order is valid.
  if (m_faults && linked(From, processOf(Target)) && randomChance(0.1))
    deliver(processOf(Target), absl::Milliseconds(randomBelow(5000)), Follow);
  transmit(From, processOf(Target), Follow);
}

void SimCluster::changeDeclaration(std::size_t First, std::size_t Second) {
  for (std::size_t Node : {First, Second}) {
    if (!active(Node))
      continue;
    ApplyDeclaration Change;
    Change.m_changeId = fmt::format("change-{}", ++m_next);
    Change.m_baseRevision = m_nodes[Node]->core().state().revision();
    Change.m_author = fmt::format("operator-{}", Node);
    Change.m_declaration = declarationOf(m_next);
    submitChange(Node, Change);
    for (int Times = 0; Times < 2; ++Times)
      at(absl::Milliseconds(randomBelow(4000)), [this, Change] {
        std::size_t Other = randomBelow(Nodes);
        if (active(Other))
          submitChange(Other, Change);
      });
  }
}

void SimCluster::submitChange(std::size_t Node,
                              const ApplyDeclaration &Change) {
  m_nodes[Node]->submit(m_now, Change, [=, this](const Completion &Done) {
    trace("n{} {} status {} result {}", Node, Change.m_changeId,
          static_cast<int>(Done.m_status), Done.m_result.index());
    m_oracle.changeDone(Change, Done);
  });
}

void SimCluster::generateLoad(std::size_t Node) {
  if (randomChance(0.05))
    requestCompletion(Node);
  if (randomChance(0.01)) {
    m_keys.push_back(fmt::format("key-{}", ++m_next));
    callOnceOnly(Node, m_keys.back());
    for (int Times = 0; Times < 2; ++Times)
      at(absl::Milliseconds(randomBelow(6000)), [this, Key = m_keys.back()] {
        std::size_t Other = randomBelow(Nodes);
        if (active(Other))
          callOnceOnly(Other, Key);
      });
  }
}

bool SimCluster::mayStart(std::size_t Node) const {
  return m_options.m_skipLeaseCheck ||
         m_nodes[Node]->view()->mayStart(m_nodes[Node]->clock(m_now));
}

void SimCluster::requestCompletion(std::size_t Node) {
  if (!mayStart(Node))
    return;
  if (!randomChance(0.1))
    return startCompletion(Node);
  // The request waits in a queue or for a retry.
  deliver(Node, absl::Milliseconds(randomBelow(5000)),
          [this, Node] { startCompletion(Node); });
}

void SimCluster::startCompletion(std::size_t Node) {
  std::shared_ptr<const ClusterView> View = m_nodes[Node]->view();
  if (View->m_pools.empty() || !(m_options.m_skipRecheck || mayStart(Node)))
    return;
  auto Pool =
      std::next(View->m_pools.begin(), randomBelow(View->m_pools.size()));
  const ServingReplica &Chosen = Pool->second[randomBelow(Pool->second.size())];
  auto Value = std::make_shared<Call>();
  Value->m_node = Node;
  Value->m_target = std::stoul(Chosen.m_headAddress.substr(1));
  Value->m_targetIncarnation = Chosen.m_headIncarnation;
  std::vector<std::size_t> Members = {Value->m_target};
  auto Assigned = m_nodes[Node]->core().state().assignment(Chosen.m_replica);
  if (Assigned && Assigned->m_generation == Chosen.m_generation)
    for (const AssignedMember &Member : Assigned->m_members)
      Members.push_back(std::stoul(Member.m_target.str().substr(1)));
  send(Value, *View, Members, ResponseFormat::EventStream);
}

void SimCluster::callOnceOnly(std::size_t Node, const std::string &Key) {
  if (!mayStart(Node))
    return;
  BeginOnceOnly Begin;
  Begin.m_customer = CustomerId("small");
  Begin.m_key = Key;
  Begin.m_requestDigest = "digest of " + Key;
  Begin.m_node = SimNode::nameOf(Node);
  Begin.m_nodeIncarnation = m_nodes[Node]->incarnation();
  Begin.m_attempt = AttemptId(fmt::format("a{}", ++m_next));
  if (m_options.m_skipCommitWait)
    runRecorded(Node, Begin, false);
  m_nodes[Node]->submit(m_now, Begin, [=, this](const Completion &Done) {
    const auto *Begun = std::get_if<BeginOnceOnlyResult>(&Done.m_result);
    trace("n{} {} {} status {} start {}", Node, Key, Begin.m_attempt.str(),
          static_cast<int>(Done.m_status),
          Begun ? static_cast<int>(Begun->m_start) : -1);
    if (m_options.m_skipCommitWait)
      return;
    if (Done.m_status != SubmitStatus::Committed || Begun == nullptr)
      return m_oracle.attemptEnded(Begin.m_attempt, Outcome::NotRun, "", "");
    if (Begun->m_start == BeginOnceOnlyStatus::Begun)
      return runRecorded(Node, Begin, true);
    m_oracle.attemptEnded(Begin.m_attempt, Outcome::NotRun, "", "");
    if (Begun->m_start == BeginOnceOnlyStatus::Known &&
        Begun->m_record.m_outcome == OnceOnlyOutcome::NotRun)
      m_oracle.keyNotRun(Key);
  });
}

void SimCluster::runRecorded(std::size_t Node, const BeginOnceOnly &Begun,
                             bool Recorded) {
  auto Value = std::make_shared<Call>();
  Value->m_attempt = Begun.m_attempt;
  Value->m_node = Node;
  Value->m_key = Begun.m_key;
  Value->m_done = [=, this](const AttemptResult &Ended) {
    if (!Recorded)
      return;
    constexpr OnceOnlyOutcome Outcomes[] = {OnceOnlyOutcome::NotRun,
                                            OnceOnlyOutcome::MayHaveRun,
                                            OnceOnlyOutcome::Ran};
    FinishOnceOnly Finish;
    Finish.m_customer = Begun.m_customer;
    Finish.m_key = Begun.m_key;
    Finish.m_node = Begun.m_node;
    Finish.m_nodeIncarnation = Begun.m_nodeIncarnation;
    Finish.m_attempt = Begun.m_attempt;
    Finish.m_outcome = Outcomes[static_cast<std::size_t>(
        m_options.m_skipOutcome ? Outcome::NotRun : Ended.outcome())];
    Finish.m_answerStatus = Ended.m_status;
    m_nodes[Node]->submit(m_now, Finish, [](const Completion &) {});
  };
  std::shared_ptr<const ClusterView> View = m_nodes[Node]->view();
  auto Found = View->m_services.find(ServiceId("orders"));
  AttemptResult NoTarget;
  NoTarget.m_end = AttemptEnd::ConnectFailed;
  if (Found == View->m_services.end() ||
      !(m_options.m_skipRecheck || m_options.m_skipCommitWait ||
        mayStart(Node)))
    return Value->m_done(NoTarget);
  const ServiceEndpoint &Chosen =
      Found->second[randomBelow(Found->second.size())];
  Value->m_target = std::stoul(Chosen.m_address.substr(1));
  Value->m_targetIncarnation = Chosen.m_incarnation;
  send(Value, *View, {Value->m_target}, ResponseFormat::Plain);
}

void SimCluster::send(const CallPtr &Value, const ClusterView &View,
                      const std::vector<std::size_t> &Members,
                      ResponseFormat Shape) {
  m_oracle.workStarted(m_now, Value->m_node, View, Members);
  if (Value->m_attempt.empty())
    Value->m_attempt = AttemptId(fmt::format("a{}", ++m_next));
  Value->m_machine.emplace(Value->m_attempt, Shape, AttemptLimits(), m_now);
  m_calls.push_back(Value);
  std::size_t Target = processOf(Value->m_target);
  if (!m_processes[Target].m_up)
    return answer(Value, delay(), [](AttemptMachine &Machine, Instant Now) {
      return Machine.onConnectionEnd(Now, ConnectionEnd::ConnectFailed);
    });
  Value->m_machine->onSending();
  // On a blocked link the attempt ends by timeout.
  if (linked(Value->m_node, Target))
    deliver(Target, delay(), [this, Value] { serve(Value); });
}

std::string SimCluster::completeAnswer(const Call &Value) const {
  std::string Chunk = fmt::format(
      "data: {{\"choices\":[{{\"delta\":{{\"content\":\"{}\"}}}}]}}\n\n",
      Value.m_attempt.str());
  if (!Value.m_key.empty())
    return Chunk;
  return Chunk + Chunk +
         "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
         "data: [DONE]\n\n";
}

void SimCluster::serve(const CallPtr &Value) {
  ResponseHead Head;
  Head.m_status = 200;
  Head.m_attempt = Value->m_attempt;
  if (!m_targets[Value->m_target].takesWork()) {
    Head.m_status = 503;
    Head.m_statesNotRun = true;
    return answer(Value, delay(), [Head](AttemptMachine &Machine, Instant Now) {
      return Machine.onHead(Now, Head);
    });
  }
  m_oracle.attemptRan(Value->m_attempt, Value->m_key);
  std::string Text = completeAnswer(*Value);
  AttemptId &Last = m_lastAttempt[Value->m_target];
  if (m_faults && !Last.empty() && randomChance(0.03)) {
    // Sends the answer to an earlier attempt on this connection.
    Call Other = *Value;
    Other.m_attempt = Last;
    Head.m_attempt = Last;
    Text = completeAnswer(Other);
  }
  Last = Value->m_attempt;
  if (m_options.m_skipEchoCheck)
    Head.m_attempt = Value->m_attempt;
  bool Truncated = m_faults && randomChance(0.05);
  std::size_t Split = randomBelow(Text.size());
  absl::Duration Time = absl::Milliseconds(randomBelow(1500));
  answer(Value, Time, [Head](AttemptMachine &Machine, Instant Now) {
    return Machine.onHead(Now, Head);
  });
  answer(Value, Time + absl::Milliseconds(1),
         [First = Text.substr(0, Split)](AttemptMachine &Machine, Instant Now) {
           return Machine.onBody(Now, First);
         });
  answer(Value, Time + absl::Milliseconds(300),
         [Rest = Truncated ? "" : Text.substr(Split)](AttemptMachine &Machine,
                                                      Instant Now) {
           return Machine.onBody(Now, Rest);
         });
  answer(Value, Time + absl::Milliseconds(301),
         [Truncated](AttemptMachine &Machine, Instant Now) {
           return Machine.onConnectionEnd(
               Now, Truncated ? ConnectionEnd::Broken
                              : ConnectionEnd::MessageComplete);
         });
}

void SimCluster::answer(
    const CallPtr &Value, absl::Duration Delay,
    const std::function<AttemptActions(AttemptMachine &, Instant)> &Event) {
  std::size_t Target = processOf(Value->m_target);
  std::uint64_t Epoch = m_processes[Target].m_epoch;
  deliver(Value->m_node, Delay, [this, Value, Target, Epoch, Event] {
    if (!Value->m_machine || !linked(Target, Value->m_node))
      return;
    if (m_processes[Target].m_epoch == Epoch)
      return perform(Value, Event(*Value->m_machine, m_now));
    // The target has crashed in the meantime.
    perform(Value,
            Value->m_machine->onConnectionEnd(m_now, ConnectionEnd::Broken));
  });
}

void SimCluster::perform(const CallPtr &Value, const AttemptActions &Actions) {
  Value->m_forwarded += Actions.m_forward;
  if (!Actions.m_result)
    return;
  if (!Value->m_key.empty())
    Value->m_forwarded = Value->m_machine->body();
  Outcome Known =
      m_options.m_skipOutcome && Actions.m_result->outcome() != Outcome::Ran
          ? Outcome::NotRun
          : Actions.m_result->outcome();
  m_oracle.attemptEnded(Value->m_attempt, Known, Value->m_forwarded,
                        completeAnswer(*Value));
  Value->m_machine.reset();
  if (Value->m_done)
    Value->m_done(*Actions.m_result);
}

} // namespace turmericdyke::fuzz
