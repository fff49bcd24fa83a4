#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace turmericdyke {

/// Lower-case hexadecimal text of `Bytes`.
std::string toHex(std::string_view Bytes);

/// CRC-32C (Castagnoli) of `Bytes`.
std::uint32_t crc32c(std::string_view Bytes);

/// SHA-256 of `Bytes`, 32 bytes.
std::string sha256(std::string_view Bytes);

/// HMAC-SHA-256 of `Bytes` under `Key`, 32 bytes.
std::string hmacSha256(std::string_view Key, std::string_view Bytes);

/// `Count` bytes from the system's cryptographic random generator. Only I/O
/// code calls this.
std::string randomBytes(std::size_t Count);

/// Compares in time that depends only on the lengths.
bool equalConstantTime(std::string_view A, std::string_view B);

} // namespace turmericdyke
