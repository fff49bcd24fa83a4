#include "PlacementTrial.h"

#include <algorithm>
#include <random>

#include "absl/random/distributions.h"

namespace turmericdyke::bench {

namespace {

constexpr absl::Duration Tick = absl::Milliseconds(1);
constexpr absl::Duration RelayInterval = absl::Milliseconds(50);
constexpr absl::Duration CallerDelay = absl::Milliseconds(3);
constexpr absl::Duration WarmUp = absl::Seconds(4);
constexpr absl::Duration CoolDown = absl::Seconds(1);
constexpr std::size_t Relays = 5;

struct Job {
  std::size_t m_node = 0;
  std::size_t m_target = 0;
  Instant m_arrived;
  Instant m_reaches;
  double m_unread = 0;
  double m_outputLeft = 0;
  bool m_started = false;
};

/// Continuous batching in passes of some steps, which also read a part of one
/// or more prompts.
struct Target {
  ServingTarget m_listed;
  double m_factor = 1;
  std::deque<Job *> m_travelling;
  std::deque<Job *> m_waiting;
  std::vector<Job *> m_running;
  std::vector<Job *> m_decoding;
  Instant m_passEnds = absl::InfinitePast();

  std::size_t load() const { return m_waiting.size() + m_running.size(); }
};

/// When counts were made, to tell how old a sum of them is.
struct CountTimes {
  double m_sum = 0;
  double m_count = 0;

  void add(Instant At) {
    m_sum += absl::ToDoubleSeconds(At - absl::UnixEpoch());
    ++m_count;
  }
  void add(const CountTimes &Other) {
    m_sum += Other.m_sum;
    m_count += Other.m_count;
  }
  absl::Duration age(Instant Now) const {
    return m_count == 0
               ? absl::ZeroDuration()
               : Now - absl::UnixEpoch() - absl::Seconds(m_sum / m_count);
  }
};

struct Node {
  std::vector<std::int64_t> m_own;
  std::vector<std::int64_t> m_reported;
  std::vector<std::int64_t> m_others;
  /// Sums on their way back, and the moment at which they arrive.
  std::vector<std::int64_t> m_arriving;
  Instant m_arrivesAt = absl::InfiniteFuture();
  Instant m_updatedAt;
  Instant m_reportedAt;
  Instant m_nextReport;
  CountTimes m_othersTimes;
  CountTimes m_arrivingTimes;
  RunTimes m_runTimes;
};

struct Relay {
  std::vector<std::int64_t> m_sent;
  std::vector<std::int64_t> m_elsewhere;
  CountTimes m_sentTimes;
  CountTimes m_elsewhereTimes;
  Instant m_next;
};

class Trial {
public:
  Trial(const TrialOptions &Options, const Chooser &Choose, std::uint64_t Seed)
      : m_options(Options), m_choose(Choose), m_random(Seed) {}

  TrialResult run();

private:
  void build();
  void feed();
  void report(std::size_t At);
  void arrivals();
  void placeOne(std::size_t At);
  void serve(Target &Server);
  void beginPass(Target &Server);
  void endPass(Target &Server);
  void endJob(Target &Server, Job *J);
  void sample();
  /// Whether requests that arrive now count: the system has warmed up, and
  /// they can begin before the trial ends.
  bool counts() const { return counts(m_now); }
  bool counts(Instant Arrived) const {
    Instant Begin = absl::UnixEpoch() + WarmUp;
    return Arrived >= Begin && Arrived < Begin + m_options.m_duration;
  }

