#include <map>

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "VirtualFleet.h"

using namespace turmericdyke;

namespace {

void check(bool Holds, const char *What) {
  if (!Holds)
    RC_FAIL(What);
}

/// Checks the invariants after each step. Compares the decisions with the
/// announcements and the actual state of the targets, independently of the
/// planner's own predicates.
class Oracle {
public:
  void step(VirtualFleet &Fleet) {
    Fleet.step();
    if (!Fleet.planned())
      return;
    for (const ReplicaStatus &Status : Fleet.lastPlan().m_replicas)
      if (Status.m_state == ReplicaState::Serving)
        checkServes(Fleet, m_before.at(Status.m_replica));
    for (const Order &Sent : Fleet.lastPlan().m_orders) {
      check(Sent.m_fencingToken > m_highestFencingToken,
            "an order has no higher fencing token than the previous one");
      m_highestFencingToken = Sent.m_fencingToken;
    }
    std::map<HostId, ReplicaId> Occupied = checkAssignments(Fleet);
    m_before.clear();
    for (const auto &[Replica, Value] : Fleet.state().assignments())
      m_before[Replica] = *Value;
    m_occupied = std::move(Occupied);
  }

private:
  static const VirtualTarget &target(const VirtualFleet &Fleet,
                                     const AssignedMember &Member) {
    return Fleet.targets()[Fleet.indexOf(Member.m_target)];
  }

  /// Invariant I1: every member of a serving replica announced itself within
  /// the last 2.5 s as a ready member of this generation.
  static void checkServes(const VirtualFleet &Fleet, const Assignment &Value) {
    for (const AssignedMember &Member : Value.m_members) {
      const VirtualTarget &Target = target(Fleet, Member);
      const TargetAnnouncement &Announcement = Target.m_announced;
      check(Fleet.now() - Target.m_lastHeard <= absl::Milliseconds(2500),
            "a replica serves with a silent member");
      check(Announcement.m_incarnation == Member.m_incarnation &&
                Announcement.m_membership.m_replica == Value.m_replica &&
                Announcement.m_membership.m_generation == Value.m_generation &&
                Announcement.m_state == TargetState::Ready &&
                Announcement.m_engineBuild == Value.m_acceptedBuild,
            "a replica serves with a member that is not ready in this "
            "generation");
    }
  }

  /// Invariant I2: a host is assigned only if it holds no replica and belongs
  /// to no other assignment. All hosts of an assignment share a fabric domain.
  std::map<HostId, ReplicaId> checkAssignments(const VirtualFleet &Fleet) {
    std::map<HostId, ReplicaId> Occupied;
    for (const auto &[Host, Member] : Fleet.state().departingHosts())
      Occupied[Host] = Member.m_replica;
    for (const auto &[Replica, Value] : Fleet.state().assignments())
      for (const AssignedMember &Member : Value->m_members) {
        check(Occupied.emplace(Member.m_host, Replica).second,
              "a host is in two replicas");
        const VirtualTarget &Target = target(Fleet, Member);
        check(Target.m_actual.m_fabricDomain ==
                  target(Fleet, Value->m_members[0]).m_actual.m_fabricDomain,
              "a replica spans two fabric domains");
        auto Before = m_occupied.find(Member.m_host);
        if (Before == m_occupied.end())
          check(Target.m_announced.m_membership.m_replica.empty(),
                "a host was assigned while it holds a replica");
        else
          check(Before->second == Replica,
                "a host was assigned before it was released");
      }
    return Occupied;
  }

  std::uint64_t m_highestFencingToken = 0;
  std::map<ReplicaId, Assignment> m_before;
  std::map<HostId, ReplicaId> m_occupied;
};

struct System {
  explicit System(const internal::PlannerTestHooks &Hooks)
      : m_fleet(options(), {}, defaultStrategy(), 7) {
    m_fleet.setTestHooks(Hooks);
    setPools(2, 1);
  }
  static VirtualFleetOptions options() {
    VirtualFleetOptions Options;
    Options.m_fabricDomainsEach = 1;
    Options.m_hostsPerFabricDomain = 7;
    Options.m_maxOrderDelay = absl::Seconds(4);
    Options.m_duplicateShare = 0.2;
    return Options;
  }
  void setPools(std::int64_t First, std::int64_t Second) {
    m_fleet.setPools(
        {virtualPool("a", 3, First, First + 1),
         virtualPool("b", 3, Second, Second + 1, EnginePatchPolicy::Reload)});
  }
  void run(absl::Duration Length) {
    for (Instant End = m_fleet.now() + Length; m_fleet.now() < End;)
      m_oracle.step(m_fleet);
  }

