#include "VirtualFleet.h"

#include <algorithm>

#include <fmt/format.h>

#include "absl/random/distributions.h"

namespace turmericdyke {

namespace {

constexpr std::uint64_t FencingTokensPerRange = 100'000;
// Targets announce themselves and the leader plans every 500 ms.
constexpr std::uint64_t StepsPerPlan = 2;

Result<Declaration, DeclarationError> parseNothing(std::string_view) {
  return Declaration();
}

TargetAnnouncement firstAnnouncement(const VirtualFleetOptions &Options,
                                     int Domain, int Host, int Number) {
  TargetAnnouncement Announcement;
  Announcement.m_host = HostId(fmt::format("f{:03}h{:03}", Domain, Host));
  Announcement.m_target = TargetId("t-" + Announcement.m_host.str());
  Announcement.m_incarnation = 1;
  Announcement.m_fabricDomain = FabricDomainId(fmt::format("f{:03}", Domain));
  Announcement.m_failureDomain =
      FailureDomainId(fmt::format("d{}", Domain % Options.m_failureDomains));
  Announcement.m_accelerators = Options.m_acceleratorsPerHost;
  Announcement.m_engineBuild = "build-1";
  int Nth = Options.m_everyNthIgnoresFences;
  Announcement.m_checksFencing = Nth == 0 || Number % Nth != 0;
  return Announcement;
}

} // namespace

VirtualFleet::VirtualFleet(const VirtualFleetOptions &Options,
                           PlannerOptions Settings, FormationStrategy Strategy,
                           std::uint64_t Seed)
    : m_options(Options), m_settings(Settings), m_strategy(Strategy),
      m_random(Seed), m_observingSince(m_now),
      m_planner(std::make_unique<Planner>(Settings, Strategy)),
      m_state(parseNothing) {
  std::vector<int> Sizes = Options.m_domainSizes;
  if (Sizes.empty())
    Sizes.assign(static_cast<std::size_t>(Options.m_failureDomains) *
                     static_cast<std::size_t>(Options.m_fabricDomainsEach),
                 Options.m_hostsPerFabricDomain);
  for (int Domain = 0; Domain < static_cast<int>(Sizes.size()); ++Domain)
    for (int Host = 0; Host < Sizes[static_cast<std::size_t>(Domain)]; ++Host) {
      VirtualTarget Target;
      Target.m_actual = firstAnnouncement(Options, Domain, Host,
                                          static_cast<int>(m_targets.size()));
      m_targets.push_back(std::move(Target));
    }
}

void VirtualFleet::step() {
  m_now += StepLength;
  loadWeights();
  deliver();
  m_planned = m_steps++ % StepsPerPlan == 0;
  if (!m_planned)
    return;
  announce();
  makePlan();
}

void VirtualFleet::run(absl::Duration Length) {
  for (Instant End = m_now + Length; m_now < End;)
    step();
}

absl::Duration VirtualFleet::runUntil(const std::function<bool()> &Done,
                                      absl::Duration Limit) {
  Instant Start = m_now;
  while (!Done()) {
    if (m_now - Start >= Limit)
      return absl::InfiniteDuration();
    step();
  }
  return m_now - Start;
}

void VirtualFleet::loadWeights() {
  auto Loads = [this](const VirtualTarget &Target) {
    return Target.isRunning(m_now) &&
           Target.m_actual.m_state == TargetState::Loading;
  };
  auto Count = std::count_if(m_targets.begin(), m_targets.end(), Loads);
  if (Count == 0)
    return;
  double Rate = std::min(m_options.m_hostRate,
                         m_options.m_storeRate / static_cast<double>(Count));
  for (VirtualTarget &Target : m_targets) {
    if (!Loads(Target))
      continue;
    Target.m_loaded += Rate * absl::ToDoubleSeconds(StepLength);
    if (Target.m_loaded >= m_options.m_weights)
      Target.m_actual.m_state = TargetState::Ready;
  }
}

void VirtualFleet::announce() {
  for (VirtualTarget &Target : m_targets) {
    if (!Target.isRunning(m_now))
      continue;
    ++Target.m_actual.m_sequence;
    Target.m_announced = Target.m_actual;
    Target.m_lastHeard = m_now;
  }
}

void VirtualFleet::deliver() {
  std::vector<Delivery> Later;
  for (Delivery &Due : m_deliveries) {
    VirtualTarget &Target = m_targets[indexOf(Due.m_order.m_target)];
    // A paused process reads pending data from its socket when it resumes.
    if (Due.m_at > m_now || (Target.m_up && !Target.isRunning(m_now)))
      Later.push_back(std::move(Due));
    else if (Target.m_up)
      applyOrder(Target, Due.m_order);
  }
  m_deliveries = std::move(Later);
}

void VirtualFleet::applyOrder(VirtualTarget &Target, const Order &Received) {
  TargetAnnouncement &Truth = Target.m_actual;
  if (Target.m_ignoresOrders || Received.m_incarnation != Truth.m_incarnation ||
      (Truth.m_checksFencing &&
       Received.m_fencingToken < Truth.m_highestFencingToken))
    return;
  Truth.m_highestFencingToken =
      std::max(Truth.m_highestFencingToken, Received.m_fencingToken);
  if (Received.m_kind == OrderKind::Release) {
    Truth.m_membership = {};
    Truth.m_state = TargetState::Idle;
    return;
  }
  if (Received.m_kind == OrderKind::Drain) {
    Truth.m_state = TargetState::Draining;
    return;
  }
  bool SameWeights =
      Truth.m_spec == Received.m_spec && Truth.m_state == TargetState::Ready;
  Truth.m_spec = Received.m_spec;
  Truth.m_membership = Received.m_membership;
  if (SameWeights)
    return;
  Truth.m_state = TargetState::Loading;
  Target.m_loaded = 0;
}

void VirtualFleet::apply(const Command &Value) {
  m_state.applyEncoded(++m_logIndex, encodeCommand(Value));
}

void VirtualFleet::makePlan() {
  if (m_plan.m_needsFencingTokens || m_fencingTokens.m_end == 0) {
    CommandResult Result = m_state.apply(
        ++m_logIndex,
        ReserveFencingTokens{NodeId("n1"), FencingTokensPerRange});
    const auto &Granted = std::get<FencingTokensGranted>(Result);
    m_fencingTokens = {Granted.m_first, Granted.m_first + Granted.m_count};
  }
  std::vector<TargetView> Views;
  for (const VirtualTarget &Target : m_targets)
    if (Target.m_lastHeard >= m_observingSince)
      Views.push_back({&Target.m_announced, Target.m_lastHeard});
  std::vector<std::shared_ptr<const Assignment>> Assignments;
  for (const auto &[Replica, Value] : m_state.assignments())
    Assignments.push_back(Value);
  std::vector<DepartingMember> Departing;
  for (const auto &[Host, Value] : m_state.departingHosts())
    Departing.push_back(Value);
  PlannerInput Input;
  Input.m_targets = Views;
  Input.m_pools = m_pools;
  Input.m_assignments = Assignments;
  Input.m_departing = Departing;
  Input.m_drainedTargets = &m_state.drainedTargets();
  Input.m_drainedHosts = &m_state.drainedHosts();
  Input.m_fencingTokens = m_fencingTokens;
  Input.m_leaderSince = m_leaderSince;
  Input.m_observingSince = m_observingSince;
  m_plan = m_planCall ? m_planCall(*m_planner, m_now, Input)
                      : m_planner->plan(m_now, Input);
  for (const AssignmentChange &Change : m_plan.m_changes)
    apply(toCommand(Change));
  for (const Order &Sent : m_plan.m_orders) {
    int Copies = absl::Bernoulli(m_random, m_options.m_duplicateShare) ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy)
      m_deliveries.push_back({m_now + absl::Uniform(m_random, 0.0, 1.0) *
                                          m_options.m_maxOrderDelay,
                              Sent});
  }
}

