#include <doctest/doctest.h>

#include "VirtualFleet.h"

using namespace turmericdyke;

namespace {

VirtualFleet fleet(int FailureDomains, int FabricDomainsEach, int Hosts,
                   PlannerOptions Settings = {},
                   FormationStrategy Strategy = defaultStrategy()) {
  VirtualFleetOptions Options;
  Options.m_failureDomains = FailureDomains;
  Options.m_fabricDomainsEach = FabricDomainsEach;
  Options.m_hostsPerFabricDomain = Hosts;
  return VirtualFleet(Options, Settings, Strategy, 1);
}

void settle(VirtualFleet &Fleet) {
  REQUIRE(Fleet.runUntil([&] { return Fleet.holdsCapacity(); },
                         absl::Minutes(10)) < absl::Minutes(10));
}

/// The first assignment by replica name.
Assignment first(const VirtualFleet &Fleet) {
  REQUIRE_FALSE(Fleet.state().assignments().empty());
  return *Fleet.state().assignments().begin()->second;
}

std::size_t member(const VirtualFleet &Fleet, std::size_t Rank) {
  return Fleet.indexOf(first(Fleet).m_members[Rank].m_target);
}

absl::Duration untilServing(VirtualFleet &Fleet) {
  return Fleet.runUntil([&] { return Fleet.holdsCapacity(); },
                        absl::Minutes(10));
}

} // namespace

TEST_CASE("replicas of a pool are spread over failure domains") {
  VirtualFleet Fleet = fleet(3, 2, 8);
  Fleet.setPools({virtualPool("m", 4, 3, 3)});
  settle(Fleet);
  std::set<FailureDomainId> Domains;
  for (const auto &[Replica, Value] : Fleet.state().assignments())
    Domains.insert(Value->m_failureDomain);
  CHECK(Domains.size() == 3);
}

TEST_CASE("a repair keeps the remaining members and uses a spare of the same "
          "fabric domain") {
  VirtualFleet Fleet = fleet(1, 2, 6);
  Fleet.setPools({virtualPool("m", 4, 1, 1)});
  settle(Fleet);
  Assignment Before = first(Fleet);
  Fleet.fail(member(Fleet, 2));
  Fleet.run(absl::Seconds(3));
  CHECK_FALSE(Fleet.holdsCapacity());
  CHECK(untilServing(Fleet) < absl::Seconds(40));
  Assignment After = first(Fleet);
  CHECK(After.m_generation == Before.m_generation + 1);
  CHECK(After.m_fabricDomain == Before.m_fabricDomain);
  for (std::size_t Rank : {0, 1, 3})
    CHECK(After.m_members[Rank] == Before.m_members[Rank]);
  CHECK(After.m_members[2].m_host != Before.m_members[2].m_host);
}

TEST_CASE("a short pause interrupts serving but replaces no member") {
  VirtualFleet Fleet = fleet(1, 1, 6);
  Fleet.setPools({virtualPool("m", 4, 1, 1)});
  settle(Fleet);
  Fleet.pause(member(Fleet, 0), absl::Milliseconds(3400));
  Fleet.run(absl::Seconds(3));
  CHECK_FALSE(Fleet.holdsCapacity());
  CHECK(untilServing(Fleet) <= absl::Seconds(1));
  CHECK(first(Fleet).m_generation == 1);
}

TEST_CASE("a restarted target stays a member under its new incarnation") {
  VirtualFleet Fleet = fleet(1, 1, 6);
  Fleet.setPools({virtualPool("m", 4, 1, 1)});
  settle(Fleet);
  Fleet.restart(member(Fleet, 1));
  Fleet.run(absl::Seconds(2));
  CHECK(untilServing(Fleet) < absl::Seconds(40));
  CHECK(first(Fleet).m_generation == 2);
  CHECK(first(Fleet).m_members[1].m_incarnation == 2);
}

TEST_CASE(
    "a paused host that was replaced is not assigned until it is released, "
    "and releases its replica when it returns") {
  VirtualFleet Fleet = fleet(1, 1, 6);
  Fleet.setPools({virtualPool("m", 4, 1, 1)});
  settle(Fleet);
  std::size_t Lost = member(Fleet, 0);
  Fleet.pause(Lost, absl::Seconds(30));
  Fleet.run(absl::Seconds(6));
  CHECK(Fleet.state().departingHosts().size() == 1);
  Fleet.run(absl::Seconds(5));
  CHECK(Fleet.state().departingHosts().empty());
  Fleet.run(absl::Seconds(30));
  CHECK(Fleet.targets()[Lost].m_actual.m_membership.m_replica.empty());
  CHECK(untilServing(Fleet) < absl::Seconds(60));
}

