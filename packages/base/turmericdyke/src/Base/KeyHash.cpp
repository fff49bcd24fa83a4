#include "turmericdyke/src/Base/KeyHash.h"

#include <algorithm>
#include <vector>

#include <fmt/format.h>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_split.h"
#include "turmericdyke/src/Base/Bytes.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr std::size_t DigestBytes = 32;

std::optional<std::string> fromHex(std::string_view Text) {
  bool AllHex = std::all_of(Text.begin(), Text.end(), [](char C) {
    return absl::ascii_isxdigit(static_cast<unsigned char>(C));
  });
  if (!AllHex || Text.size() % 2 != 0)
    return std::nullopt;
  return absl::HexStringToBytes({Text.data(), Text.size()});
}

std::string saltedDigest(std::string_view Key, std::string_view Salt) {
  return sha256(fmt::format("{}{}", Salt, Key));
}

} // namespace
} // namespace internal

KeyHash::KeyHash(std::string Salt, std::string Digest)
    : m_salt(std::move(Salt)), m_digest(std::move(Digest)) {}

KeyHash KeyHash::make(std::string_view Key, std::string_view Salt) {
  return {std::string(Salt), internal::saltedDigest(Key, Salt)};
}

std::optional<KeyHash> KeyHash::parse(std::string_view Text) {
  std::vector<std::string> Parts =
      absl::StrSplit(absl::string_view(Text.data(), Text.size()), ':');
  if (Parts.size() != 3 || Parts[0] != "sha256")
    return std::nullopt;
  std::optional<std::string> Salt = internal::fromHex(Parts[1]);
  std::optional<std::string> Digest = internal::fromHex(Parts[2]);
  if (!Salt || !Digest || Digest->size() != internal::DigestBytes)
    return std::nullopt;
  return KeyHash(std::move(*Salt), std::move(*Digest));
}

bool KeyHash::matches(std::string_view Key) const {
  return equalConstantTime(internal::saltedDigest(Key, m_salt), m_digest);
}

std::string KeyHash::text() const {
  return fmt::format("sha256:{}:{}", toHex(m_salt), toHex(m_digest));
}

} // namespace turmericdyke
