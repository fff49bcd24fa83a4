#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

class RouteTable;
struct CallerRequest;
struct HttpRequest;
struct Route;

/// What an attempt sends. The references must outlive the call that receives
/// it.
struct AttemptRequest {
  const HttpRequest &m_request;
  const CallerRequest &m_caller;
  const RouteTable &m_routes;
  const Route &m_route;
  ServiceId m_service = {};
  CustomerId m_customer = {};
  std::int64_t m_priority = 0;
  Instant m_deadline = {};
  /// Identifier of the last event that earlier attempts delivered to the
  /// caller.
  std::optional<std::string> m_resumeAfter = std::nullopt;
  /// Targets that the request may be sent to, this attempt included.
  std::int64_t m_attemptsLeft = 1;
};

} // namespace turmericdyke
