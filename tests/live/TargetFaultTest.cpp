#include <doctest/doctest.h>

#include <algorithm>

#include <fmt/format.h>

#include "Oracle.h"
#include "absl/time/clock.h"

using namespace turmericdyke;

namespace {

constexpr absl::Duration LeavingBound = absl::Seconds(3);

using Members = std::vector<std::string>;

bool contains(const Members &Names, const std::string &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

/// Waits until each node reports at least two serving replicas without a member
/// of `Dead`.
bool repaired(const LiveCluster &Cluster, const Members &Dead) {
  return eventually(LongTimeout, [&] {
    for (std::size_t Node = 0; Node < NodeCount; ++Node) {
      auto Serving = Cluster.servingReplicas(Node);
      bool Complete = Serving.size() >= 2;
      for (const auto &[Replica, Names] : Serving)
        for (const std::string &Name : Names)
          Complete = Complete && !contains(Dead, Name);
      if (!Complete)
        return false;
    }
    return true;
  });
}

void crash(LiveCluster &Cluster, LiveLoad &Load, const std::string &Name) {
  Cluster.target(Name).crash();
  Load.recordCrash(Name);
}

} // namespace

// Guards against replicas that serve without a member or are not repaired,
// including when the surviving member fails right after the repair.
TEST_CASE("a target crashes, and a second one right after the repair") {
  LiveCluster Cluster;
  REQUIRE(Cluster.form());
  LiveLoad Load(Cluster);
  auto Serving = Cluster.servingReplicas(0);
  REQUIRE(Serving.size() >= 2);
  Members Broken = Serving.begin()->second;
  crash(Cluster, Load, Broken[0]);
  REQUIRE(repaired(Cluster, {Broken[0]}));
  crash(Cluster, Load, Broken[1]);
  REQUIRE(repaired(Cluster, Broken));
  REQUIRE(eventually(LongTimeout, [&] { return Load.answered() > 50; }));
  checkScenario(Cluster, Load);
}

// Guards against new work for a target that has announced that it is leaving.
TEST_CASE("targets that are leaving get no new work after 3 s") {
  LiveCluster Cluster;
  REQUIRE(Cluster.form());
  LiveLoad Load(Cluster);
  REQUIRE(eventually(LongTimeout, [&] { return Load.answered() > 50; }));
  auto Serving = Cluster.servingReplicas(0);
  REQUIRE(Serving.size() >= 2);
  StandInTarget &Head = Cluster.target(Serving.begin()->second[0]);
  StandInTarget &Service = *Cluster.targets().back();
  REQUIRE(Head.lastArrival() > absl::InfinitePast());
  REQUIRE(Service.lastArrival() > absl::InfinitePast());
  Head.leave();
  Service.leave();
  Instant Bound = monotonicNow() + LeavingBound;
  absl::SleepFor(LeavingBound);
  std::size_t Before = Load.answered();
  REQUIRE(
      eventually(LongTimeout, [&] { return Load.answered() > Before + 100; }));
  CHECK(Head.lastArrival() <= Bound);
  CHECK(Service.lastArrival() <= Bound);
  checkScenario(Cluster, Load);
}

// Guards against reporting an answer as complete that was truncated, stalled or
// belongs to another attempt, and against operator data for wrong keys.
TEST_CASE("faulty answers and wrong operator keys") {
  LiveCluster Cluster;
  REQUIRE(Cluster.form());
  LiveLoad Load(Cluster);
  for (const char *Fault :
       {FaultText::EarlyEnd, FaultText::Stall, FaultText::WrongAttempt}) {
    CallerRecord Record = sendChat(Cluster, 3, Fault, 10);
    CHECK_MESSAGE(!Record.m_complete, std::string(Fault));
    CHECK_MESSAGE(Record.m_outcome == "may_have_run", std::string(Fault));
    Load.addChat(Record);
  }
  for (std::size_t Node = 0; Node < NodeCount; ++Node)
    for (const char *Key : {"wrong-operator-key", CallerKey, ""}) {
      auto Client = clientOf(Cluster.operatorAddress(Node), LongTimeout);
      httplib::Headers Headers = {
          {"Authorization", fmt::format("Bearer {}", Key)}};
      for (const char *Path :
           {"/v1/status", "/v1/history", "/v1/declaration"}) {
        httplib::Result Answer = Client->Get(Path, Headers);
        REQUIRE(Answer);
        CHECK(Answer->status == 401);
      }
      for (const char *Path : {"/v1/declaration", "/v1/drain"}) {
        httplib::Result Answer =
            Client->Post(Path, Headers, "{}", "application/json");
        REQUIRE(Answer);
        CHECK(Answer->status == 401);
      }
    }
  checkScenario(Cluster, Load);
}

// Guards against a request that crashes one replica after another while its
// caller sends it again through every node.
TEST_CASE("a request that crashes targets crashes at most two replicas") {
  LiveCluster Cluster;
  REQUIRE(Cluster.form());
  auto Crashed = [&] {
    return std::count_if(Cluster.targets().begin(), Cluster.targets().end(),
                         [](const auto &Target) { return Target->crashed(); });
  };
  std::size_t Refused = 0;
  // The replicas are repaired between the rounds, so that the request could
  // crash more of them.
  for (std::size_t Round = 0; Round < 2; ++Round) {
    Members Dead;
    for (const auto &Target : Cluster.targets())
      if (Target->crashed())
        Dead.push_back(Target->announcement().m_target.str());
    REQUIRE(repaired(Cluster, Dead));
    for (std::size_t Node = 0; Node < NodeCount; ++Node) {
      CallerRecord Record = sendChat(Cluster, Node, FaultText::Crash, 4);
      CHECK_FALSE(Record.m_complete);
      Refused += Record.m_outcome == "not_run" ? 1 : 0;
    }
  }
  CHECK(Crashed() >= 1);
  CHECK(Crashed() <= 2);
  CHECK(Refused >= NodeCount);
  CHECK(eventually(LongTimeout, [&] {
    return sendChat(Cluster, 0, "a harmless request", 4).m_complete;
  }));
  Cluster.passed();
}
