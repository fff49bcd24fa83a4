#include <doctest/doctest.h>

#include <fmt/format.h>

#include "turmericdyke/Groups"

using namespace turmericdyke;

namespace {

const Instant Start = absl::UnixEpoch() + absl::Hours(1);

Catalog twoModels(std::size_t Large, std::size_t Small) {
  Catalog Value;
  ServiceEntry Service;
  Service.m_id = ServiceId("llm");
  Service.m_engine.emplace();
  Service.m_engine->m_loadsPerSecond = 5;
  Service.m_engine->m_maxConcurrentLoads = 7;
  for (auto [Name, Members] :
       {std::pair{"large", Large}, std::pair{"small", Small}}) {
    EngineModel Model;
    Model.m_name = Name;
    Model.m_members = Members;
    Model.m_share = 0.5;
    Model.m_loadTime = absl::Seconds(16);
    Service.m_engine->m_models.push_back(Model);
  }
  Value.m_services.push_back(Service);
  return Value;
}

/// Servers in groups after the first planning step of an empty fleet.
std::size_t serversInGroups(std::size_t Domains, std::size_t PerDomain,
                            const Catalog &Routes) {
  ServerDirectory Directory;
  for (std::size_t At = 0; At < Domains * PerDomain; ++At) {
    ServerAnnouncement Value;
    Value.m_id = TargetId(fmt::format("s{:03}", At));
    Value.m_service = ServiceId("llm");
    Value.m_address = fmt::format("10.0.0.{}:80", At);
    Value.m_fabricDomain = FabricDomainId(fmt::format("d{}", At / PerDomain));
    Value.m_startMillis = 1;
    Value.m_sequence = 1;
    Directory.announce(Start, Value);
  }
  GroupPlanner Planner;
  Planner.lead(1);
  GroupPlannerInput Input;
  Input.m_servers = &Directory;
  Input.m_catalog = &Routes;
  Planner.step(Start, Input);
  std::size_t Members = 0;
  for (const auto &[Epoch, Group] : Planner.groups())
    Members += Group.m_members.size();
  return Members;
}

} // namespace

// Guards against servers that no group can use: where each domain of 9 got one
// group of 4 and one of 3, a fifth of the fleet was idle. All but the spares (6
// in 100) and fewer than one small group a domain must serve.
TEST_CASE("groups of two sizes leave few servers of a domain idle") {
  CHECK(serversInGroups(6, 9, twoModels(4, 3)) >= 48);
  CHECK(serversInGroups(6, 10, twoModels(4, 2)) >= 54);
  CHECK(serversInGroups(6, 37, twoModels(16, 4)) >= 192);
}
