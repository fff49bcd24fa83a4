#include <deque>
#include <random>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "ServerModel.h"

using namespace turmericdyke;

namespace {

Catalog catalog() {
  Catalog Made;
  Made.m_version = 1;
  ServiceEntry Service;
  Service.m_id = ServiceId("llm");
  Service.m_engine.emplace();
  Service.m_engine->m_loadsPerSecond = 5;
  Service.m_engine->m_loadsAtOnce = 7;
  EngineModel Model;
  Model.m_name = "m";
  Model.m_members = 3;
  Model.m_loadTime = absl::Seconds(3);
  Service.m_engine->m_models.push_back(Model);
  Made.m_services.push_back(Service);
  return Made;
}

/// Servers, the link to them, and a planner that may be replaced by another one
/// that knows nothing.
struct World {
  explicit World(std::uint64_t Seed, GroupPlannerOptions Options = {})
      : m_random(Seed), m_options(Options) {
    lead();
  }

  /// Another leader begins, with a copy of the list of servers that is up to a
  /// second old, or with nothing.
  void lead() {
    m_planner = std::make_unique<GroupPlanner>(m_options);
    m_inherited = m_copyComplete && chance(0.7);
    if (m_inherited)
      m_directory.inherit(m_now, m_copy);
    else
      m_directory.clear();
    m_settled = m_now + absl::Seconds(3);
    ++m_fence;
  }

  /// Asks the servers that are known from the leader before only; their answers
  /// are as old as `ReportLag`.
  void confirm() {
    for (const TargetId &Id :
         m_directory.unconfirmed(m_now, absl::Seconds(3))) {
      std::size_t Index = std::stoul(Id.str().substr(1));
      const ServerModel::Server &S = m_servers.at(Index);
      if (!S.m_alive || S.m_cut)
        m_directory.unanswered(Id, false);
      else if (chance(0.8))
        m_directory.reported(m_now, m_now, Id, m_reports[Index].front());
    }
    if (m_directory.unconfirmed(m_now, absl::Seconds(3)).empty())
      m_settled = std::min(m_settled, m_now);
  }

  void remember() {
    for (std::size_t At = 0; At < m_servers.size(); ++At) {
      m_reports[At].push_back(m_servers.report(At));
      if (m_reports[At].size() > ReportLagSteps)
        m_reports[At].pop_front();
    }
    if (m_now < m_settled || !chance(0.05))
      return;
    m_copy = m_directory.changesSince(0).m_servers;
    m_copyComplete = true;
  }

  bool chance(double Probability) {
    return std::bernoulli_distribution(Probability)(m_random);
  }
  std::size_t someone() {
    return std::uniform_int_distribution<std::size_t>(0, m_servers.size() -
                                                             1)(m_random);
  }

  void announce(std::size_t Index) {
    ServerModel::Server &S = m_servers.at(Index);
    if (!S.m_alive || S.m_cut)
      return;
    m_directory.announce(m_now, m_servers.announcement(Index));
    m_said[Index] = S.m_group;
    m_nextAnnouncement[Index] = m_now + absl::Milliseconds(1200);
  }

  void send(const GroupOrder &Order) {
    std::size_t Index = std::stoul(Order.m_target.str().substr(1));
    ServerModel::Server &S = m_servers.at(Index);
    if (S.m_cut || chance(m_lossRate)) {
      // Lost, or carried out up to 12 s later, after newer ones.
      if (chance(0.7))
        m_late.push_back(
            {m_now + absl::Milliseconds(std::uniform_int_distribution<int>(
                         2000, 12000)(m_random)),
             Order, m_planner->fence()});
      m_planner->answered(m_now, Order, OrderAnswer::Unknown);
      return;
    }
    OrderAnswer Answer = m_servers.carryOut(m_now, Order, m_planner->fence());
    m_planner->answered(m_now, Order, Answer);
  }

  void fault() {
    std::size_t Index = someone();
    ServerModel::Server &S = m_servers.at(Index);
    switch (std::uniform_int_distribution<int>(0, 5)(m_random)) {
    case 0:
      m_servers.kill(Index);
      break;
    case 1:
      if (!S.m_alive)
        m_servers.restart(Index);
      break;
    case 2:
      S.m_cut = !S.m_cut;
      break;
    case 3:
      S.m_draining = true;
      break;
    case 4:
      lead();
      break;
    default:
      m_lossRate = m_lossRate > 0 ? 0 : 0.35;
    }
  }

