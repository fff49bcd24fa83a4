#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace turmericdyke {

/// A hash of the concatenated texts that is the same in all processes, which
/// absl::Hash is not. Not for secrets.
std::uint64_t stableHash(std::initializer_list<std::string_view> Texts);

} // namespace turmericdyke
