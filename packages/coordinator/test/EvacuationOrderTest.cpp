#include <map>
#include <optional>
#include <utility>

#include <doctest/doctest.h>

#include "SimCoordinators.h"
#include "absl/random/distributions.h"

namespace turmericdyke {
namespace {

using test::SimCoordinators;

const FailureDomainId Domain("z");
/// How long an operator waits for an answer before the order is sent again.
constexpr absl::Duration CallTimeout = absl::Seconds(1);
/// An election and a restart.
constexpr absl::Duration RecoveryBound = absl::Seconds(12);

CoordinatorRosterOptions rosterOf(std::size_t Voters) {
  CoordinatorRosterOptions Options;
  Options.m_voters = Voters;
  Options.m_replaceAfter = absl::Seconds(2);
  return Options;
}

/// Sends the order until it is acknowledged, as operators do.
bool acknowledged(SimCoordinators &Sim, bool Evacuated) {
  for (Instant End = Sim.now() + RecoveryBound; Sim.now() < End;) {
    std::optional<SimCoordinators::Order> Taken;
    for (std::size_t At = 0; At < Sim.size() && !Taken; ++At)
      Taken = Sim.order(At, Domain, Evacuated);
    for (Instant Until = Sim.now() + CallTimeout; Sim.now() < Until;) {
      Sim.run(absl::Milliseconds(20));
      if (!Taken || Sim.outcome(*Taken))
        break;
    }
    if (Taken && Sim.outcome(*Taken) == SubmitStatus::Committed)
      return true;
  }
  return false;
}

/// The followers are killed, and the leader takes an order that it cannot
/// complete and stands still. Its successor acknowledges this order and then
/// its opposite. Checks that the latter stays in force.
void checkLateOrder(bool Late) {
  SimCoordinators Sim(3, rosterOf(3), 1);
  Sim.run(absl::Seconds(5));
  REQUIRE(acknowledged(Sim, !Late));
  std::size_t Old = Sim.leader().value();
  for (std::size_t At = 0; At < Sim.size(); ++At)
    if (At != Old)
      Sim.kill(At);
  std::optional<SimCoordinators::Order> Taken = Sim.order(Old, Domain, Late);
  REQUIRE(Taken);
  Sim.run(absl::Milliseconds(100));
  constexpr absl::Duration Standstill = absl::Milliseconds(3500);
  Sim.stall(Old, Standstill);
  Instant Wakes = Sim.now() + Standstill;
  Sim.run(absl::Milliseconds(700));
  for (std::size_t At = 0; At < Sim.size(); ++At)
    if (At != Old)
      Sim.restart(At);
  REQUIRE(acknowledged(Sim, Late));
  REQUIRE(acknowledged(Sim, !Late));
  REQUIRE(Sim.now() < Wakes);
  CHECK_FALSE(Sim.outcome(*Taken));
  Sim.run(Wakes + absl::Milliseconds(500) - Sim.now());
  // It may still be in force for all that the old leader knows.
  CHECK(Sim.outcome(*Taken) == SubmitStatus::Unknown);
  Sim.run(absl::Seconds(10));
  CHECK(Sim.isEvacuated(Sim.leader().value(), Domain) == !Late);
}

/// One operator who sends the next order once the last one is acknowledged,
/// while coordinators stand still, die, hand the lead over and start again.
class OrderedOperator {
public:
  explicit OrderedOperator(unsigned Seed)
      : m_sim(Voters, rosterOf(Voters), Seed) {
    m_sim.run(absl::Seconds(5));
  }

  void run(int Orders) {
    Instant End = m_sim.now() + absl::Minutes(5);
    while (m_orders < Orders && m_sim.now() < End) {
      send();
      trouble();
      m_sim.run(absl::Milliseconds(20));
      check();
    }
    REQUIRE(m_orders == Orders);
  }

private:
  static constexpr std::size_t Voters = 5;

  double uniform(double From, double To) {
    return absl::Uniform(m_sim.random(), From, To);
  }

