#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace turmericdyke {

/// Compares ASCII text without regard to case.
bool equalsIgnoreCase(std::string_view A, std::string_view B);

/// The text without white space at its ends.
std::string_view trimmed(std::string_view Text);

/// The parts between separators, trimmed; empty parts are left out.
std::vector<std::string_view> splitList(std::string_view Text, char Separator);

/// A decimal number that fills the whole text; nothing if it is none or does
/// not fit.
std::optional<std::int64_t> parseInteger(std::string_view Text);

} // namespace turmericdyke
