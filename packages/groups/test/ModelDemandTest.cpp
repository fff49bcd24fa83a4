#include <doctest/doctest.h>

#include "DemandFleet.h"

using namespace turmericdyke;

namespace {

using Load = std::map<std::string, double>;

struct Deployment {
  std::size_t m_large = 4;
  std::size_t m_small = 2;
  std::int64_t m_slots = 30;
  absl::Duration m_step = absl::Milliseconds(6);
  double m_promptsPerSecond = 46000;
  double m_loadsPerSecond = 5;
  std::int64_t m_loadsAtOnce = 7;
};

const Deployment A = {8, 4, 34, absl::Milliseconds(6.07), 46000, 14, 21};
const Deployment B = {16, 4, 30, absl::Milliseconds(5.95), 50700, 14, 21};
const Deployment Balanced = {};

Catalog catalog(const Deployment &Figures) {
  Catalog Value;
  Value.m_version = 1;
  ServiceEntry Service;
  Service.m_id = ServiceId("llm");
  EngineCosts &Engine = Service.m_engine.emplace();
  Engine.m_slots = Figures.m_slots;
  Engine.m_kvCapacityTokens = 1'400'000;
  Engine.m_stepsPerPass = 5;
  Engine.m_stepTime = Figures.m_step;
  Engine.m_prefillTokensPerSecond = Figures.m_promptsPerSecond;
  Engine.m_prefillChunk = 2048;
  Engine.m_loadsPerSecond = Figures.m_loadsPerSecond;
  Engine.m_maxConcurrentLoads = Figures.m_loadsAtOnce;
  auto Add = [&](const char *Name, std::size_t Members, double Load,
                 double Warm) {
    EngineModel Model;
    Model.m_name = Name;
    Model.m_members = Members;
    Model.m_share = 0.5;
    Model.m_loadTime = absl::Seconds(Load);
    Model.m_warmTime = absl::Seconds(Warm);
    Engine.m_models.push_back(Model);
  };
  Add("large", Figures.m_large, 16, 1.6);
  Add("small", Figures.m_small, 12, 1.1);
  Value.m_services.push_back(Service);
  return Value;
}

std::vector<ModelArrivals> arrivals(std::int64_t Large, std::int64_t Small) {
  return {{ServiceId("llm"), "large", Large, Large * 700, Large * 60},
          {ServiceId("llm"), "small", Small, Small * 700, Small * 60}};
}

/// Reports every 200 ms for some seconds, and returns when the shares changed.
absl::Duration changedAfter(ModelDemand &Demand, double Seconds,
                            std::int64_t Large, std::int64_t Small,
                            std::int64_t All) {
  Instant Start = absl::UnixEpoch() + absl::Hours(1);
  Catalog Routes = catalog(A);
  Demand.begin(Start);
  for (absl::Duration Time; Time < absl::Seconds(Seconds);
       Time += absl::Milliseconds(200)) {
    Demand.record(Start + Time, arrivals(Large, Small), All);
    Demand.step(Start + Time, Routes, {{ServiceId("llm"), 144}});
    if (!Demand.takeChanges().empty())
      return Time;
  }
  return absl::InfiniteDuration();
}

} // namespace

// Guards against a decision that comes too late for a day of half a minute, and
// against one by a handful of requests.
TEST_CASE("a clear difference changes the shares within 3 s of traffic") {
  ModelDemand Demand;
  CHECK(changedAfter(Demand, 10, 15, 80, 95) <= absl::Seconds(3));
  CHECK(Demand.isAdjusted(ServiceId("llm")));
  ModelDemand Few;
  CHECK(changedAfter(Few, 3, 0, 1, 1) == absl::InfiniteDuration());
}

// Guards against groups that are moved for a model that needs half as much
// again, which the shares of few customers differ by at any time.
TEST_CASE("a small difference leaves the declared shares in force") {
  ModelDemand Demand;
  // A request for the large model takes twice the servers.
  CHECK(changedAfter(Demand, 60, 40, 110, 150) == absl::InfiniteDuration());
}

// Guards against a share of zero derived from nodes and relays of an earlier
// version, which state only how many requests came.
TEST_CASE("demand that most nodes do not list is unknown") {
  ModelDemand Demand;
  CHECK(changedAfter(Demand, 20, 5, 30, 100) == absl::InfiniteDuration());
  CHECK(Demand.needs(ServiceId("llm")).empty());
}

