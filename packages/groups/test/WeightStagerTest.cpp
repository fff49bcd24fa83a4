#include <algorithm>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "turmericdyke/Groups"

using namespace turmericdyke;

namespace {

const Instant Start = absl::UnixEpoch() + absl::Hours(1);

Catalog twoModels() {
  Catalog Value;
  Value.m_version = 1;
  ServiceEntry Service;
  Service.m_id = ServiceId("llm");
  Service.m_engine.emplace();
  Service.m_engine->m_loadsPerSecond = 5;
  Service.m_engine->m_maxConcurrentLoads = 7;
  for (auto [Name, Members] : {std::pair{"large", 4}, {"small", 2}}) {
    EngineModel Model;
    Model.m_name = Name;
    Model.m_members = static_cast<std::size_t>(Members);
    Model.m_loadTime = absl::Seconds(12);
    Model.m_share = 0.5;
    Service.m_engine->m_models.push_back(Model);
  }
  Value.m_services.push_back(Service);
  return Value;
}

/// Servers of one fabric domain and a planner for them.
struct Fixture {
  explicit Fixture(GroupPlannerOptions Options = {}) : m_planner(Options) {
    m_planner.lead(1);
    m_input.m_servers = &m_servers;
    m_input.m_catalog = &m_catalog;
    m_input.m_trafficSeen = true;
  }

  ServerAnnouncement announcement(int Index) {
    ServerAnnouncement Value;
    Value.m_id = TargetId(fmt::format("s{}", Index));
    Value.m_service = ServiceId("llm");
    Value.m_address = fmt::format("10.0.0.{}:80", Index);
    Value.m_fabricDomain = FabricDomainId("d0");
    Value.m_startMillis = 1;
    Value.m_sequence = ++m_sequence;
    return Value;
  }

  void announceIdle(int Index, std::vector<std::string> Staged) {
    ServerAnnouncement Value = announcement(Index);
    Value.m_stagedModels = std::move(Staged);
    m_servers.announce(m_now, Value);
  }

  std::vector<GroupOrder> step() {
    m_now += absl::Milliseconds(100);
    return m_planner.step(m_now, m_input);
  }

  static std::size_t count(const std::vector<GroupOrder> &Orders,
                           GroupOrderKind Kind, std::string_view Model) {
    return static_cast<std::size_t>(std::count_if(
        Orders.begin(), Orders.end(), [&](const GroupOrder &Order) {
          return Order.m_kind == Kind && Order.m_model == Model;
        }));
  }

  Instant m_now = Start;
  std::uint64_t m_sequence = 0;
  Catalog m_catalog = twoModels();
  ServerDirectory m_servers;
  GroupPlanner m_planner;
  GroupPlannerInput m_input;
};

} // namespace

// Guards against members that wait 12 s in a group for a server that loads,
// while another server that holds the weights becomes free.
TEST_CASE("a server fetches weights before it joins a group") {
  Fixture F;
  F.announceIdle(0, {"small"});
  F.announceIdle(1, {});
  std::vector<GroupOrder> Orders = F.step();
  CHECK(Fixture::count(Orders, GroupOrderKind::Join, "small") == 0);
  CHECK(Fixture::count(Orders, GroupOrderKind::Stage, "small") == 1);
  F.announceIdle(2, {"small"});
  CHECK(Fixture::count(F.step(), GroupOrderKind::Join, "small") == 2);
}

// Guards against a new leader that makes servers fetch a model from the weight
// store although it is still in their memory.
TEST_CASE("a server keeps its model in memory after its group has ended") {
  ServerDirectory Servers;
  Fixture F;
  ServerAnnouncement Value = F.announcement(0);
  Value.m_model = "large";
  Value.m_group = GroupMembership{"g", 7, 0, MemberState::Joining};
  Servers.announce(Start, Value);
  CHECK_FALSE(Servers.find(Value.m_id)->holdsWeights("large"));
  Value.m_sequence = 2;
  Value.m_group->m_state = MemberState::Ready;
  Servers.announce(Start, Value);
  Value.m_sequence = 3;
  Value.m_group.reset();
  Value.m_model.clear();
  Servers.announce(Start, Value);
  CHECK(Servers.find(Value.m_id)->holdsWeights("large"));
  // A new incarnation under the same identifier holds nothing.
  Value.m_startMillis = 2;
  Servers.announce(Start, Value);
  CHECK_FALSE(Servers.find(Value.m_id)->holdsWeights("large"));
}

