#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace turmericdyke {

/// Shorter bytes from which `expand` makes `Bytes` again.
std::string compress(std::string_view Bytes);

/// Nothing if `Bytes` were not made by `compress`, are cut short, or would give
/// more than `MaxBytes`.
std::optional<std::string> expand(std::string_view Bytes, std::size_t MaxBytes);

} // namespace turmericdyke