// Guards against a group that is closed before all members of its successors
// hold the weights, and against a donor that then lacks servers itself.
TEST_CASE("a group gives way once its successors are staged") {
  Catalog Routes = catalog(A);
  const EngineCosts &Engine = *Routes.m_services.front().m_engine;
  const EngineModel &Large = *Engine.model("large");
  const EngineModel &Small = *Engine.model("small");
  std::vector<ServerRecord> Servers(11);
  MoveDomain Domain;
  Domain.m_groups.push_back({7, &Large, {}});
  for (std::size_t At = 0; At < 8; ++At)
    Domain.m_groups[0].m_members.push_back(&Servers[At]);
  for (std::size_t At = 8; At < 11; ++At)
    Domain.m_free.push_back(&Servers[At]);
  ModelBalance Balance(Engine, {{"large", 0.2}, {"small", 0.8}});
  Balance.add(Large, 32);
  Balance.add(Small, 32);
  MoveInput Input{&Engine, Balance, Balance, {{"large", 24}}, {Domain}, 8};
  auto Choose = [&] {
    return chooseMoves(Input, [](const ServerRecord &S, const EngineModel &M) {
      return S.holdsWeights(M.m_name);
    });
  };
  for (std::size_t At = 4; At < 11; ++At)
    Servers[At].m_announcement.m_stagedModels = {"small"};
  REQUIRE(Choose().size() == 1);
  CHECK(Choose()[0].m_members == 8);
  CHECK(Choose()[0].m_candidates.front() == &Servers[8]);
  CHECK_FALSE(Choose()[0].m_ready);
  Servers[0].m_announcement.m_stagedModels = {"small"};
  CHECK(Choose()[0].m_ready);
  CHECK(Choose()[0].m_closed == std::vector<std::uint64_t>{7});
  Input.m_changeLimit = 7;
  CHECK_FALSE(Choose()[0].m_ready);
  Input.m_kept["large"] = 25;
  CHECK(Choose().empty());
}

// Guards against a model that loses its last group because nobody asks for it
// now.
TEST_CASE("a model without requests keeps a group") {
  DemandFleet Fleet(catalog(A), 171, 19);
  Fleet.run(absl::Seconds(120), Load{{"small", 100}});
  CHECK(Fleet.serving("large") >= 8);
  CHECK(Fleet.serving("small") >= 100);
}

// Guards against a small model that lacks servers at the crest while the large
// one has twice what it needs, and against loads that prepare no group.
TEST_CASE("large groups give way to small ones before the crest") {
  for (bool Staged : {true, false}) {
    DemandFleet Fleet(catalog(A), 171, 19);
    std::size_t Small = Fleet.serving("small");
    REQUIRE(Fleet.serving("large") == 72);
    if (!Staged)
      Fleet.dropSecondCopies();
    Instant Start = Fleet.m_now;
    Fleet.run(absl::Seconds(3), Load{{"large", 18}, {"small", 50}});
    REQUIRE(Fleet.m_changes.size() == 1);
    (void)Fleet.takeLoads("large");
    Fleet.run(absl::Seconds(17), Load{{"large", 23}, {"small", 63}});
    // Once all moves are done, second copies are fetched as before.
    if (!Staged)
      CHECK(Fleet.takeLoads("large") == 0);
    Fleet.run(absl::Seconds(5), Load{{"large", 25}, {"small", 68}});
    MESSAGE("after 25 s: large ", Fleet.serving("large"), ", small ",
            Fleet.serving("small"), ", loads ", Fleet.loads("small"),
            ", first move after ",
            absl::ToDoubleSeconds(Fleet.m_firstMoved - Start), " s");
    CHECK(Fleet.m_firstMoved - Start <= absl::Seconds(3 + 12 + 2));
    Fleet.run(absl::Seconds(60), Load{{"large", 34}, {"small", 92}});
    std::size_t Moved = Fleet.takeMoved("large");
    MESSAGE("moved ", Moved, ", last after ",
            absl::ToDoubleSeconds(Fleet.m_lastMoved - Start),
            " s; loads of small ", Fleet.loads("small"), ", of large ",
            Fleet.loads("large"), "; large ", Fleet.serving("large"),
            ", small ", Fleet.serving("small"));
    CHECK(Fleet.serving("large") >= 34 * 1.15);
    CHECK(Fleet.serving("small") >= 92);
    CHECK(Fleet.serving("small") - Small == 8 * Moved);
    CHECK(Fleet.takeMoved("small") == 0);
    CHECK(Fleet.m_changes.size() == 1);
    CHECK(Fleet.m_mostLoads <= 21);
    // A sixth of the servers may be under change.
    CHECK(Fleet.m_leastServing >= 144 - 171 / 6);
  }
}

// The same with groups of 16, whose servers make several small groups each.
TEST_CASE("a group of 16 gives way to groups of 4 all at once") {
  DemandFleet Fleet(catalog(B), 222, 37);
  std::size_t Large = Fleet.serving("large");
  std::size_t Small = Fleet.serving("small");
  Fleet.run(absl::Seconds(90), Load{{"large", 40}, {"small", 130}});
  std::size_t Moved = Fleet.takeMoved("large");
  MESSAGE("large ", Large, " to ", Fleet.serving("large"), ", small ", Small,
          " to ", Fleet.serving("small"), ", moved ", Moved);
  CHECK(Moved >= 2);
  CHECK(Fleet.serving("large") >= 40 * 1.15);
  CHECK(Fleet.serving("small") >= 130);
  CHECK(Fleet.serving("small") + Fleet.serving("large") >= Large + Small);
  CHECK(Fleet.takeMoved("small") == 0);
}