TEST_CASE("without a spare in the fabric domain a new replica is formed "
          "elsewhere, and the broken one is ended once the new one serves") {
  VirtualFleet Fleet = fleet(1, 2, 4);
  Fleet.setPools({virtualPool("m", 4, 1, 1)});
  settle(Fleet);
  FabricDomainId Before = first(Fleet).m_fabricDomain;
  Fleet.fail(member(Fleet, 0));
  Fleet.run(absl::Seconds(10));
  CHECK(Fleet.state().assignments().size() == 2);
  CHECK(untilServing(Fleet) < absl::Minutes(2));
  Fleet.run(absl::Seconds(15));
  CHECK(Fleet.state().assignments().size() == 1);
  CHECK(first(Fleet).m_fabricDomain != Before);
}

TEST_CASE("a replica without any spare keeps its remaining members, and serves "
          "when the lost host returns") {
  VirtualFleet Fleet = fleet(1, 1, 4);
  Fleet.setPools({virtualPool("m", 4, 1, 1)});
  settle(Fleet);
  std::size_t Lost = member(Fleet, 0);
  Fleet.pause(Lost, absl::Seconds(60));
  Fleet.run(absl::Seconds(55));
  CHECK(Fleet.lastPlan().m_replicas[0].m_state == ReplicaState::Degraded);
  CHECK_FALSE(Fleet.lastPlan().m_replicas[0].m_reason.empty());
  CHECK(untilServing(Fleet) < absl::Seconds(10));
  CHECK(first(Fleet).m_generation == 1);
}

TEST_CASE(
    "a replica beyond the capacity held is ended for one that is needed for "
    "it") {
  VirtualFleet Fleet = fleet(1, 1, 9);
  PoolView First = virtualPool("a", 4, 1, 1);
  PoolView Second = virtualPool("b", 4, 0, 1);
  Fleet.setPools({First, Second});
  Fleet.run(absl::Minutes(3));
  REQUIRE(Fleet.servingReplicas(Second.m_name) == 1);
  for (int Loss = 0; Loss < 2; ++Loss) {
    for (const auto &[Replica, Value] : Fleet.state().assignments())
      if (Value->m_pool == First.m_name)
        Fleet.fail(Fleet.indexOf(Value->m_members[0].m_target));
    Fleet.run(absl::Seconds(3));
    CHECK(untilServing(Fleet) < absl::Minutes(1));
  }
  CHECK(Fleet.servingReplicas(Second.m_name) == 0);
}

TEST_CASE(
    "of two broken replicas in one fabric domain, one is ended to complete "
    "the other") {
  VirtualFleet Fleet = fleet(1, 1, 8);
  PoolView Pool = virtualPool("m", 4, 2, 2);
  Fleet.setPools({Pool});
  settle(Fleet);
  for (const auto &[Replica, Value] : Fleet.state().assignments())
    Fleet.fail(Fleet.indexOf(Value->m_members[0].m_target));
  Fleet.run(absl::Minutes(1));
  CHECK(Fleet.servingReplicas(Pool.m_name) == 1);
}

TEST_CASE(
    "replicas beyond the capacity held leave the configured spare hosts free") {
  for (std::int64_t Spares : {0, 1}) {
    PlannerOptions Settings;
    Settings.m_sparesPerDomain = Spares;
    VirtualFleet Fleet = fleet(1, 1, 8, Settings);
    PoolView Pool = virtualPool("m", 4, 1, 2);
    Fleet.setPools({Pool});
    Fleet.run(absl::Minutes(3));
    CHECK(Fleet.servingReplicas(Pool.m_name) == (Spares == 0 ? 2 : 1));
  }
}

TEST_CASE(
    "draining a host does not interrupt service if there are hosts for a new "
    "replica") {
  VirtualFleet Fleet = fleet(1, 2, 4);
  Fleet.setPools({virtualPool("m", 4, 1, 1)});
  settle(Fleet);
  std::size_t Drained = member(Fleet, 0);
  Fleet.setDrained(Drained, true);
  for (int Step = 0; Step < 600; ++Step) {
    Fleet.step();
    CHECK(Fleet.holdsCapacity());
  }
  const HostId &Host = Fleet.targets()[Drained].m_actual.m_host;
  CHECK(Fleet.state().assignmentOf(Host) == nullptr);
}

TEST_CASE("a drained host is replaced by a spare where no whole replica fits, "
          "and stays a member where no host is free") {
  VirtualFleet Fleet = fleet(1, 1, 5);
  Fleet.setPools({virtualPool("m", 4, 1, 1)});
  settle(Fleet);
  Fleet.setDrained(member(Fleet, 0), true);
  Fleet.run(absl::Minutes(1));
  CHECK(Fleet.holdsCapacity());
  CHECK(first(Fleet).m_generation == 2);
  Fleet.setDrained(member(Fleet, 0), true);
  Fleet.run(absl::Minutes(1));
  CHECK(Fleet.holdsCapacity());
  CHECK(first(Fleet).m_generation == 2);
  CHECK_FALSE(Fleet.lastPlan().m_replicas[0].m_reason.empty());
}

