#include "Simulation.h"

#include <algorithm>

#include <fmt/format.h>

#include "absl/random/distributions.h"

namespace turmericdyke::bench {

namespace {

constexpr int NodeCount = 9;
constexpr int Domains = 3;
constexpr int StepMs = 10;
constexpr int ReportSteps = 50;
constexpr int QuotaSteps = 25;
constexpr absl::Duration ReportLag = absl::Milliseconds(500);
constexpr absl::Duration EventLag = absl::Seconds(1);
/// Time of the second crest, at which a failure domain is lost.
constexpr double LossSecond = 33;
constexpr double DetectedSecond = 33.5;
constexpr double StragglerSpeed = 0.25;
constexpr double SkewedShare = 0.8;
constexpr double EventLoss = 0.01;
constexpr int PrefixesPerCustomer = 4;
/// Part of the long requests whose token limit does not show that they are.
constexpr double HiddenLong = 0.3;
constexpr double TokensPerObservation = 16;

ReplicaId replicaId(int Replica) {
  return ReplicaId(fmt::format("r{}", Replica));
}

AttemptId attemptId(const Job &J) { return AttemptId(J.m_id.str()); }

std::unique_ptr<RoutingStrategy> makeStrategy(Policy P) {
  switch (P) {
  case Policy::RoundRobin:
    return std::make_unique<RoundRobin>();
  case Policy::LeastOutstanding:
    return std::make_unique<LeastOutstanding>();
  case Policy::TwoRandomChoices:
    return std::make_unique<TwoRandomChoices>();
  case Policy::Weighted:
    break;
  }
  return std::make_unique<WeightedStrategy>();
}

std::unique_ptr<ConcurrencyController> makeController(Controller C,
                                                      std::int64_t Slots) {
  ConcurrencyBounds Bounds{2, Slots, 2 * Slots};
  if (C == Controller::Gradient)
    return std::make_unique<GradientController>(Bounds);
  if (C == Controller::Backlog)
    return makeConcurrencyController(Bounds);
  return nullptr;
}

} // namespace

struct Simulation::Node {
  int m_number = 0;
  std::unique_ptr<RoutingStrategy> m_strategy;
  LoadTracker m_loads;
  StragglerTracker m_stragglers;
  PrefixIndex m_prefixes;
  AdmissionController m_admission;
  QuotaClient m_quota;
  /// Admitted requests that no replica takes yet.
  std::deque<RequestId> m_unrouted;