  void step() {
    m_now += absl::Milliseconds(50);
    m_servers.advance(m_now);
    for (std::size_t At = 0; At < m_late.size();) {
      if (m_late[At].m_when > m_now) {
        ++At;
        continue;
      }
      m_servers.carryOut(m_now, m_late[At].m_order, m_late[At].m_fence);
      m_late.erase(m_late.begin() + static_cast<std::ptrdiff_t>(At));
    }
    remember();
    if (m_inherited && m_now < m_settled)
      confirm();
    for (std::size_t At = 0; At < m_servers.size(); ++At)
      if (m_now >= m_nextAnnouncement[At] ||
          m_said[At] != m_servers.at(At).m_group)
        announce(At);
    if (!m_planner->leading())
      m_planner->lead(m_fence);
    GroupPlannerInput Input;
    Input.m_settled = m_now >= m_settled;
    Input.m_servers = &m_directory;
    Input.m_catalog = &m_catalog;
    Input.m_trafficSeen = true;
    // Entry nodes reach servers that are cut from the coordinators.
    for (std::size_t At = 0; At < m_servers.size(); ++At)
      if (m_servers.sendsEvents(At))
        m_progress[m_servers.at(At).m_id] = m_now;
    Input.m_progress = m_progress;
    for (const GroupOrder &Order : m_planner->step(m_now, Input))
      send(Order);
  }

  std::size_t serving() const {
    std::size_t Count = 0;
    for (const auto &[Epoch, G] : m_planner->groups())
      Count += G.m_phase == GroupPhase::Serving ? 1 : 0;
    return Count;
  }

  std::mt19937_64 m_random;
  GroupPlannerOptions m_options;
  Instant m_now = absl::UnixEpoch() + absl::Hours(1);
  Catalog m_catalog = catalog();
  ServerModel m_servers{12, 6};
  ServerDirectory m_directory;
  std::unique_ptr<GroupPlanner> m_planner;
  std::uint64_t m_fence = 0;
  Instant m_settled;
  double m_lossRate = 0;
  std::vector<ServerModel::Late> m_late;
  std::map<TargetId, Instant> m_progress;
  std::map<std::size_t, Instant> m_nextAnnouncement;
  /// A report is as old as the platform's engines say: 200 ms, in steps of 50.
  static constexpr std::size_t ReportLagSteps = 5;
  std::map<std::size_t, std::deque<ServerReport>> m_reports;
  std::vector<ServerCopy> m_copy;
  bool m_copyComplete = false;
  bool m_inherited = false;
  std::map<std::size_t, std::optional<GroupMembership>> m_said;
};

} // namespace

// Guards against a group that opens without a member, and against a server that
// is given to a second group while the first still serves: under orders that
// are lost or carried out late, deaths, restarts under the same identifier,
// cuts, drains and changes of the leader.
TEST_CASE(
    "groups stay whole and apart whatever happens to orders and servers") {
  CHECK(rc::check("random faults", [](std::uint64_t Seed) {
    World W(Seed);
    for (int Step = 0; Step < 1600; ++Step) {
      if (W.chance(0.02))
        W.fault();
      W.step();
      if (!W.m_servers.faults().empty())
        RC_FAIL(W.m_servers.faults().front());
    }
  }));
}

// Guards against a planner that is safe because it does nothing.
TEST_CASE("groups come back after the last fault") {
  CHECK(rc::check("recovery", [](std::uint64_t Seed) {
    World W(Seed);
    for (int Step = 0; Step < 600; ++Step) {
      if (W.chance(0.02))
        W.fault();
      W.step();
    }
    W.m_lossRate = 0;
    for (std::size_t At = 0; At < W.m_servers.size(); ++At) {
      ServerModel::Server &S = W.m_servers.at(At);
      S.m_cut = false;
      if (!S.m_alive || S.m_draining)
        W.m_servers.restart(At);
    }
    // Late orders, the longest stall, a close and two loads.
    for (int Step = 0; Step < 1200; ++Step)
      W.step();
    RC_ASSERT(W.m_servers.faults().empty());
    RC_ASSERT(W.serving() >= 3u);
  }));
}