TEST_CASE("requests finish before a drained member is replaced") {
  VirtualFleet Fleet = fleet(1, 1, 5);
  Fleet.setPools({virtualPool("m", 4, 1, 1)});
  settle(Fleet);
  std::size_t Head = member(Fleet, 0);
  Fleet.setRunning(Head, 3);
  Fleet.setDrained(member(Fleet, 2), true);
  Fleet.run(absl::Seconds(30));
  CHECK_FALSE(Fleet.holdsCapacity());
  CHECK(first(Fleet).m_generation == 1);
  Fleet.setRunning(Head, 0);
  Fleet.run(absl::Seconds(2));
  CHECK(first(Fleet).m_generation == 2);
  CHECK(untilServing(Fleet) < absl::Minutes(1));
}

TEST_CASE(
    "a patched replica does not serve until all members run the same engine "
    "build; policy accept then keeps the weights, policy reload forms the "
    "replica again") {
  for (EnginePatchPolicy Policy :
       {EnginePatchPolicy::Accept, EnginePatchPolicy::Reload}) {
    VirtualFleet Fleet = fleet(1, 1, 4);
    Fleet.setPools({virtualPool("m", 4, 1, 1, Policy)});
    settle(Fleet);
    ReplicaId Before = first(Fleet).m_replica;
    Fleet.setBuild(0, "build-2");
    Fleet.run(absl::Seconds(2));
    CHECK_FALSE(Fleet.holdsCapacity());
    for (std::size_t Target = 1; Target < 4; ++Target)
      Fleet.setBuild(Target, "build-2");
    Fleet.run(absl::Seconds(2));
    CHECK(Fleet.holdsCapacity() == (Policy == EnginePatchPolicy::Accept));
    CHECK(untilServing(Fleet) < absl::Minutes(2));
    CHECK(first(Fleet).m_acceptedBuild == "build-2");
    CHECK((first(Fleet).m_replica == Before) ==
          (Policy == EnginePatchPolicy::Accept));
  }
}

TEST_CASE("concurrent weight loads are limited, and replicas are completed one "
          "after another") {
  PlannerOptions Settings;
  Settings.m_maxLoads = 4;
  VirtualFleet Fleet = fleet(1, 2, 8, Settings);
  Fleet.setPools({virtualPool("m", 4, 4, 4)});
  bool OneServedEarly = false;
  for (int Step = 0; Step < 800; ++Step) {
    Fleet.step();
    std::int64_t Loading = 0;
    for (const VirtualTarget &Target : Fleet.targets())
      Loading += Target.m_actual.m_state == TargetState::Loading;
    CHECK(Loading <= 4);
    OneServedEarly |= Fleet.servingReplicas(Fleet.pools()[0].m_name) == 1;
  }
  CHECK(OneServedEarly);
  CHECK(Fleet.holdsCapacity());
}

TEST_CASE("a new leader waits 5.8 s before it sends orders to targets that do "
          "not check fencing tokens") {
  VirtualFleet Fleet = fleet(1, 1, 8);
  Fleet.setPools({virtualPool("m", 4, 1, 2)});
  Fleet.run(absl::Seconds(1));
  Fleet.changeLeader();
  Instant Start = Fleet.now();
  bool ToChecking = false;
  bool ToOthers = false;
  while (Fleet.now() - Start < absl::Seconds(20)) {
    Fleet.step();
    for (const Order &Sent : Fleet.lastPlan().m_orders) {
      bool Checks = Fleet.targets()[Fleet.indexOf(Sent.m_target)]
                        .m_actual.m_checksFencing;
      bool Early = Fleet.now() - Start < absl::Milliseconds(5800);
      ToChecking |= Checks && Early;
      CHECK((Checks || !Early));
      ToOthers |= !Checks;
    }
  }
  CHECK(ToChecking);
  CHECK(ToOthers);
}

TEST_CASE("an unanswered order is repeated after it has expired, with a new "
          "identifier and a higher fencing token") {
  VirtualFleetOptions Options;
  Options.m_failureDomains = 1;
  Options.m_fabricDomainsEach = 1;
  Options.m_hostsPerFabricDomain = 4;
  Options.m_maxOrderDelay = absl::Hours(1);
  VirtualFleet Fleet(Options, {}, defaultStrategy(), 1);
  Fleet.setPools({virtualPool("m", 4, 1, 1)});
  std::map<TargetId, std::pair<Instant, Order>> Last;
  int Resent = 0;
  while (Resent < 8) {
    Fleet.step();
    if (!Fleet.planned())
      continue;
    for (const Order &Sent : Fleet.lastPlan().m_orders) {
      auto Known = Last.find(Sent.m_target);
      if (Known != Last.end()) {
        ++Resent;
        CHECK(Fleet.now() - Known->second.first >= absl::Seconds(5));
        CHECK(Sent.m_fencingToken > Known->second.second.m_fencingToken);
        CHECK(Sent.m_id != Known->second.second.m_id);
      }
      Last[Sent.m_target] = {Fleet.now(), Sent};
    }
  }
}