// Guards against loads and moves in a deployment that its declared shares fit:
// every order must be the one that is given without a measurement.
TEST_CASE("a deployment whose demand matches its shares does not change") {
  auto Run = [](bool Measures) {
    DemandFleet Fleet(catalog(Balanced), 60, 10, Measures);
    // The burst of inc-6743: 225 requests a second for the small model in place
    // of 100.
    Fleet.run(absl::Seconds(12), Load{{"large", 10}, {"small", 12.5}});
    Fleet.run(absl::Seconds(5), Load{{"large", 10}, {"small", 28}});
    Fleet.run(absl::Seconds(15), Load{{"large", 10}, {"small", 12.5}});
    for (int Swing = 0; Swing < 6; ++Swing) {
      Fleet.run(absl::Seconds(3), Load{{"large", 36}, {"small", 12}});
      Fleet.run(absl::Seconds(12), Load{{"large", 11}, {"small", 13}});
      Fleet.run(absl::Seconds(3), Load{{"large", 10}, {"small", 25}});
      Fleet.crash(static_cast<std::size_t>(Swing) * 11);
      Fleet.run(absl::Seconds(6), Load{{"large", 12}, {"small", 12}});
      Fleet.restartCrashed();
    }
    CHECK(Fleet.m_changes.empty());
    return Fleet.m_orders;
  };
  CHECK(Run(true) == Run(false));
}

// Guards against groups that move to and fro: each lasting change of the demand
// changes the shares once.
TEST_CASE("groups follow demand that turns round, once") {
  DemandFleet Fleet(catalog(Balanced), 60, 10);
  Fleet.run(absl::Seconds(60), Load{{"large", 8}, {"small", 32}});
  std::size_t Small = Fleet.serving("small");
  CHECK(Small >= 36);
  CHECK(Fleet.m_changes.size() == 1);
  CHECK(Fleet.takeMoved("small") == 0);
  (void)Fleet.takeMoved("large");
  Fleet.run(absl::Seconds(120), Load{{"large", 32}, {"small", 8}});
  MESSAGE("large ", Fleet.serving("large"), ", small ", Fleet.serving("small"),
          ", changes ", Fleet.m_changes.size());
  CHECK(Fleet.serving("large") >= 36);
  CHECK(Fleet.m_changes.size() <= 3);
  CHECK(Fleet.takeMoved("large") == 0);
}

// Guards against moves that follow each crash of a server: groups are dissolved
// and formed again, which changes the balance for seconds.
TEST_CASE("crashes of servers cause no moves beyond the needed ones") {
  DemandFleet Fleet(catalog(A), 171, 19);
  std::size_t Large = Fleet.serving("large");
  for (int Round = 0; Round < 15; ++Round) {
    Fleet.crash(static_cast<std::size_t>(Round) * 37 + 5);
    Fleet.run(absl::Seconds(5), Load{{"large", 32}, {"small", 88}});
    Fleet.restartCrashed();
    Fleet.run(absl::Seconds(1), Load{{"large", 32}, {"small", 88}});
  }
  Fleet.run(absl::Seconds(40), Load{{"large", 32}, {"small", 88}});
  std::size_t Moved = Fleet.takeMoved("large");
  MESSAGE("moved ", Moved, "; large ", Large, " to ", Fleet.serving("large"),
          ", small ", Fleet.serving("small"));
  CHECK(Fleet.takeMoved("small") == 0);
  CHECK(Moved <= Large / 8 - 4);
  CHECK(Fleet.serving("small") >= 88);
  CHECK(Fleet.serving("large") >= 32);
  CHECK(Fleet.m_changes.size() == 1);
}

// Guards against a new leader that restores the declared shares because it has
// not measured the demand that its predecessor followed.
TEST_CASE("a new leader keeps groups until it has measured") {
  DemandFleet Fleet(catalog(A), 171, 19);
  Load Demand{{"large", 32}, {"small", 88}};
  Fleet.run(absl::Seconds(80), Demand);
  std::size_t Large = Fleet.serving("large");
  std::size_t Small = Fleet.serving("small");
  REQUIRE(Small >= 96);
  (void)Fleet.takeMoved("large");
  Fleet.newLeader();
  Fleet.run(absl::Seconds(5), Demand);
  CHECK(Fleet.m_changes.size() == 2);
  Fleet.run(absl::Seconds(60), Demand);
  CHECK(Fleet.takeMoved("small") == 0);
  CHECK(Fleet.takeMoved("large") <= 1);
  CHECK(Fleet.serving("large") <= Large);
  CHECK(Fleet.serving("small") >= Small);
  CHECK(Fleet.m_changes.size() == 2);
}
