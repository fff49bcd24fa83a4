#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace turmericdyke {

/// Compares ASCII text without regard to case.
bool equalsIgnoreCase(std::string_view A, std::string_view B);

/// `Text` without leading and trailing white space.
std::string_view trimmed(std::string_view Text);

/// Splits `Text` at `Separator`, trims the parts and omits empty ones.
std::vector<std::string_view> splitList(std::string_view Text, char Separator);

/// Parses the whole of `Text` as a decimal integer; nullopt if it is not one or
/// is out of range.
std::optional<std::int64_t> parseInteger(std::string_view Text);

} // namespace turmericdyke