  void trouble() {
    for (auto At = m_down.begin(); At != m_down.end();) {
      if (m_sim.now() < At->second) {
        ++At;
        continue;
      }
      m_sim.restart(At->first);
      At = m_down.erase(At);
    }
    // Most likely just after an order was taken, before its result is known.
    if (!absl::Bernoulli(m_sim.random(),
                         std::exchange(m_justTaken, false) ? 0.4 : 0.01))
      return;
    std::size_t At = absl::Uniform<std::size_t>(m_sim.random(), 0, Voters);
    // Mostly the leader: it is the one that holds orders.
    if (std::optional<std::size_t> Leader = m_sim.leader();
        Leader && absl::Bernoulli(m_sim.random(), 0.6))
      At = *Leader;
    switch (absl::Uniform(m_sim.random(), 0, 4)) {
    case 0:
      return m_sim.stall(At, absl::Seconds(uniform(0.1, 6)));
    case 1:
      return kill(At);
    case 2:
      // All at once, as after a loss of power.
      for (std::size_t Each = 0; Each < Voters; ++Each)
        if (absl::Bernoulli(m_sim.random(), 0.8))
          kill(Each);
      return;
    default:
      for (std::size_t Each = 0; Each < Voters; ++Each)
        if (Each != At)
          kill(Each);
      return m_sim.stall(At, absl::Seconds(uniform(1, 6)));
    }
  }

  void kill(std::size_t At) {
    if (!m_sim.isUp(At))
      return;
    m_sim.kill(At);
    m_down[At] = m_sim.now() + absl::Seconds(uniform(0.1, 1));
  }

  void send() {
    if (m_taken && m_sim.outcome(*m_taken) == SubmitStatus::Committed) {
      m_inForce = m_wanted;
      m_wanted = !m_wanted;
      m_seen = false;
      ++m_orders;
      m_taken.reset();
      m_nextTry = m_sim.now() + absl::Seconds(uniform(0, 1));
    }
    bool Failed = m_taken && m_sim.outcome(*m_taken);
    if (m_sim.now() < m_nextTry && !Failed)
      return;
    m_taken.reset();
    std::size_t First = absl::Uniform<std::size_t>(m_sim.random(), 0, Voters);
    for (std::size_t Step = 0; Step < Voters && !m_taken; ++Step)
      m_taken = m_sim.order((First + Step) % Voters, Domain, m_wanted);
    m_nextTry = m_sim.now() + (m_taken ? CallTimeout : absl::Milliseconds(50));
    m_justTaken = m_taken.has_value();
    if (m_taken)
      m_outstanding = m_wanted;
  }

  /// Whatever leads shows the last acknowledged order, or the one that is under
  /// way, and never goes back from that.
  void check() {
    std::optional<std::size_t> Leader = m_sim.leader();
    if (!Leader)
      return;
    bool Evacuated = m_sim.isEvacuated(*Leader, Domain);
    if (Evacuated == m_inForce) {
      CHECK_FALSE(m_seen);
      return;
    }
    CHECK(m_outstanding == m_wanted);
    m_seen = true;
  }

  SimCoordinators m_sim;
  std::map<std::size_t, Instant> m_down;
  int m_orders = 0;
  /// The last acknowledged order, and the next one.
  bool m_inForce = false;
  bool m_wanted = true;
  /// An order was taken in this step.
  bool m_justTaken = false;
  /// The order that was sent last, if any.
  std::optional<bool> m_outstanding;
  /// The next order was seen in force.
  bool m_seen = false;
  std::optional<SimCoordinators::Order> m_taken;
  Instant m_nextTry = absl::InfinitePast();
};

} // namespace

// Guards against the end of an evacuation that an earlier leader has carried
// out after a newer start was acknowledged (review/6).
TEST_CASE("the late end of an evacuation does not undo a newer start") {
  checkLateOrder(false);
}

// Guards against a failure domain that stays empty although its evacuation was
// ended.
TEST_CASE("the late start of an evacuation does not undo a newer end") {
  checkLateOrder(true);
}

// Guards against any order of elections, crashes and retries in which an older
// order is applied after a newer one was acknowledged.
TEST_CASE("acknowledged orders of an operator are never undone by older ones") {
  for (unsigned Seed = 1; Seed <= 40; ++Seed) {
    CAPTURE(Seed);
    OrderedOperator(Seed).run(20);
  }
}

} // namespace turmericdyke
