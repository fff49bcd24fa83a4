#include "turmericdyke/src/Coordinator/CoordinatorNode.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "turmericdyke/src/Base/LogLine.h"

namespace turmericdyke {

namespace internal {
namespace {

/// "model:number" of each model, separated by commas.
std::string perModel(absl::Span<const ModelNeed> Models,
                     double ModelNeed::*Value) {
  return absl::StrJoin(
      Models, ",", [Value](std::string *Out, const ModelNeed &Need) {
        absl::StrAppend(Out, Need.m_model, ":", absl::SixDigits(Need.*Value));
      });
}

} // namespace
} // namespace internal

std::map<ServiceId, std::size_t> CoordinatorNode::serversInGroups() const {
  std::map<ServiceId, std::size_t> Servers;
  for (const auto &[Epoch, Group] : m_planner.groups())
    if (Group.m_phase <= GroupPhase::Serving)
      Servers[Group.m_service] += Group.m_members.size();
  return Servers;
}

void CoordinatorNode::updateDemand(Instant Now) {
  m_demand.step(Now, m_catalog, serversInGroups());
  for (const ShareChange &Change : m_demand.takeChanges()) {
    m_metrics.increment("turmericdyke_model_share_changes_total");
    LogLine(LogLevel::Info, "model_shares_changed")
        .field("service", Change.m_service)
        .field("declared", Change.m_declared)
        .field("spread", Change.m_spread)
        .field("shares",
               internal::perModel(Change.m_models, &ModelNeed::m_share))
        .field("shares_before",
               internal::perModel(Change.m_models, &ModelNeed::m_shareInForce))
        .field("servers_needed",
               internal::perModel(Change.m_models, &ModelNeed::m_servers))
        .field("requests_per_s",
               internal::perModel(Change.m_models,
                                  &ModelNeed::m_requestsPerSecond))
        .field("prompt_tokens_per_s",
               internal::perModel(Change.m_models,
                                  &ModelNeed::m_promptTokensPerSecond))
        .field("output_tokens_per_s",
               internal::perModel(Change.m_models,
                                  &ModelNeed::m_outputTokensPerSecond));
  }
  setDemandMetrics(true);
}

void CoordinatorNode::setDemandMetrics(bool Measured) {
  for (const ServiceEntry &Service : m_catalog.m_services) {
    if (!Service.m_engine)
      continue;
    std::map<std::string, double> Needed;
    std::map<std::string, double> Servers;
    for (const EngineModel &Model : Service.m_engine->m_models) {
      Needed[Model.m_name] = 0;
      Servers[Model.m_name] = 0;
    }
    if (Measured) {
      for (const ModelNeed &Need : m_demand.needs(Service.m_id))
        Needed[Need.m_model] = Need.m_servers;
      for (const auto &[Epoch, Group] : m_planner.groups())
        if (Group.m_service == Service.m_id &&
            Group.m_phase == GroupPhase::Serving)
          Servers[Group.m_model] += static_cast<double>(Group.m_members.size());
    }
    auto Set = [&](std::string_view Name,
                   const std::map<std::string, double> &Values) {
      for (const auto &[Model, Value] : Values)
        m_metrics.set(Name, Value,
                      {{"service", Service.m_id.str()}, {"model", Model}});
    };
    Set("turmericdyke_model_servers_needed", Needed);
    Set("turmericdyke_model_servers", Servers);
  }
}

} // namespace turmericdyke
