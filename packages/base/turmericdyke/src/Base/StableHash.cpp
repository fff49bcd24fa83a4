#include "turmericdyke/src/Base/StableHash.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr std::uint64_t FnvOffset = 0xcbf29ce484222325;
constexpr std::uint64_t FnvPrime = 0x100000001b3;

} // namespace
} // namespace internal

std::uint64_t stableHash(std::initializer_list<std::string_view> Texts) {
  std::uint64_t Hash = internal::FnvOffset;
  for (std::string_view Text : Texts)
    for (char Byte : Text)
      Hash = (Hash ^ static_cast<unsigned char>(Byte)) * internal::FnvPrime;
  // FNV mixes the last bytes into the low bits only.
  Hash ^= Hash >> 32;
  Hash *= 0xd6e8feb86659fd93;
  return Hash ^ (Hash >> 32);
}

} // namespace turmericdyke
