#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "turmericdyke/Catalog"
#include "turmericdyke/Fleet"
#include "turmericdyke/Groups"

namespace turmericdyke {

/// Servers that carry out orders at once, a weight store that becomes slower
/// with more loads than it serves at full speed, and a leader that measures the
/// demand, in virtual time.
class DemandFleet {
public:
  static constexpr absl::Duration Tick = absl::Milliseconds(200);
  /// A head that closes finishes its requests in this time.
  static constexpr absl::Duration DrainTime = absl::Seconds(2);

  struct Server {
    ServerAnnouncement m_announcement;
    bool m_alive = true;
    std::string m_inMemory;
    std::string m_fetching;
    double m_fetchSeconds = 0;
    Instant m_readyAt = absl::InfiniteFuture();
    Instant m_drainedAt = absl::InfiniteFuture();
  };

  DemandFleet(Catalog Routes, std::size_t Servers, std::size_t PerDomain,
              bool Measures = true)
      : m_routes(std::move(Routes)), m_measures(Measures) {
    for (std::size_t At = 0; At < Servers; ++At) {
      ServerAnnouncement Value;
      Value.m_id = TargetId(fmt::format("s{:03}", At));
      Value.m_service = service().m_id;
      Value.m_address = fmt::format("10.0.{}.{}:80", At / 200, At % 200);
      Value.m_fabricDomain = FabricDomainId(fmt::format("d{}", At / PerDomain));
      Value.m_startMillis = 1;
      m_servers[Value.m_id].m_announcement = std::move(Value);
    }
    newLeader();
    run(absl::Seconds(40), {});
  }

  const ServiceEntry &service() const { return m_routes.m_services.front(); }
  const EngineModel &model(std::string_view Name) const {
    return *service().m_engine->model(Name);
  }

  void newLeader() {
    m_planner = GroupPlanner();
    m_planner.lead(++m_fence);
    m_demand.begin(m_now);
    if (m_fence > 1)
      m_demand.expectGroups();
  }

  /// Runs with a load that occupies so many servers of each model fully.
  void run(absl::Duration Time, const std::map<std::string, double> &Load) {
    for (Instant End = m_now + Time; m_now < End;) {
      m_now += Tick;
      arrive(Load);
      advance();
      plan();
      if (m_trafficSeen)
        m_leastServing =
            std::min(m_leastServing, serving("large") + serving("small"));
    }
  }

  void crash(std::size_t Index) {
    auto At = std::next(m_servers.begin(),
                        static_cast<std::ptrdiff_t>(Index % m_servers.size()));
    At->second.m_alive = false;
  }
  /// Starts all crashed servers again, without any weights.
  void restartCrashed() {
    for (auto &[Id, Each] : m_servers) {
      if (Each.m_alive)
        continue;
      ServerAnnouncement Fresh = Each.m_announcement;
      Fresh.m_startMillis += 1;
      Fresh.m_group.reset();
      Fresh.m_model.clear();
      Fresh.m_stagedModels.clear();
      Each = Server();
      Each.m_announcement = std::move(Fresh);
    }
  }

  /// Leaves each server in a group only the copy of its own model, as if
  /// requests had run since the groups were formed.
  void dropSecondCopies() {
    for (auto &[Id, Each] : m_servers)
      if (Each.m_announcement.m_group)
        Each.m_announcement.m_stagedModels = {Each.m_inMemory};
    m_loads.clear();
  }

  std::size_t serving(std::string_view Model) const {
    std::size_t Sum = 0;
    for (const auto &[Epoch, G] : m_planner.groups())
      if (G.m_phase == GroupPhase::Serving && G.m_model == Model)
        Sum += G.m_members.size();
    return Sum;
  }
  /// Groups of the model that were closed for another one since the last call.
  std::size_t takeMoved(const std::string &Model) {
    return std::exchange(m_moved[Model], 0);
  }
  std::size_t loads(const std::string &Model) { return m_loads[Model]; }
  /// Loads of the model that were ordered since the last call.
  std::size_t takeLoads(const std::string &Model) {
    return std::exchange(m_loads[Model], 0);
  }

  Catalog m_routes;
  bool m_measures;
  Instant m_now = absl::UnixEpoch() + absl::Hours(1);
  ServerDirectory m_directory;
  GroupPlanner m_planner;
  ModelDemand m_demand;
  std::map<TargetId, Server> m_servers;
  /// Every order of the planner, as text.
  std::vector<std::string> m_orders;
  std::vector<Instant> m_changes;
  std::size_t m_mostLoads = 0;
  std::size_t m_leastServing = SIZE_MAX;
  Instant m_lastMoved = absl::InfinitePast();
  Instant m_firstMoved = absl::InfiniteFuture();

private:
  void arrive(const std::map<std::string, double> &Load) {
    constexpr std::int64_t Prompt = 700;
    constexpr std::int64_t Output = 60;
    std::vector<ModelArrivals> Arrivals;
    std::int64_t All = 0;
    for (const auto &[Name, Servers] : Load) {
      const EngineModel &Model = model(Name);
      double Seconds = absl::ToDoubleSeconds(replicaTimePerRequest(
                           *service().m_engine, Model, Prompt, Output)) *
                       static_cast<double>(Model.m_members);
      std::poisson_distribution<std::int64_t> Count(
          Servers / Seconds * absl::ToDoubleSeconds(Tick));
      ModelArrivals Value{service().m_id, Name, Count(m_random)};
      Value.m_promptTokens = Value.m_requests * Prompt;
      Value.m_outputTokens = Value.m_requests * Output;
      All += Value.m_requests;
      Arrivals.push_back(std::move(Value));
    }
    m_trafficSeen = m_trafficSeen || All > 0;
    m_demand.record(m_now, Arrivals, All);
  }