  Node(int Number, Policy P, const QuotaOptions &Options)
      : m_number(Number), m_strategy(makeStrategy(P)),
        m_quota(NodeId(fmt::format("n{}", Number)), 1, Options) {}
};

Simulation::Simulation(const Workload &W, const Scenario &S)
    : m_workload(W), m_scenario(S), m_arrivals(S.m_seed),
      m_random(S.m_seed + 1), m_customers(makeCustomers(W)),
      m_shares(trafficShares(m_customers)),
      m_knownLost(static_cast<std::size_t>(W.m_replicas)),
      m_firstTokenSamples(static_cast<std::size_t>(W.m_replicas)) {
  m_quotaOptions.m_maxNodes = NodeCount;
  m_quotaOptions.m_lease = absl::Seconds(2);
  for (int Replica = 0; Replica < W.m_replicas; ++Replica) {
    bool IsSlow = S.m_straggler && Replica == 0;
    m_engines.emplace_back(W, IsSlow ? StragglerSpeed : 1.0);
    m_engines.back().setPriorities(S.m_admission &&
                                   S.m_policy == Policy::Weighted);
    m_controllers.push_back(makeController(S.m_controller, W.m_slots));
  }
  // The leader has been in office for long when the run starts.
  m_allocator = std::make_unique<QuotaAllocator>(m_now - absl::Seconds(10),
                                                 m_quotaOptions);
  for (int Number = 0; Number < NodeCount; ++Number) {
    m_nodes.push_back(
        std::make_unique<Node>(Number, S.m_policy, m_quotaOptions));
    for (const Customer &C : m_customers)
      m_nodes.back()->m_admission.setCustomer(m_now, C);
  }
}

Simulation::~Simulation() = default;

Outcome Simulation::run() {
  auto Steps = static_cast<std::int64_t>(m_scenario.m_seconds * 1000 / StepMs);
  for (m_step = 0; m_step < Steps; ++m_step) {
    m_now += absl::Milliseconds(StepMs);
    deliverReports();
    if (m_step % QuotaSteps == 0)
      renewQuotas();
    if (m_step * StepMs == static_cast<std::int64_t>(LossSecond * 1000))
      loseDomain();
    if (m_step * StepMs == static_cast<std::int64_t>(DetectedSecond * 1000))
      detectLoss();
    arrive();
    stepEngines();
    hangUp();
    for (const auto &N : m_nodes)
      runNode(*N);
    if (m_step % ReportSteps == 0)
      sendReports();
    if (m_scenario.m_trace && m_step % 100 == 0)
      trace();
  }
  m_outcome.m_seconds = m_scenario.m_seconds;
  return std::move(m_outcome);
}

void Simulation::arrive() {
  double Second = static_cast<double>(m_step) * StepMs / 1000;
  double Capacity = m_workload.m_replicas * m_workload.m_slots /
                    meanService(m_workload, m_scenario.m_longShare);
  double Mean = loadFactor(Second) * Capacity * StepMs / 1000;
  auto Count = absl::Poisson<int>(m_arrivals, Mean);
  for (int Index = 0; Index < Count; ++Index) {
    std::unique_ptr<Job> New = makeJob();
    Job *J = New.get();
    m_jobs.emplace(J->m_id, std::move(New));
    m_hangUps.emplace_back(J->m_firstTokenBy, J->m_id);
    offer(J);
  }
}

std::unique_ptr<Job> Simulation::makeJob() {
  auto J = std::make_unique<Job>();
  J->m_id = RequestId(std::to_string(m_nextId++));
  double Draw = absl::Uniform<double>(m_arrivals, 0, 1);
  for (double Share : m_shares) {
    Draw -= Share;
    if (Draw < 0)
      break;
    ++J->m_customer;
  }
  J->m_customer =
      std::min(J->m_customer, static_cast<int>(m_customers.size()) - 1);
  bool ToFirst = m_scenario.m_balancer == Balancer::Skewed &&
                 absl::Bernoulli(m_arrivals, SkewedShare);
  int AnyNode = absl::Uniform<int>(m_arrivals, 0, NodeCount);
  J->m_node = ToFirst ? 0 : AnyNode;
  J->m_isLong = absl::Bernoulli(m_arrivals, m_scenario.m_longShare);
  const Workload &W = m_workload;
  J->m_promptTokens = drawLogNormal(
      J->m_isLong ? W.m_longPrompt : W.m_shortPrompt, 0.5, m_arrivals);
  J->m_outputTokens =
      1 + drawLogNormal(J->m_isLong ? W.m_longOutput : W.m_shortOutput, 0.6,
                        m_arrivals);
  bool Hidden = absl::Bernoulli(m_arrivals, HiddenLong);
  RequestSize Size;
  Size.m_promptTokens = static_cast<std::int64_t>(J->m_promptTokens);
  Size.m_tokenLimit = J->m_isLong && !Hidden ? LongTokens : 256;
  J->m_class = estimateClass(Size, LongTokens);
  int Prefix = absl::Uniform<int>(m_arrivals, 0, PrefixesPerCustomer);
  J->m_prefix = J->m_customer * PrefixesPerCustomer + Prefix;
  J->m_route.m_class = J->m_class;
  J->m_route.m_prefixHashes = {hashOfPrefix(J->m_prefix)};
  J->m_arrived = m_now;
  J->m_firstTokenBy = m_now + W.m_firstTokenDeadline;
  return J;
}

void Simulation::offer(Job *J) {
  Node &N = *m_nodes[static_cast<std::size_t>(J->m_node)];
  ++m_outcome.m_offered;
  m_outcome.m_modestOffered += J->m_customer != 2;
  if (!m_scenario.m_admission) {
    N.m_unrouted.push_back(J->m_id);
    return;
  }
  AdmissionRequest Request;
  Request.m_id = J->m_id;
  Request.m_customer =
      m_customers[static_cast<std::size_t>(J->m_customer)].m_id;
  Request.m_class = J->m_class;
  Request.m_bytes = static_cast<std::int64_t>(J->m_promptTokens * 4);
  handle(N, N.m_admission.offer(m_now, Request));
}

void Simulation::stepEngines() {
  for (std::size_t Replica = 0; Replica < m_engines.size(); ++Replica) {
    Engine::Progress P = m_engines[Replica].step(m_now, StepMs / 1000.0);
    for (Job *J : P.m_firstTokens) {
      J->m_firstTokenAt = m_now;
      m_nodes[static_cast<std::size_t>(J->m_node)]->m_admission.firstToken(
          m_now, J->m_id);
      double Wait = absl::ToDoubleSeconds(m_now - J->m_arrived);
      m_firstTokenSamples[Replica].push_back(
          absl::ToDoubleSeconds(m_now - J->m_submittedAt));
      if (!J->m_isLong)
        m_outcome.m_shortFirstToken.push_back(Wait);
    }
    for (Job *J : m_engines[Replica].running())
      if (J->m_generated - J->m_observedTokens >= TokensPerObservation)
        observe(J);
    for (Job *J : P.m_finished)
      finish(J);
  }
}

void Simulation::observe(Job *J) {
  Node &N = *m_nodes[static_cast<std::size_t>(J->m_node)];
  double Seconds = absl::ToDoubleSeconds(m_now - J->m_observedAt);
  double Tokens = J->m_generated - J->m_observedTokens;
  N.m_stragglers.observe(m_now, replicaId(J->m_replica), Seconds / Tokens);
  J->m_observedAt = m_now;
  J->m_observedTokens = J->m_generated;
  const Customer &C = m_customers[static_cast<std::size_t>(J->m_customer)];
  RequestSize Size{static_cast<std::int64_t>(J->m_promptTokens), 0};
  RequestClass Corrected =
      correctClass(J->m_class, Size, static_cast<std::int64_t>(J->m_generated),
                   C.m_longTokens);
  if (Corrected == J->m_class)
    return;
  J->m_class = Corrected;
  J->m_route.m_class = Corrected;
  N.m_loads.reclassified(m_now, attemptId(*J), Corrected);
  N.m_admission.reclassify(m_now, J->m_id, Corrected);
}

void Simulation::finish(Job *J) {
  ++m_outcome.m_good;
  m_outcome.m_modestGood += J->m_customer != 2;
  if (J->m_isLong) {
    double Alone = J->m_promptTokens / m_workload.m_prefillRate +
                   J->m_outputTokens / m_workload.m_decodeRate;
    m_outcome.m_longSlowdown.push_back(
        absl::ToDoubleSeconds(m_now - J->m_arrived) / Alone);
  }
  drop(J);
}

void Simulation::drop(Job *J) {
  Node &N = *m_nodes[static_cast<std::size_t>(J->m_node)];
  N.m_loads.finished(m_now, attemptId(*J));
  RequestId Id = J->m_id;
  m_jobs.erase(Id);
  N.m_admission.finish(m_now, Id);
}

void Simulation::hangUp() {
  while (!m_hangUps.empty() && m_hangUps.front().first <= m_now) {
    Job *J = find(m_hangUps.front().second);
    m_hangUps.pop_front();
    if (!J || J->hasFirstToken())
      continue;
    ++m_outcome.m_late;
    if (J->m_replica >= 0)
      m_engines[static_cast<std::size_t>(J->m_replica)].remove(J);
    drop(J);
  }
}

void Simulation::sendReports() {
  for (std::size_t Index = 0; Index < m_engines.size(); ++Index) {
    Engine &E = m_engines[Index];
    if (E.isLost())
      continue;
    auto Replica = static_cast<int>(Index);
    m_reports.push_back({m_now + ReportLag, Replica, E.load()});
    m_events.push_back({m_now + EventLag, Replica, E.takeEvents()});
  }
}

void Simulation::deliverReports() {
  while (!m_reports.empty() && m_reports.front().m_arrives <= m_now) {
    const Report &R = m_reports.front();
    for (const auto &N : m_nodes)
      N->m_loads.reported(m_now, replicaId(R.m_replica), R.m_load, ReportLag);
    auto Index = static_cast<std::size_t>(R.m_replica);
    std::vector<double> &Samples = m_firstTokenSamples[Index];
    double Sum = 0;
    for (double Sample : Samples)
      Sum += Sample;
    double Mean =
        Samples.empty() ? 0 : Sum / static_cast<double>(Samples.size());
    Samples.clear();
    if (m_controllers[Index])
      m_controllers[Index]->observe(
          m_now, {absl::Seconds(Mean), R.m_load.m_running, R.m_load.m_waiting});
    m_reports.pop_front();
  }
  while (!m_events.empty() && m_events.front().m_arrives <= m_now) {
    Events E = std::move(m_events.front());
    m_events.pop_front();
    for (const auto &N : m_nodes)
      if (!E.m_events.empty() && !absl::Bernoulli(m_random, EventLoss))
        N->m_prefixes.apply(replicaId(E.m_replica), 1, E.m_events);
  }
}

void Simulation::loseDomain() {
  if (!m_scenario.m_domainLoss)
    return;
  for (std::size_t Index = 0; Index < m_engines.size(); Index += Domains)
    m_engines[Index].lose();
}

void Simulation::detectLoss() {
  for (std::size_t Index = 0; Index < m_engines.size(); ++Index)
    m_knownLost[Index] = m_engines[Index].isLost();
  std::vector<Job *> Affected;
  for (const auto &[Id, J] : m_jobs)
    if (J->m_replica >= 0 &&
        m_knownLost[static_cast<std::size_t>(J->m_replica)])
      Affected.push_back(J.get());
  // The order of the map depends on the process, that of the identifiers not.
  std::sort(Affected.begin(), Affected.end(),
            [](const Job *A, const Job *B) { return A->m_id < B->m_id; });
  for (Job *J : Affected) {
    Node &N = *m_nodes[static_cast<std::size_t>(J->m_node)];
    if (J->hasFirstToken()) {
      ++m_outcome.m_lost;
      drop(J);
      continue;
    }
    N.m_loads.finished(m_now, attemptId(*J));
    J->m_route.m_excluded.push_back(replicaId(J->m_replica));
    J->m_replica = -1;
    N.m_unrouted.push_back(J->m_id);
  }
}

std::int64_t Simulation::poolLimit() const {
  std::int64_t Sum = 0;
  for (std::size_t Index = 0; Index < m_engines.size(); ++Index)
    if (!m_knownLost[Index])
      Sum += m_controllers[Index] ? m_controllers[Index]->limit()
                                  : m_workload.m_slots;
  return Sum;
}

void Simulation::renewQuotas() {
  LimitId Pool = poolLimitId("pool");
  std::int64_t PoolLimit = poolLimit();
  m_allocator->setLimit(Pool, PoolLimit);
  for (const auto &N : m_nodes) {
    AdmissionController &A = N->m_admission;
    if (!m_scenario.m_quotas) {
      A.setSlots(m_now, PoolLimit / NodeCount);
      for (const Customer &C : m_customers)
        A.setShare(
            m_now, C.m_id,
            leasedShare(C, (C.m_capacityLimit + NodeCount - 1) / NodeCount));
      continue;
    }
    std::vector<QuotaDemand> Demands = {
        {Pool, A.running() + A.queued(), A.running()}};
    for (const Customer &C : m_customers) {
      std::int64_t Running = A.runningOf(C.m_id);
      LimitId Limit = customerLimitId(C.m_id);
      m_allocator->setLimit(Limit, C.m_capacityLimit);
      Demands.push_back({Limit, Running + A.queuedOf(C.m_id), Running});
    }
    QuotaRequest Request = N->m_quota.makeRequest(m_now, Demands);
    if (auto Grant = m_allocator->request(m_now, Request))
      N->m_quota.onGrant(m_now, *Grant);
    A.setSlots(m_now, N->m_quota.amount(m_now, Pool, PoolLimit));
    for (const Customer &C : m_customers)
      A.setShare(
          m_now, C.m_id,
          leasedShare(C, N->m_quota.amount(m_now, customerLimitId(C.m_id),
                                           C.m_capacityLimit)));
  }
}

void Simulation::runNode(Node &N) {
  if (m_scenario.m_admission) {
    N.m_admission.tick(m_now);
    if (m_step % 10 == 0)
      yieldLong(N);
    for (const AdmissionDecision &D : N.m_admission.takeDecisions())
      handle(N, D);
  }
  std::size_t Count = N.m_unrouted.size();
  for (std::size_t Index = 0; Index < Count; ++Index) {
    RequestId Id = std::move(N.m_unrouted.front());
    N.m_unrouted.pop_front();
    Job *J = find(Id);
    if (J && !route(N, J))
      N.m_unrouted.push_back(std::move(Id));
  }
}

void Simulation::handle(Node &N, const AdmissionDecision &D) {
  if (D.m_outcome == AdmissionOutcome::Admitted)
    N.m_unrouted.push_back(D.m_id);
  if (D.m_outcome != AdmissionOutcome::Refused)
    return;
  ++m_outcome.m_refused;
  m_jobs.erase(D.m_id);
}

void Simulation::yieldLong(Node &N) {
  std::optional<RequestId> Id = N.m_admission.yieldCandidate(m_now);
  Job *J = Id ? find(*Id) : nullptr;
  if (!J || J->m_replica < 0 || !J->hasFirstToken())
    return;
  ++m_outcome.m_yields;
  m_engines[static_cast<std::size_t>(J->m_replica)].remove(J);
  N.m_loads.finished(m_now, attemptId(*J));
  J->m_replica = -1;
  N.m_admission.yield(m_now, *Id);
}

bool Simulation::route(Node &N, Job *J) {
  std::vector<Candidate> All = candidates(N, *J);
  std::optional<std::size_t> Chosen =
      N.m_strategy->choose(m_now, All, J->m_route, m_random);
  if (!Chosen)
    return false;
  const Candidate &C = All[*Chosen];
  J->m_replica = std::stoi(C.m_replica.str().substr(1));
  if (C.m_probeDue)
    N.m_stragglers.probeStarted(m_now, C.m_replica);
  N.m_loads.started(m_now, attemptId(*J), C.m_replica, J->m_class);
  N.m_prefixes.sent(C.m_replica, J->m_route.m_prefixHashes);
  J->m_submittedAt = m_now;
  m_engines[static_cast<std::size_t>(J->m_replica)].submit(J);
  return true;
}

std::vector<Candidate> Simulation::candidates(Node &N, const Job &J) const {
  std::vector<Candidate> All;
  for (std::size_t Index = 0; Index < m_engines.size(); ++Index) {
    if (m_knownLost[Index])
      continue;
    Candidate C;
    C.m_replica = replicaId(static_cast<int>(Index));
    C.m_slots = m_workload.m_slots;
    // Without admission nothing bounds long requests.
    C.m_longShare = m_scenario.m_admission ? 0.5 : 1e6;
    C.m_load = N.m_loads.load(m_now, C.m_replica);
    C.m_speedWeight = 1;
    if (m_scenario.m_policy == Policy::Weighted) {
      C.m_speedWeight = N.m_stragglers.weight(C.m_replica);
      C.m_probeDue = N.m_stragglers.probeDue(m_now, C.m_replica);
      C.m_cachedPrefixFraction =
          N.m_prefixes.cachedFraction(C.m_replica, J.m_route.m_prefixHashes);
    }
    All.push_back(std::move(C));
  }
  return All;
}

Job *Simulation::find(const RequestId &Id) const {
  auto Found = m_jobs.find(Id);
  return Found == m_jobs.end() ? nullptr : Found->second.get();
}

void Simulation::trace() {
  std::int64_t Running = 0;
  std::int64_t Waiting = 0;
  std::int64_t Long = 0;
  for (const Engine &E : m_engines) {
    Running += E.load().m_running;
    Waiting += E.load().m_waiting;
    Long += E.load().m_runningLong;
  }
  std::int64_t Slots = 0;
  std::int64_t Queued = 0;
  std::int64_t Admitted = 0;
  std::size_t Unrouted = 0;
  for (const auto &N : m_nodes) {
    Slots += N->m_admission.slots();
    Queued += N->m_admission.queued();
    Admitted += N->m_admission.running();
    Unrouted += N->m_unrouted.size();
  }
  fmt::print(stderr,
             "t={} engine_running={} engine_long={} engine_waiting={} "
             "pool={} node_slots={} admitted={} queued={} unrouted={} "
             "offered={} good={} refused={} late={} yields={}\n",
             m_step / 100, Running, Long, Waiting, poolLimit(), Slots, Admitted,
             Queued, Unrouted, m_outcome.m_offered, m_outcome.m_good,
             m_outcome.m_refused, m_outcome.m_late, m_outcome.m_yields);
}

} // namespace turmericdyke::bench
