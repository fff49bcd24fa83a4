#include <algorithm>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "turmericdyke/Groups"

using namespace turmericdyke;

namespace {

const Instant Start = absl::UnixEpoch() + absl::Hours(1);

Catalog twoModels() {
  Catalog Made;
  Made.m_version = 1;
  ServiceEntry Service;
  Service.m_id = ServiceId("llm");
  Service.m_engine.emplace();
  Service.m_engine->m_loadsPerSecond = 5;
  Service.m_engine->m_loadsAtOnce = 7;
  for (auto [Name, Members] : {std::pair{"large", 4}, {"small", 2}}) {
    EngineModel Model;
    Model.m_name = Name;
    Model.m_members = static_cast<std::size_t>(Members);
    Model.m_loadTime = absl::Seconds(12);
    Model.m_share = 0.5;
    Service.m_engine->m_models.push_back(Model);
  }
  Made.m_services.push_back(Service);
  return Made;
}

/// Servers of one fabric domain, and a planner that leads them.
struct Domain {
  explicit Domain(GroupPlannerOptions Options = {}) : m_planner(Options) {
    m_planner.lead(1);
    m_input.m_servers = &m_servers;
    m_input.m_catalog = &m_catalog;
    m_input.m_trafficSeen = true;
  }

  ServerAnnouncement said(int Index) {
    ServerAnnouncement Made;
    Made.m_id = TargetId(fmt::format("s{}", Index));
    Made.m_service = ServiceId("llm");
    Made.m_address = fmt::format("10.0.0.{}:80", Index);
    Made.m_fabricDomain = FabricDomainId("d0");
    Made.m_bornMillis = 1;
    Made.m_sequence = ++m_sequence;
    return Made;
  }

  void idle(int Index, std::vector<std::string> Staged) {
    ServerAnnouncement Said = said(Index);
    Said.m_stagedModels = std::move(Staged);
    m_servers.announce(m_now, Said);
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

// Guards against survivors of a group that are tied to a server which loads for
// 12 s, while another server with the weights comes free in the meantime.
TEST_CASE("a server fetches weights before it joins, and nobody waits for it") {
  Domain D;
  D.idle(0, {"small"});
  D.idle(1, {});
  std::vector<GroupOrder> Orders = D.step();
  CHECK(Domain::count(Orders, GroupOrderKind::Join, "small") == 0);
  CHECK(Domain::count(Orders, GroupOrderKind::Stage, "small") == 1);
  D.idle(2, {"small"});
  CHECK(Domain::count(D.step(), GroupOrderKind::Join, "small") == 2);
}

// Guards against a new leader that sends servers to the weight store for the
// model that they still hold in memory.
TEST_CASE("a model stays in memory after its group has ended") {
  ServerDirectory Servers;
  Domain D;
  ServerAnnouncement Said = D.said(0);
  Said.m_model = "large";
  Said.m_group = GroupMembership{"g", 7, 0, MemberState::Joining};
  Servers.announce(Start, Said);
  CHECK_FALSE(Servers.find(Said.m_id)->holdsWeights("large"));
  Said.m_sequence = 2;
  Said.m_group->m_state = MemberState::Ready;
  Servers.announce(Start, Said);
  Said.m_sequence = 3;
  Said.m_group.reset();
  Said.m_model.clear();
  Servers.announce(Start, Said);
  CHECK(Servers.find(Said.m_id)->holdsWeights("large"));
  // A new life under the same identifier holds nothing.
  Said.m_bornMillis = 2;
  Servers.announce(Start, Said);
  CHECK_FALSE(Servers.find(Said.m_id)->holdsWeights("large"));
}

// Guards against a store that serves so many fetches at once that each takes
// several times as long, and against a rush above its rate.
TEST_CASE("fetches under way stay within what the store serves at full speed") {
  Domain D;
  for (int Index = 0; Index < 20; ++Index)
    D.idle(Index, {});
  std::size_t Fetches = 0;
  for (int Step = 0; Step < 50; ++Step)
    Fetches += Domain::count(D.step(), GroupOrderKind::Stage, "large") +
               Domain::count(D.step(), GroupOrderKind::Stage, "small");
  CHECK(Fetches >= 4);
  CHECK(Fetches <= 7);
}

// Guards against a group of a large model that cannot be repaired from members
// of smaller groups, because their hosts gave up its weights when they joined.
TEST_CASE("serving hosts fetch a second model with what is left of the store") {
  Domain D;
  for (int Rank = 0; Rank < 2; ++Rank) {
    ServerAnnouncement Said = D.said(Rank);
    Said.m_stagedModels = {"small"};
    Said.m_model = "small";
    Said.m_group = GroupMembership{
        "g", 7, Rank, Rank == 0 ? MemberState::Open : MemberState::Ready};
    D.m_servers.announce(D.m_now, Said);
  }
  std::vector<GroupOrder> Orders = D.step();
  CHECK(Domain::count(Orders, GroupOrderKind::Stage, "large") == 2);
}

// Guards against fabric domains whose room for large groups is used up by small
// ones that would have fitted elsewhere.
TEST_CASE("small groups form where no room for a large one is lost") {
  GroupPlannerOptions NoSpares;
  NoSpares.m_spareShare = 0;
  Domain D(NoSpares);
  D.m_input.m_trafficSeen = false;
  for (int Index = 0; Index < 10; ++Index) {
    D.idle(Index, {});
    ServerAnnouncement Other = D.said(100 + Index);
    Other.m_fabricDomain = FabricDomainId("d1");
    D.m_servers.announce(D.m_now, Other);
  }
  D.step();
  std::map<std::string, std::size_t> Groups;
  for (const auto &[Epoch, G] : D.m_planner.groups())
    ++Groups[G.m_model];
  CHECK(Groups["large"] == 3);
  CHECK(Groups["small"] == 4);
}

// Guards against servers that stand idle with the weights in place because
// their model is better supplied than one that they cannot serve.
TEST_CASE("idle servers with weights serve, whichever model is short") {
  Domain D;
  for (int Index = 0; Index < 6; ++Index)
    D.idle(Index, {"small"});
  CHECK(Domain::count(D.step(), GroupOrderKind::Join, "small") == 6);
}

// Guards against a large model that stays short while groups of a small one on
// the same fabric hold its weights: one of them alone has too few servers.
TEST_CASE("several small groups make room for a large one") {
  Domain D;
  for (int Index = 0; Index < 8; ++Index) {
    ServerAnnouncement Said = D.said(Index);
    Said.m_stagedModels = {"large"};
    Said.m_model = "small";
    std::uint64_t Epoch = 7 + static_cast<std::uint64_t>(Index / 2);
    Said.m_group = GroupMembership{fmt::format("g{}", Epoch), Epoch, Index % 2,
                                   Index % 2 == 0 ? MemberState::Open
                                                  : MemberState::Ready};
    D.m_servers.announce(D.m_now, Said);
  }
  std::vector<GroupOrder> Orders = D.step();
  if (Orders.empty())
    Orders = D.step();
  std::size_t Closing = 0;
  for (const auto &[Epoch, G] : D.m_planner.groups())
    Closing += G.m_phase == GroupPhase::Closing ? 1 : 0;
  CHECK(Closing == 2);
  for (int Step = 0; Step < 5; ++Step)
    D.step();
  // Half of the servers stay with the small model: it must not be short then.
  Closing = 0;
  for (const auto &[Epoch, G] : D.m_planner.groups())
    Closing += G.m_phase == GroupPhase::Closing ? 1 : 0;
  CHECK(Closing == 2);
}
