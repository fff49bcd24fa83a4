#include <algorithm>
#include <deque>
#include <iterator>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "absl/random/distributions.h"
#include "turmericdyke/Feed"
#include "turmericdyke/Serving"

using namespace turmericdyke;

namespace {

const Instant Start = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration Step = absl::Milliseconds(5);
constexpr absl::Duration PollInterval = absl::Milliseconds(250);
constexpr absl::Duration Lease = absl::Seconds(4);
/// The figures of deployment A, see docs/hard-load.md.
constexpr double PerSecond = 17;
constexpr double Most = PerSecond * 1.5 + 5;
constexpr double Published = Most / 2;

/// A leader that lends the rates of cold targets, and entry nodes that ask it
/// four times a second over a network that delays and loses messages.
class LendingFleet {
public:
  LendingFleet(std::size_t Nodes, std::size_t Targets, unsigned Seed)
      : m_random(Seed), m_sent(Targets) {
    for (std::size_t At = 0; At < Targets; ++At) {
      ServingTarget Target;
      Target.m_id = TargetId("i-" + std::to_string(At));
      Target.m_coldPerSecond = Published;
      Target.m_coldLent = true;
      m_targets.push_back(Target);
    }
    m_grants.emplace();
    m_grants->setTargets(m_now, m_targets);
    for (std::size_t At = 0; At < Nodes; ++At)
      startNode();
  }

  void startNode() {
    std::size_t Id = ++m_lastId;
    m_nodes[Id].m_asksAt =
        m_now + absl::Uniform(m_random, 0.0, 1.0) * PollInterval;
    m_largest = std::max(m_largest, m_nodes.size());
  }
  void stopNode() {
    if (m_nodes.size() > 1)
      m_nodes.erase(anyNode());
  }
  void cutOffNode() { anyNode()->second.m_cutOff = true; }
  void rejoin() {
    for (auto &[Id, Each] : m_nodes)
      Each.m_cutOff = false;
  }
  /// Another leader is elected after a while. It does not know the last one's
  /// grants, and lends nothing for its first seconds.
  void loseLeader() {
    m_grants.reset();
    m_electedAt = m_now + absl::Seconds(absl::Uniform(m_random, 0.5, 3.0));
  }
  /// A target comes back cold, as the rate of a target that is cold already is
  /// not lent anew.
  void restartTargets() {
    bool Lends = m_grants && m_now - m_electedAt >= absl::Seconds(5);
    for (ServingTarget &Target : m_targets) {
      ++Target.m_generation;
      Target.m_coldLent = Lends;
    }
    if (m_grants)
      m_grants->setTargets(m_now, m_targets);
  }

  void run(absl::Duration Length, double Arrivals) {
    for (Instant End = m_now + Length; m_now < End; m_now += Step) {
      if (!m_grants && m_now >= m_electedAt) {
        m_grants.emplace();
        for (ServingTarget &Target : m_targets)
          Target.m_coldLent = false;
      }
      if (m_grants)
        m_grants->setTargets(m_now, m_targets);
      for (auto &[Id, Each] : m_nodes)
        talk(Id, Each);
      int Count =
          absl::Poisson<int>(m_random, Arrivals * absl::ToDoubleSeconds(Step));
      for (; Count > 0; --Count)
        send(anyNode()->second);
      for (std::deque<Instant> &Sent : m_sent) {
        while (!Sent.empty() && Sent.front() <= m_now - absl::Seconds(1))
          Sent.pop_front();
        m_most = std::max(m_most, Sent.size());
      }
    }
  }

  std::size_t most() const { return m_most; }
  std::size_t total() const { return m_total; }
  std::size_t refused() const { return m_refused; }

private:
  struct Node {
    TargetSignals m_signals;
    std::vector<ServingTarget> m_targets;
    Instant m_asksAt;
    Instant m_leaseUntil = absl::InfinitePast();
    std::int64_t m_requests = 0;
    bool m_cutOff = false;
    /// The response that is under way.
    Instant m_hearsAt = absl::InfiniteFuture();
    Instant m_asked;
    std::vector<ServingTarget> m_listed;
    std::vector<ColdGrant> m_granted;
  };
  using Nodes = std::map<std::size_t, Node>;

