#pragma once

#include <cstdint>
#include <string>

#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// Requests for one model of a service that arrived since the last report.
struct ModelArrivals {
  ServiceId m_service;
  /// Empty for requests that name a model which the service does not have.
  std::string m_model;
  std::int64_t m_requests = 0;
  /// As stated by the callers.
  std::int64_t m_promptTokens = 0;
  /// Expected length of the responses: the maximum that each caller states, and
  /// at most the usual length of the service's responses.
  std::int64_t m_outputTokens = 0;

  friend bool operator==(const ModelArrivals &,
                         const ModelArrivals &) = default;
};

} // namespace turmericdyke