  const TrialOptions &m_options;
  const Chooser &m_choose;
  std::mt19937_64 m_random;
  Instant m_now = absl::UnixEpoch();
  std::deque<Job> m_jobs;
  std::vector<Target> m_targets;
  std::vector<Node> m_nodes;
  std::vector<Relay> m_relays;
  TrialResult m_result;
  double m_samples = 0;
  double m_offered = 0;
  double m_placed = 0;
};

void Trial::build() {
  std::size_t Count = m_options.m_targets;
  m_targets.resize(Count);
  for (std::size_t At = 0; At < Count; ++At) {
    m_targets[At].m_listed.m_id = TargetId("t" + std::to_string(At));
    m_targets[At].m_listed.m_slots = m_options.m_costs.m_slots;
    if (At < m_options.m_slowTargets)
      m_targets[At].m_factor = m_options.m_slowFactor;
  }
  m_nodes.resize(m_options.m_nodes);
  for (Node &Each : m_nodes) {
    Each.m_own.resize(Count);
    Each.m_reported.resize(Count);
    Each.m_others.resize(Count);
    Each.m_updatedAt = m_now;
    Each.m_reportedAt = m_now;
    Each.m_nextReport =
        m_now + m_options.m_reportInterval * absl::Uniform(m_random, 0.0, 1.0);
  }
  m_relays.resize(Relays);
  for (Relay &Each : m_relays) {
    Each.m_sent.resize(Count);
    Each.m_elsewhere.resize(Count);
    Each.m_next = m_now + RelayInterval * absl::Uniform(m_random, 0.0, 1.0);
  }
}

void Trial::report(std::size_t At) {
  Node &Self = m_nodes[At];
  Self.m_nextReport = m_now + m_options.m_reportInterval;
  Self.m_reported = Self.m_own;
  Self.m_reportedAt = m_now;
  Self.m_arriving = m_relays[At % Relays].m_elsewhere;
  Self.m_arrivingTimes = m_relays[At % Relays].m_elsewhereTimes;
  for (std::size_t Other = At % Relays; Other < m_nodes.size();
       Other += Relays) {
    if (Other == At)
      continue;
    Self.m_arrivingTimes.add(m_nodes[Other].m_reportedAt);
    for (std::size_t T = 0; T < m_targets.size(); ++T)
      Self.m_arriving[T] += m_nodes[Other].m_reported[T];
  }
  Self.m_arrivesAt = m_now + m_options.m_feedDelay * 2;
}

void Trial::feed() {
  for (std::size_t At = 0; At < Relays; ++At) {
    Relay &Self = m_relays[At];
    if (m_now < Self.m_next)
      continue;
    Self.m_next = m_now + RelayInterval;
    std::fill(Self.m_sent.begin(), Self.m_sent.end(), 0);
    Self.m_sentTimes = CountTimes();
    Self.m_elsewhereTimes = CountTimes();
    for (std::size_t Each = At; Each < m_nodes.size(); Each += Relays) {
      Self.m_sentTimes.add(m_nodes[Each].m_reportedAt);
      for (std::size_t T = 0; T < m_targets.size(); ++T)
        Self.m_sent[T] += m_nodes[Each].m_reported[T];
    }
    std::fill(Self.m_elsewhere.begin(), Self.m_elsewhere.end(), 0);
    for (std::size_t Other = 0; Other < Relays; ++Other) {
      if (Other == At)
        continue;
      Self.m_elsewhereTimes.add(m_relays[Other].m_sentTimes);
      for (std::size_t T = 0; T < m_targets.size(); ++T)
        Self.m_elsewhere[T] += m_relays[Other].m_sent[T];
    }
  }
  for (std::size_t At = 0; At < m_nodes.size(); ++At) {
    if (m_now >= m_nodes[At].m_arrivesAt) {
      m_nodes[At].m_others = m_nodes[At].m_arriving;
      m_nodes[At].m_othersTimes = m_nodes[At].m_arrivingTimes;
      m_nodes[At].m_updatedAt = m_now;
      m_nodes[At].m_arrivesAt = absl::InfiniteFuture();
    }
    if (m_now >= m_nodes[At].m_nextReport)
      report(At);
  }
}

void Trial::arrivals() {
  double Mean = m_options.m_rate * absl::ToDoubleSeconds(Tick);
  for (int Count = absl::Poisson<int>(m_random, Mean); Count > 0; --Count)
    placeOne(absl::Uniform<std::size_t>(m_random, 0, m_nodes.size()));
}

void Trial::placeOne(std::size_t At) {
  Node &Self = m_nodes[At];
  std::vector<PlacementOption> Options(m_targets.size());
  for (std::size_t T = 0; T < m_targets.size(); ++T) {
    Options[T].m_target = &m_targets[T].m_listed;
    Options[T].m_ownRequests = Self.m_own[T];
    Options[T].m_otherRequests = Self.m_others[T];
    Options[T].m_otherRequestsAge = m_now - Self.m_updatedAt;
    Options[T].m_remote = At % m_options.m_domains != T % m_options.m_domains;
    Options[T].m_meanRunTime = Self.m_runTimes.mean(ServiceId(), "");
  }
  m_offered += counts();
  PlacementDecision Decision = m_choose(Options, m_random);
  if (Decision.m_outcome != PlacementOutcome::Placed) {
    m_result.m_refused += counts();
    return;
  }
  std::size_t T = Decision.m_index;
  bool Local = At % m_options.m_domains == T % m_options.m_domains;
  m_placed += counts();
  m_result.m_local += counts() && Local;
  m_result.m_ageMillis +=
      counts() ? absl::ToDoubleMilliseconds(Self.m_othersTimes.age(m_now)) : 0;
  auto Size = [this](double Mean) {
    return Mean * absl::Uniform(m_random, 0.5, 1.5);
  };
  Job *J = &m_jobs.emplace_back();
  J->m_node = At;
  J->m_target = T;
  J->m_arrived = m_now;
  J->m_reaches =
      m_now + (Local ? absl::ZeroDuration() : m_options.m_domainDelay);
  J->m_unread = Size(m_options.m_promptTokens);
  J->m_outputLeft = Size(m_options.m_outputTokens);
  ++Self.m_own[T];
  m_targets[T].m_travelling.push_back(J);
}

void Trial::beginPass(Target &Server) {
  const EngineCosts &Costs = m_options.m_costs;
  while (!Server.m_waiting.empty() &&
         Server.m_running.size() < static_cast<std::size_t>(Costs.m_slots)) {
    Server.m_running.push_back(Server.m_waiting.front());
    Server.m_waiting.pop_front();
  }
  double Chunk = static_cast<double>(Costs.m_prefillChunk);
  double Read = 0;
  for (Job *J : Server.m_running) {
    double Part = std::min(J->m_unread, Chunk - Read);
    J->m_unread -= Part;
    Read += Part;
    if (J->m_unread <= 0)
      Server.m_decoding.push_back(J);
  }
  if (Server.m_running.empty())
    return;
  absl::Duration Pass = absl::Seconds(Read / Costs.m_prefillTokensPerSecond);
  if (!Server.m_decoding.empty())
    Pass +=
        (Costs.m_stepTime + Costs.m_stepTimePerRequest *
                                static_cast<double>(Server.m_decoding.size())) *
        Costs.m_stepsPerPass;
  Server.m_passEnds = m_now + Pass * Server.m_factor;
}

void Trial::endJob(Target &Server, Job *J) {
  Node &Self = m_nodes[J->m_node];
  --Self.m_own[J->m_target];
  Self.m_runTimes.recordRun(ServiceId(), "", m_now - J->m_arrived);
  std::erase(Server.m_running, J);
}

void Trial::endPass(Target &Server) {
  std::vector<Job *> Decoding;
  Decoding.swap(Server.m_decoding);
  for (Job *J : Decoding) {
    if (!J->m_started) {
      J->m_started = true;
      absl::Duration Way = J->m_reaches - J->m_arrived + CallerDelay * 2;
      bool InTime = m_now + Way - J->m_arrived <= m_options.m_objective;
      if (counts(J->m_arrived))
        m_result.m_inTime += InTime;
    }
    J->m_outputLeft -= static_cast<double>(m_options.m_costs.m_stepsPerPass);
    if (J->m_outputLeft <= 0)
      endJob(Server, J);
  }
}

void Trial::serve(Target &Server) {
  for (std::size_t Left = Server.m_travelling.size(); Left > 0; --Left) {
    Job *J = Server.m_travelling.front();
    Server.m_travelling.pop_front();
    (J->m_reaches <= m_now ? Server.m_waiting : Server.m_travelling)
        .push_back(J);
  }
  if (m_now < Server.m_passEnds)
    return;
  endPass(Server);
  beginPass(Server);
}

void Trial::sample() {
  double Slots = static_cast<double>(m_options.m_costs.m_slots);
  double Largest = 0;
  double Sum = 0;
  double Free = 0;
  double Queued = 0;
  for (const Target &Server : m_targets) {
    double Load = static_cast<double>(Server.load());
    Largest = std::max(Largest, Load);
    Sum += Load;
    Free += std::max(0.0, Slots - Load);
    Queued += std::max(0.0, Load - Slots);
  }
  double Count = static_cast<double>(m_targets.size());
  ++m_samples;
  m_result.m_maxToMean += Sum > 0 ? Largest / (Sum / Count) : 1;
  m_result.m_idleWhileQueued += std::min(Free, Queued) / (Slots * Count);
}

TrialResult Trial::run() {
  build();
  Instant End = absl::UnixEpoch() + WarmUp + m_options.m_duration + CoolDown;
  std::int64_t Ticks = 0;
  for (; m_now < End; m_now += Tick) {
    feed();
    arrivals();
    for (Target &Server : m_targets)
      serve(Server);
    if (counts() && ++Ticks % 10 == 0)
      sample();
  }
  m_result.m_maxToMean /= m_samples;
  m_result.m_idleWhileQueued /= m_samples;
  m_result.m_inTime /= m_offered;
  m_result.m_refused /= m_offered;
  m_result.m_local /= std::max(1.0, m_placed);
  m_result.m_ageMillis /= std::max(1.0, m_placed);
  return m_result;
}

} // namespace

TrialResult runTrial(const TrialOptions &Options, const Chooser &Choose,
                     std::uint64_t Seed) {
  return Trial(Options, Choose, Seed).run();
}

} // namespace turmericdyke::bench
