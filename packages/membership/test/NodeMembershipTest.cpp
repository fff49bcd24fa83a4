#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "../bench/SwimSimulation.h"

using namespace turmericdyke;

namespace {

/// Whether each running node holds each running node alive, and no other.
bool agreed(SwimSimulation &Simulation) {
  for (std::size_t By = 0; By < Simulation.size(); ++By)
    for (std::size_t Of = 0; Of < Simulation.size(); ++Of) {
      if (!Simulation.node(By).m_running)
        continue;
      std::optional<NodeState> State =
          Simulation.node(By).m_membership->stateOf(Simulation.node(Of).m_id);
      bool Live = State && *State <= NodeState::Suspect;
      if (Live != Simulation.node(Of).m_running)
        return false;
    }
  return true;
}

/// Counts nodes that are declared dead while they run.
struct FalseDeaths {
  explicit FalseDeaths(SwimSimulation &Simulation) {
    Simulation.m_onChange = [&, this](std::size_t, const NodeUpdate &Change) {
      for (std::size_t Of = 0; Of < Simulation.size(); ++Of)
        if (Simulation.node(Of).m_id == Change.m_node &&
            Simulation.node(Of).m_running && Change.m_state == NodeState::Dead)
          ++m_count;
    };
  }
  int m_count = 0;
};

} // namespace

TEST_CASE("nodes that know only the seeds find all others") {
  SwimSimulation Simulation(9);
  Simulation.run(absl::Seconds(10));
  CHECK(agreed(Simulation));
}

TEST_CASE("a crashed node is held dead by all within 10 s, a live one by "
          "none") {
  SwimSimulation Simulation(9);
  Simulation.run(absl::Seconds(10));
  FalseDeaths Deaths(Simulation);
  Simulation.crash(4);
  Simulation.run(absl::Seconds(10));
  CHECK(agreed(Simulation));
  CHECK(Simulation.node(0).m_membership->stateOf(Simulation.node(4).m_id) ==
        NodeState::Dead);
  CHECK(Deaths.m_count == 0);
}

TEST_CASE("a restarted node returns under its higher incarnation although it "
          "was held dead") {
  SwimSimulation Simulation(5);
  Simulation.run(absl::Seconds(10));
  Simulation.crash(3);
  Simulation.run(absl::Seconds(10));
  Simulation.start(3);
  Simulation.run(absl::Seconds(10));
  CHECK(agreed(Simulation));
}

TEST_CASE("a node that leaves is known to have left within 1 s and is never "
          "suspected") {
  SwimSimulation Simulation(9);
  Simulation.run(absl::Seconds(10));
  int Suspicions = 0;
  Simulation.m_onChange = [&](std::size_t, const NodeUpdate &Change) {
    Suspicions += Change.m_state == NodeState::Suspect ? 1 : 0;
  };
  Simulation.leave(2);
  Simulation.run(absl::Seconds(1));
  Simulation.crash(2);
  for (std::size_t By : {0u, 1u, 3u, 8u})
    CHECK(Simulation.node(By).m_membership->stateOf(Simulation.node(2).m_id) ==
          NodeState::Left);
  Simulation.run(absl::Seconds(10));
  CHECK(Suspicions == 0);
}

TEST_CASE("a node that was paused declares nobody dead when it wakes, and is "
          "alive for all again") {
  SwimSimulation Simulation(9);
  Simulation.run(absl::Seconds(10));
  int DeclaredByPaused = 0;
  Simulation.m_onChange = [&](std::size_t By, const NodeUpdate &Change) {
    DeclaredByPaused += By == 5 && Change.m_state == NodeState::Dead ? 1 : 0;
  };
  for (int Seconds : {1, 2, 5, 20}) {
    Simulation.pause(5, absl::Seconds(Seconds));
    Simulation.run(absl::Seconds(Seconds + 15));
    CHECK(agreed(Simulation));
  }
  CHECK(DeclaredByPaused == 0);
}

TEST_CASE("a probe and a suspicion that ran out during a pause of this node "
          "count against nobody") {
  std::mt19937_64 Random(1);
  Instant Now = absl::UnixEpoch() + absl::Hours(1);
  NodeMembershipOptions Options;
  Options.m_node = NodeId("a");
  Options.m_address = "a:1";
  NodeMembership Membership(Options, Now);
  SwimMessage Message;
  Message.m_from = NodeId("b");
  Message.m_address = "b:1";
  Message.m_incarnation = 5;
  Membership.handle(Now, Message, Random);
  Membership.tick(Now, Random);
  Now += absl::Seconds(10);
  Membership.tick(Now, Random);
  CHECK(Membership.stateOf(NodeId("b")) == NodeState::Alive);
  while (Membership.stateOf(NodeId("b")) == NodeState::Alive)
    Membership.tick(Now += absl::Milliseconds(100), Random);
  Now += absl::Seconds(30);
  Membership.tick(Now, Random);
  CHECK(Membership.stateOf(NodeId("b")) == NodeState::Suspect);
  Message.m_incarnation = 6;
  Membership.handle(Now, Message, Random);
  CHECK(Membership.stateOf(NodeId("b")) == NodeState::Alive);
}

