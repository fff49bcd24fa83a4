#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "absl/types/span.h"

namespace turmericdyke::internal {

/// Renders a JSON list of objects as a table with one column for each of
/// `Fields`. Absent fields are shown as `-`, lists as comma-separated items.
std::string textTable(const nlohmann::json &Rows,
                      absl::Span<const std::string_view> Fields);

/// Renders a JSON value as one line of text: strings without quotes, other
/// values as JSON.
std::string cellText(const nlohmann::json &Value);

} // namespace turmericdyke::internal
