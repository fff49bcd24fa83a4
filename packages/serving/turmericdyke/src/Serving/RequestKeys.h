#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/types/span.h"
#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Fleet/CrashReport.h"

namespace turmericdyke {

/// What identifies a request that its caller sends again.
struct RequestContent {
  CustomerId m_customer;
  std::string_view m_method;
  /// Path and query.
  std::string_view m_target;
  std::string_view m_model;
  std::string_view m_body;
  /// Parts of the prompt; the last one belongs to this request.
  absl::Span<const std::string> m_promptParts;
};

/// Returns what may make this request crash its targets: the parts of its
/// prompt that it shares with other requests, in order, then the exact request.
std::vector<SuspectKey> requestKeys(const RequestContent &Content);

} // namespace turmericdyke