// Guards against so many concurrent fetches that each takes several times as
// long, and against bursts above the rate of the store.
TEST_CASE(
    "concurrent fetches stay within what the store serves at full speed") {
  Fixture F;
  for (int Index = 0; Index < 20; ++Index)
    F.announceIdle(Index, {});
  std::size_t Fetches = 0;
  for (int Step = 0; Step < 50; ++Step)
    Fetches += Fixture::count(F.step(), GroupOrderKind::Stage, "large") +
               Fixture::count(F.step(), GroupOrderKind::Stage, "small");
  CHECK(Fetches >= 4);
  CHECK(Fetches <= 7);
}

// Guards against a group of a large model that cannot be repaired with members
// of smaller groups because their hosts dropped its weights when they joined.
TEST_CASE("serving hosts fetch a second model with spare store capacity") {
  Fixture F;
  for (int Rank = 0; Rank < 2; ++Rank) {
    ServerAnnouncement Value = F.announcement(Rank);
    Value.m_stagedModels = {"small"};
    Value.m_model = "small";
    Value.m_group = GroupMembership{
        "g", 7, Rank, Rank == 0 ? MemberState::Open : MemberState::Ready};
    F.m_servers.announce(F.m_now, Value);
  }
  std::vector<GroupOrder> Orders = F.step();
  CHECK(Fixture::count(Orders, GroupOrderKind::Stage, "large") == 2);
}

// Guards against small groups that use up the room for large groups in a fabric
// domain although they fit elsewhere.
TEST_CASE("small groups form where they leave room for large ones") {
  GroupPlannerOptions NoSpares;
  NoSpares.m_spareShare = 0;
  Fixture F(NoSpares);
  F.m_input.m_trafficSeen = false;
  for (int Index = 0; Index < 10; ++Index) {
    F.announceIdle(Index, {});
    ServerAnnouncement Other = F.announcement(100 + Index);
    Other.m_fabricDomain = FabricDomainId("d1");
    F.m_servers.announce(F.m_now, Other);
  }
  F.step();
  std::map<std::string, std::size_t> Groups;
  for (const auto &[Epoch, G] : F.m_planner.groups())
    ++Groups[G.m_model];
  CHECK(Groups["large"] == 3);
  CHECK(Groups["small"] == 4);
}

// Guards against servers that stay idle with the weights in place because a
// model that they cannot serve is scarcer than their own.
TEST_CASE("idle servers serve the model they hold even if another is scarcer") {
  Fixture F;
  for (int Index = 0; Index < 6; ++Index)
    F.announceIdle(Index, {"small"});
  CHECK(Fixture::count(F.step(), GroupOrderKind::Join, "small") == 6);
}

// Guards against a large model that stays undersupplied while small groups in
// the same fabric domain hold its weights. One small group alone has too few
// servers.
TEST_CASE("several small groups close to make room for a large one") {
  Fixture F;
  for (int Index = 0; Index < 8; ++Index) {
    ServerAnnouncement Value = F.announcement(Index);
    Value.m_stagedModels = {"large"};
    Value.m_model = "small";
    std::uint64_t Epoch = 7 + static_cast<std::uint64_t>(Index / 2);
    Value.m_group = GroupMembership{fmt::format("g{}", Epoch), Epoch, Index % 2,
                                    Index % 2 == 0 ? MemberState::Open
                                                   : MemberState::Ready};
    F.m_servers.announce(F.m_now, Value);
  }
  std::vector<GroupOrder> Orders = F.step();
  if (Orders.empty())
    Orders = F.step();
  std::size_t Closing = 0;
  for (const auto &[Epoch, G] : F.m_planner.groups())
    Closing += G.m_phase == GroupPhase::Closing ? 1 : 0;
  CHECK(Closing == 2);
  for (int Step = 0; Step < 5; ++Step)
    F.step();
  // Half of the servers stay with the small model, so that it does not become
  // scarce.
  Closing = 0;
  for (const auto &[Epoch, G] : F.m_planner.groups())
    Closing += G.m_phase == GroupPhase::Closing ? 1 : 0;
  CHECK(Closing == 2);
}