  Nodes::iterator anyNode() {
    return std::next(
        m_nodes.begin(),
        absl::Uniform<std::ptrdiff_t>(
            m_random, 0, static_cast<std::ptrdiff_t>(m_nodes.size())));
  }
  absl::Duration delay() {
    return absl::Milliseconds(absl::Uniform(m_random, 1.0, 20.0));
  }
  void talk(std::size_t Id, Node &Each) {
    if (Each.m_hearsAt <= m_now) {
      Each.m_hearsAt = absl::InfiniteFuture();
      Each.m_targets = Each.m_listed;
      Each.m_leaseUntil = Each.m_asked + Lease;
      Each.m_signals.setLeaderHeard(m_now);
      Each.m_signals.takeGrants(Each.m_asked + ColdGrantLifetime,
                                Each.m_granted);
      Each.m_signals.setNodes(static_cast<std::int64_t>(m_largest));
    }
    if (Each.m_asksAt > m_now)
      return;
    Each.m_asksAt += PollInterval;
    FeedRequest Request;
    Request.m_node = NodeId("e" + std::to_string(Id));
    Request.m_modelRequests = std::exchange(Each.m_requests, 0);
    if (Each.m_cutOff || !m_grants || absl::Bernoulli(m_random, 0.01))
      return;
    std::vector<ColdGrant> Granted = m_grants->grant(m_now, Request);
    if (absl::Bernoulli(m_random, 0.01))
      return;
    Each.m_asked = m_now;
    Each.m_hearsAt = m_now + delay() + delay();
    Each.m_listed = m_targets;
    Each.m_granted = std::move(Granted);
  }
  void send(Node &From) {
    if (From.m_leaseUntil <= m_now)
      return;
    ++From.m_requests;
    std::size_t First = absl::Uniform<std::size_t>(m_random, 0, m_sent.size());
    for (std::size_t Tried = 0; Tried < m_sent.size(); ++Tried) {
      std::size_t At = (First + Tried) % m_sent.size();
      const ServingTarget &Target = From.m_targets[At];
      if (From.m_signals.nextUse(m_now, Target, m_random) > m_now)
        continue;
      From.m_signals.onSend(m_now, Target.m_id);
      // An earlier instance answers with 421.
      if (Target.m_generation != m_targets[At].m_generation)
        return;
      m_sent[At].push_back(m_now);
      ++m_total;
      return;
    }
    ++m_refused;
  }

  std::mt19937_64 m_random;
  Instant m_now = Start;
  std::optional<ColdGrants> m_grants;
  Instant m_electedAt = absl::InfinitePast();
  std::vector<ServingTarget> m_targets;
  Nodes m_nodes;
  std::size_t m_lastId = 0;
  std::size_t m_largest = 0;
  std::vector<std::deque<Instant>> m_sent;
  std::size_t m_most = 0;
  std::size_t m_total = 0;
  std::size_t m_refused = 0;
};

} // namespace

// Guards against grants that add up with those of a lost leader or with the
// equal parts of nodes that do not hear the leader.
TEST_CASE("a cold target whose rate is lent gets in no second more than it may "
          "while nodes and leaders change") {
  for (std::size_t Nodes : {1, 9, 62, 295})
    for (unsigned Seed = 1; Seed <= 6; ++Seed) {
      INFO("nodes ", Nodes, " seed ", Seed);
      LendingFleet Fleet(Nodes, 6, Seed);
      std::mt19937_64 Random(Seed);
      using Event = void (LendingFleet::*)();
      constexpr Event Events[] = {
          &LendingFleet::startNode,     &LendingFleet::stopNode,
          &LendingFleet::cutOffNode,    &LendingFleet::cutOffNode,
          &LendingFleet::rejoin,        &LendingFleet::loseLeader,
          &LendingFleet::restartTargets};
      for (int Count = 0; Count < 30; ++Count) {
        double Load = absl::Bernoulli(Random, 0.7) ? 2000 : 3;
        Fleet.run(absl::Milliseconds(absl::Uniform(Random, 50, 1500)), Load);
        (Fleet.*
         Events[absl::Uniform<std::size_t>(Random, 0, std::size(Events))])();
      }
      CHECK(static_cast<double>(Fleet.most()) <= Most);
    }
}

