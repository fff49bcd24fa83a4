#include "turmericdyke/src/Coordinator/ProductCalls.h"

#include <string>
#include <utility>

#include <nlohmann/json.hpp>

namespace turmericdyke {

namespace internal {
namespace {

using Json = nlohmann::json;

HttpResponse jsonResponse(const Json &Value) {
  constexpr int NoIndent = -1;
  HttpResponse Response;
  Response.m_fields.add("Content-Type", "application/json");
  Response.m_body =
      Value.dump(NoIndent, ' ', false, Json::error_handler_t::replace);
  return Response;
}

ControlCall readOrder(std::string_view Body) {
  Json Value = Json::parse(Body.begin(), Body.end(), nullptr, false);
  bool Valid = Value.is_object() && Value.contains("failure_domain") &&
               Value["failure_domain"].is_string() &&
               Value.contains("evacuated") && Value["evacuated"].is_boolean();
  if (!Valid)
    return InvalidCall{400, "expected an object of failure_domain and "
                            "evacuated"};
  return EvacuationCall{
      FailureDomainId(Value["failure_domain"].get<std::string>()),
      Value["evacuated"].get<bool>()};
}

} // namespace
} // namespace internal

std::optional<ControlCall> readProductCall(const HttpRequest &Request) {
  if (Request.m_target != EvacuationsPath)
    return std::nullopt;
  if (Request.m_method == "GET")
    return ListEvacuationsCall{};
  if (Request.m_method == "POST")
    return internal::readOrder(Request.m_body);
  return InvalidCall{404, "unknown call"};
}

HttpResponse evacuationResponse(const EvacuationCall &Order) {
  return internal::jsonResponse(
      {{"result", "accepted"},
       {"failure_domain", Order.m_failureDomain.str()},
       {"evacuated", Order.m_evacuated}});
}

HttpResponse
evacuationListResponse(const std::vector<FailureDomainStatus> &FailureDomains) {
  internal::Json List = internal::Json::array();
  for (const FailureDomainStatus &Each : FailureDomains)
    List.push_back({{"failure_domain", Each.m_failureDomain.str()},
                    {"evacuated", Each.m_evacuated},
                    {"servers", Each.m_servers},
                    {"targets", Each.m_targets},
                    {"requests", Each.m_requests}});
  return internal::jsonResponse({{"failure_domains", std::move(List)}});
}

} // namespace turmericdyke