// Guards against groups that are given up though they serve: their members are
// cut from the coordinators, not from each other or from the entry nodes.
TEST_CASE("a group that sends events outlives the silence of its members") {
  World W(7);
  for (int Step = 0; Step < 400; ++Step)
    W.step();
  std::size_t Before = W.serving();
  REQUIRE(Before >= 3);
  std::uint64_t Opened = W.m_servers.opened();
  for (std::size_t At = 0; At < W.m_servers.size(); ++At)
    W.m_servers.at(At).m_cut = true;
  for (int Step = 0; Step < 200; ++Step)
    W.step();
  CHECK(W.serving() == Before);
  // The same silence, and a member that has died: the group sends nothing.
  W.m_servers.kill(0);
  for (int Step = 0; Step < 60; ++Step)
    W.step();
  CHECK(W.serving() == Before - 1);
  CHECK(W.m_servers.opened() == Opened);
  CHECK(W.m_servers.faults().empty());
}

// Guards against callers that are refused after a change of the leader although
// groups are open, and against orders before all servers have been heard.
TEST_CASE("a new leader takes up open groups at once and orders nothing yet") {
  World W(11);
  for (int Step = 0; Step < 400; ++Step)
    W.step();
  std::size_t Before = W.serving();
  REQUIRE(Before >= 3);
  W.m_copyComplete = false;
  W.lead();
  // Past one interval between announcements, well before the wait is over.
  for (int Step = 0; Step < 30; ++Step)
    W.step();
  CHECK(W.serving() == Before);
  CHECK(W.m_now < W.m_settled);
}

// Guards against seconds without a repair after a change of the leader: with a
// copy of the list of servers, the wait ends once each has answered.
TEST_CASE("a leader with a copy of the list repairs within half a second") {
  World W(13);
  for (int Step = 0; Step < 400; ++Step)
    W.step();
  REQUIRE(W.m_copyComplete);
  do
    W.lead();
  while (!W.m_inherited);
  for (int Step = 0; Step < 10; ++Step)
    W.step();
  CHECK(W.m_settled <= W.m_now);
  CHECK(W.serving() >= 3);
}

// Guards against an oracle that sees nothing: without the wait for a head that
// cannot be asked, the same faults must break a promise.
TEST_CASE("without the wait for the head the faults are noticed") {
  GroupPlannerOptions Hasty;
  Hasty.m_headGivesUpAfter = absl::ZeroDuration();
  bool Noticed = false;
  for (std::uint64_t Seed = 1; Seed <= 200 && !Noticed; ++Seed) {
    World W(Seed, Hasty);
    for (int Step = 0; Step < 1600; ++Step) {
      if (W.chance(0.02))
        W.fault();
      W.step();
    }
    Noticed = !W.m_servers.faults().empty();
  }
  CHECK(Noticed);
}

TEST_CASE("the model notices a server that joins while its head serves") {
  ServerModel Servers(3, 3);
  GroupOrder Join;
  Join.m_group = "a";
  Join.m_epoch = 1;
  Join.m_model = "m";
  Join.m_members = {TargetId("s00"), TargetId("s01"), TargetId("s02")};
  Instant Now = absl::UnixEpoch() + absl::Hours(1);
  for (const TargetId &Id : Join.m_members) {
    Join.m_target = Id;
    CHECK(Servers.carryOut(Now, Join, 1) == OrderAnswer::Accepted);
  }
  Now += absl::Seconds(5);
  Servers.advance(Now);
  GroupOrder Open = Join;
  Open.m_kind = GroupOrderKind::Open;
  Open.m_target = TargetId("s00");
  CHECK(Servers.carryOut(Now, Open, 1) == OrderAnswer::Accepted);
  CHECK(Servers.faults().empty());
  Join.m_group = "b";
  Join.m_epoch = 2;
  Join.m_target = TargetId("s01");
  Servers.carryOut(Now, Join, 1);
  CHECK(Servers.faults().size() == 1);
}