  VirtualFleet m_fleet;
  Oracle m_oracle;
  int m_build = 1;
};

struct NoModel {};

enum class Fault {
  Fail,
  Restore,
  Restart,
  Pause,
  Drain,
  Undrain,
  LoseDomain,
  PatchOne,
  PatchAll,
  ChangePools,
  ChangeLeader,
  Nothing,
  Count
};

/// Injects a fault and then lets some time pass.
struct InjectFault : rc::state::Command<NoModel, System> {
  Fault m_fault = static_cast<Fault>(*rc::gen::resize(
      100, rc::gen::inRange(0, static_cast<int>(Fault::Count))));
  std::size_t m_target = *rc::gen::resize(100, rc::gen::inRange(0, 21));
  int m_seconds = *rc::gen::resize(100, rc::gen::inRange(0, 30));

  void apply(NoModel &) const override {}
  void run(const NoModel &, System &Sut) const override {
    VirtualFleet &Fleet = Sut.m_fleet;
    std::string Build = "build-" + std::to_string(Sut.m_build);
    switch (m_fault) {
    case Fault::Fail:
      Fleet.fail(m_target);
      break;
    case Fault::Restore:
      Fleet.restore(m_target);
      break;
    case Fault::Restart:
      Fleet.restart(m_target);
      break;
    case Fault::Pause:
      Fleet.pause(m_target, absl::Seconds(m_seconds));
      break;
    case Fault::Drain:
    case Fault::Undrain:
      Fleet.setDrained(m_target, m_fault == Fault::Drain);
      break;
    case Fault::LoseDomain:
      for (std::size_t Host = 0; Host < 7; ++Host)
        Fleet.fail(m_target / 7 * 7 + Host);
      break;
    case Fault::PatchOne:
      Fleet.setBuild(m_target, "build-" + std::to_string(++Sut.m_build));
      break;
    case Fault::PatchAll:
      for (std::size_t Host = 0; Host < 21; ++Host)
        Fleet.setBuild(Host, Build);
      break;
    case Fault::ChangePools:
      Sut.setPools(m_seconds % 3, m_seconds / 10);
      break;
    case Fault::ChangeLeader:
      Fleet.changeLeader();
      break;
    default:
      break;
    }
    Sut.run(absl::Seconds(m_seconds));
  }
  void show(std::ostream &Out) const override {
    Out << "fault " << static_cast<int>(m_fault) << " at " << m_target
        << ", then " << m_seconds << " s";
  }
};

/// Checks liveness: once the faults stop and all hosts are back, each pool gets
/// the replicas it needs. Loading 21 targets at 10 GB/s takes 168 s, and a
/// hold-down lasts at most 160 s.
void runProperty(const internal::PlannerTestHooks &Hooks) {
  System Sut(Hooks);
  rc::state::check(NoModel(), Sut,
                   rc::state::gen::execOneOfWithArgs<InjectFault>());
  for (std::size_t Host = 0; Host < 21; ++Host) {
    Sut.m_fleet.restore(Host);
    Sut.m_fleet.setDrained(Host, false);
    Sut.m_fleet.setBuild(Host, "build-last");
  }
  Instant End = Sut.m_fleet.now() + absl::Minutes(10);
  while (Sut.m_fleet.now() < End && !Sut.m_fleet.holdsCapacity())
    Sut.m_oracle.step(Sut.m_fleet);
  check(Sut.m_fleet.holdsCapacity(), "not all needed replicas serve");
  // The state stays stable, and all departing hosts are released.
  Sut.run(absl::Minutes(6));
  check(Sut.m_fleet.holdsCapacity(), "a replica stopped without a fault");
  check(Sut.m_fleet.state().departingHosts().empty(),
        "a departing host was not released");
}

bool holdsWith(const internal::PlannerTestHooks &Hooks) {
  rc::detail::TestParams Params;
  Params.seed = 20261204;
  Params.disableShrinking = true;
  return rc::detail::checkProperty(
             rc::detail::toProperty([&] { runProperty(Hooks); }),
             rc::detail::TestMetadata(), Params)
      .is<rc::detail::SuccessResult>();
}

} // namespace

TEST_CASE("under random faults serving replicas are complete and within one "
          "fabric domain, no host is in two replicas, fencing tokens increase, "
          "and capacity recovers") {
  CHECK(
      rc::check("planner", [] { runProperty(internal::PlannerTestHooks()); }));
}

TEST_CASE("the oracle detects each safety check that is disabled") {
  internal::PlannerTestHooks Release, Mix, Fresh, Fences, Repair;
  Release.m_skipReleaseRule = true;
  Mix.m_mixFabricDomains = true;
  Fresh.m_skipFreshness = true;
  Fences.m_repeatFences = true;
  Repair.m_skipRepair = true;
  CHECK_FALSE(holdsWith(Release));
  CHECK_FALSE(holdsWith(Mix));
  CHECK_FALSE(holdsWith(Fresh));
  CHECK_FALSE(holdsWith(Fences));
  CHECK_FALSE(holdsWith(Repair));
}