TEST_CASE("the halves of a partition find each other again after it heals, "
          "long after they held each other dead") {
  SwimSimulation Simulation(8);
  Simulation.run(absl::Seconds(10));
  for (std::size_t Index = 4; Index < 8; ++Index)
    Simulation.node(Index).m_side = 1;
  Simulation.run(absl::Minutes(3));
  CHECK(Simulation.node(7).m_membership->stateOf(Simulation.node(0).m_id) ==
        NodeState::Dead);
  for (std::size_t Index = 4; Index < 8; ++Index)
    Simulation.node(Index).m_side = 0;
  Simulation.run(absl::Seconds(30));
  CHECK(agreed(Simulation));
}

TEST_CASE("an update with a huge incarnation, an unknown dead node or the own "
          "name as sender does no harm") {
  std::mt19937_64 Random(1);
  Instant Now = absl::UnixEpoch() + absl::Hours(1);
  NodeMembershipOptions Options;
  Options.m_node = NodeId("a");
  Options.m_address = "a:1";
  NodeMembership Membership(Options, Now);
  SwimMessage Message;
  Message.m_from = NodeId("b");
  Message.m_address = "b:1";
  Message.m_incarnation = 5;
  Message.m_updates = {{NodeId("a"), "a:1", ~std::uint64_t(0), NodeState::Dead},
                       {NodeId("b"), "b:1", ~std::uint64_t(0), NodeState::Dead},
                       {NodeId("c"), "c:1", 1, NodeState::Dead}};
  Membership.handle(Now, Message, Random);
  CHECK(Membership.incarnation() == 1);
  CHECK(Membership.stateOf(NodeId("b")) == NodeState::Alive);
  CHECK_FALSE(Membership.stateOf(NodeId("c")).has_value());
  Message.m_updates = {{NodeId("a"), "a:1", 1, NodeState::Suspect}};
  Membership.handle(Now, Message, Random);
  CHECK(Membership.incarnation() == 2);
}

TEST_CASE("whatever faults occur, all nodes agree within 60 s after the last, "
          "and no incarnation goes back") {
  CHECK(rc::check([](unsigned Seed) {
    SwimSimulation Simulation(5, Seed);
    std::map<std::pair<std::size_t, NodeId>, std::uint64_t> Highest;
    Simulation.m_onChange = [&](std::size_t By, const NodeUpdate &Change) {
      std::uint64_t &Known = Highest[{By, Change.m_node}];
      RC_ASSERT(Change.m_incarnation >= Known);
      Known = Change.m_incarnation;
    };
    int Steps = *rc::gen::inRange(1, 15);
    for (int Step = 0; Step < Steps; ++Step) {
      std::size_t Index = *rc::gen::inRange<std::size_t>(0, 5);
      switch (*rc::gen::inRange(0, 6)) {
      case 0:
        Simulation.crash(Index);
        break;
      case 1:
        if (!Simulation.node(Index).m_running) {
          Simulation.start(Index);
          std::erase_if(Highest, [&](const auto &Entry) {
            return Entry.first.first == Index;
          });
        }
        break;
      case 2:
        Simulation.pause(Index,
                         absl::Milliseconds(*rc::gen::inRange(1, 20000)));
        break;
      case 3:
        Simulation.node(Index).m_side ^= 1;
        break;
      default:
        Simulation.setLoss(*rc::gen::inRange(0, 8) / 10.0);
      }
      Simulation.run(absl::Milliseconds(*rc::gen::inRange(0, 8000)));
    }
    Simulation.setLoss(0);
    for (std::size_t Index = 0; Index < 5; ++Index)
      Simulation.node(Index).m_side = 0;
    // Nodes that have never met find each other only through a seed.
    bool SeedRuns = false;
    for (std::size_t Seed = 0; Seed < 3; ++Seed)
      SeedRuns = SeedRuns || Simulation.node(Seed).m_running;
    if (!SeedRuns) {
      std::erase_if(Highest,
                    [](const auto &Entry) { return Entry.first.first == 0; });
      Simulation.start(0);
    }
    Simulation.run(absl::Seconds(80)); // 20 s of the last pause, then 60 s
    RC_ASSERT(agreed(Simulation));
  }));
}