TEST_CASE("a flapping host is held down before it is assigned again") {
  VirtualFleet Fleet = fleet(1, 1, 5);
  Fleet.setPools({virtualPool("m", 4, 1, 1)});
  settle(Fleet);
  std::size_t Spare = 0;
  while (Fleet.state().assignmentOf(Fleet.targets()[Spare].m_actual.m_host))
    ++Spare;
  for (int Loss = 0; Loss < 3; ++Loss) {
    Fleet.fail(Spare);
    Fleet.run(absl::Seconds(4));
    Fleet.restore(Spare);
    Fleet.run(absl::Seconds(2));
  }
  Fleet.fail(member(Fleet, 0));
  Fleet.run(absl::Seconds(8));
  CHECK(first(Fleet).m_generation == 1);
  CHECK(untilServing(Fleet) < absl::Minutes(1));
  CHECK(first(Fleet).m_generation == 2);
}

TEST_CASE("one plan changes a bounded number of replicas") {
  PlannerOptions Settings;
  Settings.m_maxReplicaChanges = 2;
  VirtualFleet Fleet = fleet(3, 2, 8, Settings);
  Fleet.setPools({virtualPool("m", 4, 12, 12)});
  for (int Step = 0; Step < 40; ++Step) {
    Fleet.step();
    CHECK(Fleet.lastPlan().m_changes.size() <= 2);
  }
  CHECK(Fleet.state().assignments().size() == 12);
}

TEST_CASE(
    "customers with the same model share a pool, and the replicas of a pool "
    "without customers are ended") {
  Declaration Value;
  for (const char *Id : {"a", "b"}) {
    Customer &Each = Value.m_customers[CustomerId(Id)];
    Each.m_capacity = 9;
    Each.m_capacityLimit = 17;
    Each.m_resolved.m_hostsPerReplica = 4;
  }
  std::vector<PoolView> Pools = poolsOf(Value);
  REQUIRE(Pools.size() == 1);
  CHECK(Pools[0].replicasHeld() == 3);
  CHECK(Pools[0].replicasWanted() == 5);
  VirtualFleet Fleet = fleet(3, 1, 8);
  Fleet.setPools(Pools);
  settle(Fleet);
  Fleet.setPools({});
  Fleet.run(absl::Seconds(20));
  CHECK(Fleet.state().assignments().empty());
}

TEST_CASE("the rebuild-whole baseline ends a replica that lost a member") {
  VirtualFleet Fleet = fleet(1, 1, 8, {}, rebuildWholeStrategy());
  Fleet.setPools({virtualPool("m", 4, 1, 1)});
  settle(Fleet);
  ReplicaId Before = first(Fleet).m_replica;
  Fleet.fail(member(Fleet, 0));
  Fleet.run(absl::Seconds(5));
  CHECK(untilServing(Fleet) < absl::Minutes(2));
  CHECK(first(Fleet).m_replica != Before);
}

TEST_CASE(
    "a target that announces itself but ignores orders does not block its "
    "replica forever") {
  VirtualFleet Fleet = fleet(1, 1, 5);
  Fleet.ignoreOrders(0);
  Fleet.setPools({virtualPool("m", 4, 1, 1)});
  CHECK(untilServing(Fleet) < absl::Minutes(2));
  CHECK(Fleet.state().assignmentOf(Fleet.targets()[0].m_actual.m_host) ==
        nullptr);
}

TEST_CASE(
    "a patch that reaches only some members leads to their replacement by "
    "spares of the common build, or to a new replica elsewhere") {
  for (int Hosts : {4, 5}) {
    VirtualFleet Fleet = fleet(1, 2, Hosts);
    Fleet.setPools({virtualPool("m", 4, 1, 1)});
    settle(Fleet);
    ReplicaId Before = first(Fleet).m_replica;
    Fleet.setBuild(member(Fleet, 1), "build-2");
    Fleet.run(absl::Seconds(50));
    CHECK(first(Fleet).m_generation == 1);
    CHECK(untilServing(Fleet) < absl::Minutes(2));
    CHECK((Fleet.state().assignment(Before)->m_generation == 2) ==
          (Hosts == 5));
  }
}