void VirtualFleet::restore(std::size_t Target) {
  if (!m_targets[Target].m_up)
    restart(Target);
}

void VirtualFleet::restart(std::size_t Target) {
  VirtualTarget &Restarted = m_targets[Target];
  Restarted.m_up = true;
  Restarted.m_pausedUntil = absl::InfinitePast();
  ++Restarted.m_actual.m_incarnation;
  Restarted.m_actual.m_state = TargetState::Idle;
  Restarted.m_actual.m_membership = {};
  Restarted.m_actual.m_spec = {};
  Restarted.m_actual.m_highestFencingToken = 0;
}

void VirtualFleet::pause(std::size_t Target, absl::Duration Length) {
  m_targets[Target].m_pausedUntil = m_now + Length;
}

void VirtualFleet::setDrained(std::size_t Target, bool Drained) {
  apply(SetDrained{fmt::format("drain-{}", ++m_changes),
                   {},
                   m_targets[Target].m_actual.m_host,
                   Drained});
}

void VirtualFleet::setBuild(std::size_t Target, std::string Build) {
  m_targets[Target].m_actual.m_engineBuild = std::move(Build);
}

void VirtualFleet::changeLeader() {
  m_planner = std::make_unique<Planner>(m_settings, m_strategy);
  m_planner->setTestHooks(m_hooks);
  m_leaderSince = m_now;
  m_observingSince = m_now;
  m_fencingTokens = {};
}

