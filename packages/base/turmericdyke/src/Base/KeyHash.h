#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace turmericdyke {

/// A salted hash of a bearer key, written `sha256:SALT_HEX:DIGEST_HEX`. Keys
/// are random tokens of high entropy, so one SHA-256 over salt and key
/// suffices; a password hash would cost milliseconds per request.
class KeyHash {
public:
  /// Hashes `Key` with `Salt` (any bytes, 16 random ones by convention).
  static KeyHash make(std::string_view Key, std::string_view Salt);

  /// Parses the text form; nullopt if it is malformed.
  static std::optional<KeyHash> parse(std::string_view Text);

  /// Whether `Key` is the hashed key. The time taken depends only on the length
  /// of `Key`.
  bool matches(std::string_view Key) const;

  std::string text() const;

private:
  KeyHash(std::string Salt, std::string Digest);

  std::string m_salt;
  std::string m_digest;
};

} // namespace turmericdyke
