#include <string>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "turmericdyke/Groups"

using namespace turmericdyke;

namespace {

const Instant Start = absl::UnixEpoch() + absl::Hours(1);
const FailureDomainId North("north");
const FailureDomainId South("south");

using Records = std::map<FailureDomainId, EvacuationRecord>;

ServerAnnouncement serverIn(const FailureDomainId &Domain) {
  ServerAnnouncement Value;
  Value.m_failureDomain = Domain;
  return Value;
}

/// Two failure domains with one fabric domain each, and a service with the
/// models a and b of two members. The names of servers begin with their failure
/// domain.
struct TwoDomains {
  TwoDomains() {
    ServiceEntry Service;
    Service.m_id = ServiceId("llm");
    Service.m_engine.emplace();
    for (const char *Name : {"a", "b"}) {
      EngineModel Model;
      Model.m_name = Name;
      Model.m_members = 2;
      Model.m_share = 0.5;
      Service.m_engine->m_models.push_back(Model);
    }
    m_catalog.m_services.push_back(Service);
    m_planner.lead(1);
  }

  ServerAnnouncement server(const FailureDomainId &Domain) {
    ServerAnnouncement Value;
    Value.m_id = TargetId(fmt::format("{}-{}", Domain.str(), ++m_servers));
    Value.m_service = ServiceId("llm");
    Value.m_address = fmt::format("10.0.0.{}:80", m_servers);
    Value.m_failureDomain = Domain;
    Value.m_fabricDomain = FabricDomainId("fabric-" + Domain.str());
    Value.m_startMillis = 1;
    Value.m_sequence = 1;
    return Value;
  }
  void addFree(const FailureDomainId &Domain, int Count) {
    for (int At = 0; At < Count; ++At)
      m_directory.announce(Start, server(Domain));
  }
  /// A group that serves. Its hosts also hold the weights in `Staged`.
  void addGroup(const FailureDomainId &Domain, const char *Model,
                const char *Staged) {
    std::uint64_t Epoch = ++m_epoch;
    for (int Rank = 0; Rank < 2; ++Rank) {
      ServerAnnouncement Member = server(Domain);
      Member.m_model = Model;
      Member.m_stagedModels = {Staged};
      Member.m_group =
          GroupMembership{fmt::format("g{}", Epoch), Epoch, Rank,
                          Rank == 0 ? MemberState::Open : MemberState::Ready};
      m_directory.announce(Start, Member);
    }
  }
  void setEvacuated(const FailureDomainId &Domain, bool Evacuated) {
    m_records[Domain] = {Evacuated, ++m_change};
    m_evacuated.update(Start, m_records);
  }
  std::vector<GroupOrder> step(absl::Duration After = absl::ZeroDuration()) {
    GroupPlannerInput Input;
    Input.m_servers = &m_directory;
    Input.m_catalog = &m_catalog;
    Input.m_evacuated = &m_evacuated;
    Input.m_trafficSeen = m_trafficSeen;
    return m_planner.step(Start + After, Input);
  }

  Catalog m_catalog;
  ServerDirectory m_directory;
  EvacuatedDomains m_evacuated;
  Records m_records;
  GroupPlanner m_planner;
  int m_servers = 0;
  std::uint64_t m_epoch = 0;
  std::uint64_t m_change = 0;
  bool m_trafficSeen = false;
};

bool isIn(const GroupOrder &Order, const FailureDomainId &Domain) {
  return Order.m_target.str().starts_with(Domain.str());
}

std::size_t ordersIn(const std::vector<GroupOrder> &Orders,
                     const FailureDomainId &Domain) {
  return static_cast<std::size_t>(
      std::count_if(Orders.begin(), Orders.end(), [&](const GroupOrder &Order) {
        return isIn(Order, Domain);
      }));
}

} // namespace

TEST_CASE("servers of an evacuated failure domain may not be used until the "
          "evacuation ends") {
  EvacuatedDomains Evacuated;
  CHECK(Evacuated.mayUse(serverIn(North)));
  CHECK(Evacuated.update(Start, {{North, {true, 5}}}) ==
        std::vector<FailureDomainId>{North});
  CHECK_FALSE(Evacuated.mayUse(serverIn(North)));
  CHECK(Evacuated.mayUse(serverIn(South)));
  CHECK(Evacuated.size() == 1);
  CHECK(Evacuated.update(Start, {{North, {true, 5}}}).empty());
  CHECK(Evacuated.update(Start, {{North, {false, 9}}}) ==
        std::vector<FailureDomainId>{North});
  CHECK(Evacuated.mayUse(serverIn(North)));
  CHECK(Evacuated.size() == 0);
}

// Guards against servers that count as cold for too short a time: the end is
// the first moment at which this node knew of it, and stays that.
TEST_CASE("the end of an evacuation is stated once, and never too early") {
  EvacuatedDomains Evacuated;
  CHECK_FALSE(Evacuated.endedAt(North));
  Evacuated.update(Start, {{North, {true, 5}}});
  CHECK_FALSE(Evacuated.endedAt(North));
  Instant Ended = Start + absl::Seconds(1);
  Evacuated.update(Ended, {{North, {false, 9}}});
  Evacuated.update(Ended + absl::Seconds(1), {{North, {false, 9}}});
  CHECK(Evacuated.endedAt(North) == Ended);
  // Started and ended again before this node applied either order.
  Instant Again = Ended + absl::Seconds(5);
  Evacuated.update(Again, {{North, {false, 12}}});
  CHECK(Evacuated.endedAt(North) == Again);
  // A node that starts after the end.
  EvacuatedDomains Fresh;
  Fresh.update(Again, {{North, {false, 9}}});
  CHECK(Fresh.endedAt(North) == Again);
}

