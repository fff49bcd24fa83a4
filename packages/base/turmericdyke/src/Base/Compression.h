#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace turmericdyke {

/// Compresses `Bytes` with zlib; `decompress` is the inverse.
std::string compress(std::string_view Bytes);

/// Decompresses the output of `compress`; nullopt if `Bytes` are malformed or
/// truncated, or if the result would exceed `MaxBytes`.
std::optional<std::string> decompress(std::string_view Bytes,
                                      std::size_t MaxBytes);

} // namespace turmericdyke
