#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "turmericdyke/Groups"

DEFINE_int32(servers, 760, "number of servers");
DEFINE_int32(domain, 19, "servers in a fabric domain");
DEFINE_int32(steps, 200, "planning steps that are timed");

using namespace turmericdyke;

namespace {

Catalog benchCatalog() {
  Catalog Value;
  Value.m_version = 1;
  ServiceEntry Service;
  Service.m_id = ServiceId("llm");
  Service.m_engine.emplace();
  Service.m_engine->m_loadsPerSecond = 5;
  Service.m_engine->m_maxConcurrentLoads = 7;
  for (auto [Name, Members] : {std::pair{"large", 8}, std::pair{"small", 4}}) {
    EngineModel Model;
    Model.m_name = Name;
    Model.m_members = static_cast<std::size_t>(Members);
    Model.m_share = 0.5;
    Model.m_loadTime = absl::Seconds(16);
    Service.m_engine->m_models.push_back(Model);
  }
  Value.m_services.push_back(Service);
  return Value;
}

/// Servers that carry out each order at once.
class PromptServers {
public:
  explicit PromptServers(std::size_t Count) : m_servers(Count) {
    for (std::size_t At = 0; At < Count; ++At) {
      ServerAnnouncement &Value = m_servers[At];
      Value.m_id = TargetId(fmt::format("i-{:08x}", At * 2654435761U));
      Value.m_service = ServiceId("llm");
      Value.m_address =
          fmt::format("10.{}.{}.{}:8080", At % 5, At / 250, At % 250);
      Value.m_fabricDomain = FabricDomainId(
          fmt::format("d{}", At / static_cast<std::size_t>(FLAGS_domain)));
      Value.m_startMillis = 1;
      Value.m_slots = 14;
      m_index[Value.m_id] = At;
    }
  }

  void announceAll(Instant Now, ServerDirectory &Directory) {
    for (ServerAnnouncement &Value : m_servers) {
      ++Value.m_sequence;
      Directory.announce(Now, Value);
    }
  }

  void execute(const GroupOrder &Order) {
    ServerAnnouncement &Value = m_servers[m_index.at(Order.m_target)];
    if (Order.m_kind == GroupOrderKind::Join) {
      auto Rank = std::find(Order.m_members.begin(), Order.m_members.end(),
                            Order.m_target);
      Value.m_model = Order.m_model;
      Value.m_stagedModels = {Order.m_model};
      Value.m_group =
          GroupMembership{Order.m_group, Order.m_epoch,
                          Rank - Order.m_members.begin(), MemberState::Ready};
    } else if (Order.m_kind == GroupOrderKind::Open) {
      Value.m_group->m_state = MemberState::Open;
    } else if (Order.m_kind == GroupOrderKind::Stage) {
      Value.m_stagedModels = {Order.m_model};
    } else {
      Value.m_group.reset();
    }
  }

  /// Restarts a server without its state.
  void restart(std::size_t At) {
    ServerAnnouncement &Value = m_servers[At % m_servers.size()];
    Value.m_startMillis += 1000;
    Value.m_sequence = 0;
    Value.m_group.reset();
    Value.m_model.clear();
    Value.m_stagedModels.clear();
  }

private:
  std::vector<ServerAnnouncement> m_servers;
  std::map<TargetId, std::size_t> m_index;
};

} // namespace

/// Prints the mean processor time of a planning step of a settled fleet, and of
/// one in which a server restarts before each step.
int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  Catalog Routes = benchCatalog();
  PromptServers Servers(static_cast<std::size_t>(FLAGS_servers));
  ServerDirectory Directory;
  GroupPlanner Planner;
  Planner.lead(1);
  Instant Now = absl::UnixEpoch() + absl::Hours(1);
  auto Step = [&](bool Traffic) {
    Now += absl::Milliseconds(250);
    Servers.announceAll(Now, Directory);
    GroupPlannerInput Input;
    Input.m_servers = &Directory;
    Input.m_catalog = &Routes;
    Input.m_trafficSeen = Traffic;
    auto Started = std::chrono::steady_clock::now();
    std::vector<GroupOrder> Orders = Planner.step(Now, Input);
    auto Ended = std::chrono::steady_clock::now();
    for (const GroupOrder &Order : Orders)
      Servers.execute(Order);
    return std::chrono::duration<double, std::milli>(Ended - Started).count();
  };
  for (int At = 0; At < 100; ++At)
    Step(false);
  double Settled = 0;
  double Changing = 0;
  for (int At = 0; At < FLAGS_steps; ++At)
    Settled += Step(true);
  for (int At = 0; At < FLAGS_steps; ++At) {
    Servers.restart(static_cast<std::size_t>(At) * 37);
    Changing += Step(true);
  }
  fmt::print("servers={} groups={} settled_ms={:.3f} changing_ms={:.3f}\n",
             FLAGS_servers, Planner.groups().size(), Settled / FLAGS_steps,
             Changing / FLAGS_steps);
  return 0;
}