// Guards against servers that stay unused for ever because a snapshot of an
// older coordinator holds no record of the evacuation.
TEST_CASE("an evacuation without a record has ended") {
  EvacuatedDomains Evacuated;
  Evacuated.update(Start, {{North, {true, 5}}});
  CHECK(Evacuated.update(Start + absl::Seconds(1), {}) ==
        std::vector<FailureDomainId>{North});
  CHECK(Evacuated.mayUse(serverIn(North)));
  CHECK(Evacuated.endedAt(North) == Start + absl::Seconds(1));
  CHECK(Evacuated.update(Start + absl::Seconds(2), {}).empty());
}

TEST_CASE("no group is formed in an evacuated failure domain") {
  TwoDomains F;
  F.addFree(North, 4);
  F.addFree(South, 4);
  F.setEvacuated(North, true);
  std::vector<GroupOrder> Orders = F.step();
  CHECK(ordersIn(Orders, North) == 0);
  CHECK(ordersIn(Orders, South) == 4);
  F.setEvacuated(North, false);
  CHECK(ordersIn(F.step(absl::Milliseconds(100)), North) == 4);
}

TEST_CASE("no weights are staged in an evacuated failure domain, neither on "
          "free servers nor beside a group") {
  TwoDomains F;
  F.m_trafficSeen = true;
  F.addFree(North, 2);
  F.addGroup(North, "a", "a");
  F.addFree(South, 2);
  F.setEvacuated(North, true);
  std::size_t Staged = 0;
  for (int At = 0; At < 8; ++At) {
    std::vector<GroupOrder> Orders = F.step(At * absl::Milliseconds(250));
    CHECK(ordersIn(Orders, North) == 0);
    Staged += ordersIn(Orders, South);
  }
  CHECK(Staged > 0);
}

// Guards against sound groups that are dissolved, closed or reused while their
// failure domain is evacuated: when it ends they must serve at once.
TEST_CASE("groups in an evacuated failure domain stay formed") {
  TwoDomains F;
  F.m_trafficSeen = true;
  F.addGroup(North, "a", "b");
  F.addGroup(South, "a", "b");
  F.addGroup(South, "a", "b");
  F.setEvacuated(North, true);
  for (int At = 0; At < 8; ++At)
    CHECK(ordersIn(F.step(At * absl::Milliseconds(250)), North) == 0);
  CHECK(F.m_planner.groups().at(1).m_phase == GroupPhase::Serving);
}

// Guards against a plan that gives up a group which serves nobody: it frees no
// capacity for the scarce model elsewhere.
TEST_CASE("servers for a scarce model are taken from the domains in use") {
  for (bool Evacuated : {false, true}) {
    TwoDomains F;
    F.m_trafficSeen = true;
    F.addGroup(North, "a", "b");
    F.addGroup(South, "a", "b");
    F.addGroup(South, "a", "b");
    if (Evacuated)
      F.setEvacuated(North, true);
    (void)F.step();
    std::vector<GroupOrder> Orders = F.step(absl::Milliseconds(20));
    CHECK(ordersIn(Orders, Evacuated ? South : North) == 1);
    CHECK(ordersIn(Orders, Evacuated ? North : South) == 0);
    CHECK(Orders.at(0).m_kind == GroupOrderKind::Close);
  }
}

// Guards against a model that is served only in the evacuated failure domain
// and counts as well supplied.
TEST_CASE("the balance of models does not count evacuated servers") {
  for (bool Evacuated : {false, true}) {
    TwoDomains F;
    F.addGroup(North, "a", "a");
    F.addFree(South, 2);
    if (Evacuated)
      F.setEvacuated(North, true);
    std::vector<GroupOrder> Orders = F.step();
    REQUIRE(Orders.size() >= 2);
    CHECK(Orders.at(0).m_kind == GroupOrderKind::Join);
    CHECK(Orders.at(0).m_model == (Evacuated ? "a" : "b"));
  }
}

// Guards against a plan that fails, or gives orders, without any usable server.
TEST_CASE("nothing is ordered while all failure domains are evacuated") {
  TwoDomains F;
  F.m_trafficSeen = true;
  F.addGroup(North, "a", "b");
  F.addFree(North, 4);
  F.addFree(South, 4);
  F.setEvacuated(North, true);
  F.setEvacuated(South, true);
  CHECK(F.step().empty());
  CHECK(F.m_planner.groups().size() == 1);
}

// Guards against a group with a lost member that is kept because its failure
// domain is evacuated, and that would be published broken when this ends.
TEST_CASE("a group that loses a member is dissolved in an evacuated failure "
          "domain too") {
  TwoDomains F;
  F.addGroup(North, "a", "a");
  F.setEvacuated(North, true);
  (void)F.step();
  ServerAnnouncement Head = F.m_directory.all().begin()->second.m_announcement;
  Head.m_sequence = 2;
  F.m_directory.announce(Start + absl::Seconds(4), Head);
  (void)F.step(absl::Seconds(4));
  CHECK(F.m_planner.groups().at(1).m_phase == GroupPhase::Dissolving);
}