// Guards against a third of the nodes that are cut off while all use their
// parts.
TEST_CASE("a third of the nodes may be cut off from the leader that lends") {
  for (unsigned Seed = 1; Seed <= 6; ++Seed) {
    LendingFleet Fleet(62, 6, Seed);
    Fleet.run(absl::Seconds(2), 2000);
    for (int Count = 0; Count < 25; ++Count)
      Fleet.cutOffNode();
    Fleet.run(absl::Seconds(6), 2000);
    Fleet.rejoin();
    Fleet.run(absl::Seconds(2), 2000);
    CHECK(static_cast<double>(Fleet.most()) <= Most);
  }
}

// The figures are those of the design note.
TEST_CASE("many requests use most of a cold rate that is lent") {
  constexpr std::size_t Targets = 10;
  for (std::size_t Nodes : {9, 62, 89})
    for (double Arrivals : {0.1, 0.5, 3.0}) {
      LendingFleet Fleet(Nodes, Targets, 1);
      double All = Arrivals * PerSecond * Targets;
      Fleet.run(absl::Seconds(2), All);
      std::size_t Sent = Fleet.total();
      std::size_t Refused = Fleet.refused();
      Fleet.run(absl::Seconds(20), All);
      double Used = static_cast<double>(Fleet.total() - Sent) / 20 / Targets;
      double Lost = static_cast<double>(Fleet.refused() - Refused) / (20 * All);
      MESSAGE("nodes ", Nodes, ", load ", Arrivals, ": ", Used / PerSecond,
              " of the cold rate used, ", Lost, " of the requests refused");
      CHECK(Used <= PerSecond);
      if (Arrivals >= 1)
        CHECK(Used >= PerSecond / 2);
    }
}

TEST_CASE(
    "a grant is used once, for its formation of the group, until it ends") {
  std::mt19937_64 Random(1);
  ServingTarget Cold;
  Cold.m_id = TargetId("i");
  Cold.m_generation = 2;
  Cold.m_coldPerSecond = Published;
  Cold.m_coldLent = true;
  TargetSignals Signals;
  Signals.setNodes(62);
  Signals.setLeaderHeard(Start);
  auto MayUse = [&](Instant Now) {
    return Signals.nextUse(Now, Cold, Random) <= Now;
  };
  CHECK_FALSE(MayUse(Start));
  CHECK(Signals.nextUse(Start, Cold, Random) <= Start + PollInterval);
  Signals.takeGrants(Start + ColdGrantLifetime, {{Cold.m_id, 1}});
  CHECK_FALSE(MayUse(Start));
  Signals.takeGrants(Start + ColdGrantLifetime, {{Cold.m_id, 2}});
  CHECK(MayUse(Start));
  Signals.onSend(Start, Cold.m_id);
  CHECK_FALSE(MayUse(Start));
  Signals.takeGrants(Start + ColdGrantLifetime, {{Cold.m_id, 2}});
  CHECK_FALSE(MayUse(Start + ColdGrantLifetime));
  // Without the leader, the node uses its equal part.
  Instant Alone = Start + absl::Seconds(3);
  std::size_t Sent = 0;
  for (Instant Now = Alone; Now < Alone + absl::Seconds(60); Now += Step)
    if (MayUse(Now)) {
      Signals.onSend(Now, Cold.m_id);
      ++Sent;
    }
  CHECK(Sent >= 2);
  CHECK(static_cast<double>(Sent) <= 60 * Published / 62 + 1);
}
