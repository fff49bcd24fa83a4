#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "absl/types/span.h"

namespace turmericdyke::internal {

/// Renders a JSON list of objects as a table with one column for each of
/// `Fields`. Absent fields show as `-`, lists as their items with commas.
std::string textTable(const nlohmann::json &Rows,
                      absl::Span<const std::string_view> Fields);

/// A JSON value as one line of text: text without quotes, others as JSON.
std::string cellText(const nlohmann::json &Value);

} // namespace turmericdyke::internal
