#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "turmericdyke/src/Coordinator/CoordinatorProtocol.h"

namespace turmericdyke {

/// Path of the product's own calls on evacuations, beside those of the
/// operators' protocol. GET lists the failure domains; POST with a JSON object
/// of `failure_domain` and `evacuated` starts or ends an evacuation.
inline constexpr std::string_view EvacuationsPath = "/v1/evacuations";

/// What a leader knows of one failure domain.
struct FailureDomainStatus {
  FailureDomainId m_failureDomain;
  bool m_evacuated = false;
  /// Servers that announce themselves, and targets among them: plain servers
  /// and heads of groups.
  std::size_t m_servers = 0;
  std::size_t m_targets = 0;
  /// Requests that run at these targets, as reported by entry nodes.
  std::int64_t m_requests = 0;
};

/// Reads a call of turmericctl; nothing if the request is none.
std::optional<ControlCall> readProductCall(const HttpRequest &Request);

/// The response to an order that is in force.
HttpResponse evacuationResponse(const EvacuationCall &Order);
HttpResponse
evacuationListResponse(const std::vector<FailureDomainStatus> &FailureDomains);

} // namespace turmericdyke