  void advance() {
    std::size_t Loads = 0;
    for (auto &[Id, Each] : m_servers)
      Loads += Each.m_alive && !Each.m_fetching.empty() ? 1 : 0;
    m_mostLoads = m_trafficSeen ? std::max(m_mostLoads, Loads) : 0;
    double AtOnce =
        static_cast<double>(service().m_engine->m_maxConcurrentLoads);
    double Speed =
        m_trafficSeen
            ? std::min(1.0,
                       AtOnce / std::max<double>(1, static_cast<double>(Loads)))
            : 1;
    for (auto &[Id, Each] : m_servers)
      if (Each.m_alive)
        advanceServer(Each, Speed);
  }

  void advanceServer(Server &Each, double Speed) {
    ServerAnnouncement &State = Each.m_announcement;
    Each.m_fetchSeconds -= Speed * absl::ToDoubleSeconds(Tick);
    if (!Each.m_fetching.empty() && Each.m_fetchSeconds <= 0)
      State.m_stagedModels = {std::exchange(Each.m_fetching, "")};
    if (State.m_group && m_now >= Each.m_readyAt) {
      Each.m_readyAt = absl::InfiniteFuture();
      State.m_group->m_state = MemberState::Ready;
      Each.m_inMemory = State.m_model;
    }
    if (State.m_group && m_now >= Each.m_drainedAt) {
      Each.m_drainedAt = absl::InfiniteFuture();
      State.m_group->m_state = MemberState::Ready;
    }
    ++State.m_sequence;
    m_directory.announce(m_now, State);
  }

  void plan() {
    m_directory.expire(m_now, absl::Seconds(30));
    std::size_t InGroups = 0;
    for (const auto &[Epoch, G] : m_planner.groups())
      InGroups += G.m_phase <= GroupPhase::Serving ? G.m_members.size() : 0;
    m_demand.step(m_now, m_routes, {{service().m_id, InGroups}});
    m_changes.insert(m_changes.end(), m_demand.takeChanges().size(), m_now);
    GroupPlannerInput Input;
    Input.m_servers = &m_directory;
    Input.m_catalog = &m_routes;
    Input.m_trafficSeen = m_trafficSeen;
    Input.m_demand = m_measures ? &m_demand : nullptr;
    for (const GroupOrder &Order : m_planner.step(m_now, Input)) {
      m_orders.push_back(fmt::format("{} {} {} {}", nameOf(Order.m_kind),
                                     Order.m_target.str(), Order.m_epoch,
                                     Order.m_model));
      m_planner.onOrderResult(m_now, Order, execute(Order));
    }
    for (const GroupEvent &Event : m_planner.takeEvents())
      if (Event.m_phase == GroupPhase::Closing &&
          Event.m_reason.find("need") != std::string::npos) {
        ++m_moved[Event.m_model];
        m_lastMoved = m_now;
        m_firstMoved = std::min(m_firstMoved, m_now);
      }
  }

  OrderResult execute(const GroupOrder &Order) {
    Server &Each = m_servers.at(Order.m_target);
    ServerAnnouncement &State = Each.m_announcement;
    if (!Each.m_alive)
      return OrderResult::Unknown;
    if (Order.m_kind == GroupOrderKind::Stage) {
      Each.m_fetching = Order.m_model;
      Each.m_fetchSeconds =
          absl::ToDoubleSeconds(model(Order.m_model).m_loadTime);
      ++m_loads[Order.m_model];
      return OrderResult::Accepted;
    }
    if (Order.m_kind == GroupOrderKind::Join) {
      bool Staged = !State.m_stagedModels.empty() &&
                    State.m_stagedModels.front() == Order.m_model;
      bool Warm = Staged || Each.m_inMemory == Order.m_model;
      Each.m_readyAt = m_now + (Warm ? model(Order.m_model).m_warmTime
                                     : model(Order.m_model).m_loadTime);
      if (!Warm)
        ++m_loads[Order.m_model];
      if (!Warm)
        State.m_stagedModels = {Order.m_model};
      State.m_model = Order.m_model;
      auto Rank = std::find(Order.m_members.begin(), Order.m_members.end(),
                            Order.m_target);
      State.m_group = {Order.m_group, Order.m_epoch,
                       Rank - Order.m_members.begin(), MemberState::Joining};
      return OrderResult::Accepted;
    }
    if (!State.m_group || !State.m_group->isOf(Order.m_group, Order.m_epoch))
      return OrderResult::Conflict;
    if (Order.m_kind == GroupOrderKind::Open)
      State.m_group->m_state = MemberState::Open;
    if (Order.m_kind == GroupOrderKind::Close &&
        State.m_group->m_state == MemberState::Open) {
      State.m_group->m_state = MemberState::Closing;
      Each.m_drainedAt = m_now + DrainTime;
    }
    if (Order.m_kind == GroupOrderKind::Leave)
      for (auto &[Id, Member] : m_servers)
        if (Member.m_announcement.m_group &&
            Member.m_announcement.m_group->m_epoch == Order.m_epoch) {
          Member.m_announcement.m_group.reset();
          Member.m_announcement.m_model.clear();
        }
    return OrderResult::Accepted;
  }

  std::uint64_t m_fence = 0;
  bool m_trafficSeen = false;
  std::map<std::string, std::size_t> m_moved;
  std::map<std::string, std::size_t> m_loads;
  std::mt19937 m_random{1};
};

} // namespace turmericdyke