void VirtualFleet::setTestHooks(const internal::PlannerTestHooks &Hooks) {
  m_hooks = Hooks;
  m_planner->setTestHooks(Hooks);
}

std::size_t VirtualFleet::indexOf(const TargetId &Target) const {
  auto Found = std::lower_bound(m_targets.begin(), m_targets.end(), Target,
                                [](const VirtualTarget &A, const TargetId &B) {
                                  return A.m_actual.m_target < B;
                                });
  return static_cast<std::size_t>(Found - m_targets.begin());
}

TargetView VirtualFleet::viewOf(const TargetId &Target) const {
  const VirtualTarget &Known = m_targets[indexOf(Target)];
  return {&Known.m_announced, Known.m_lastHeard};
}

bool VirtualFleet::serves(const Assignment &Value) const {
  return replicaServes(
      Value, [this](const TargetId &Target) { return viewOf(Target); }, m_now);
}

std::int64_t VirtualFleet::servingReplicas(std::string_view Pool) const {
  std::int64_t Count = 0;
  for (const auto &[Replica, Value] : m_state.assignments())
    Count += Value->m_pool == Pool && serves(*Value);
  return Count;
}

bool VirtualFleet::holdsCapacity() const {
  return std::all_of(m_pools.begin(), m_pools.end(), [this](const auto &Pool) {
    return servingReplicas(Pool.m_name) >= Pool.replicasHeld();
  });
}

std::int64_t VirtualFleet::strandedAccelerators() const {
  std::int64_t Count = 0;
  for (const VirtualTarget &Target : m_targets)
    if (Target.m_up)
      Count += Target.m_actual.m_accelerators;
  for (const auto &[Replica, Value] : m_state.assignments())
    if (serves(*Value))
      for (const AssignedMember &Member : Value->m_members) {
        const VirtualTarget &Target = m_targets[indexOf(Member.m_target)];
        if (Target.m_up)
          Count -= Target.m_actual.m_accelerators;
      }
  return Count;
}

PoolView virtualPool(std::string_view Model, std::int64_t Hosts,
                     std::int64_t Held, std::int64_t Wanted,
                     EnginePatchPolicy Policy) {
  PoolView Pool;
  Pool.m_model.m_model = Model;
  Pool.m_model.m_version = "1";
  Pool.m_model.m_hostsPerReplica = Hosts;
  Pool.m_model.m_slotsPerReplica = 8;
  Pool.m_model.m_patchPolicy = Policy;
  Pool.m_name = poolName(Pool.m_model);
  Pool.m_capacityHeld = Held * 8;
  Pool.m_capacityLimit = Wanted * 8;
  return Pool;
}

} // namespace turmericdyke
