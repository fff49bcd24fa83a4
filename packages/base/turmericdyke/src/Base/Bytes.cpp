#include "turmericdyke/src/Base/Bytes.h"

#include <boost/crc.hpp>
#include <cassert>
#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include "absl/strings/escaping.h"

namespace turmericdyke {

namespace internal {
namespace {

const unsigned char *octets(std::string_view Bytes) {
  return reinterpret_cast<const unsigned char *>(Bytes.data());
}

unsigned char *octets(std::string &Bytes) {
  return reinterpret_cast<unsigned char *>(Bytes.data());
}

} // namespace
} // namespace internal

std::string toHex(std::string_view Bytes) {
  return absl::BytesToHexString({Bytes.data(), Bytes.size()});
}

std::uint32_t crc32c(std::string_view Bytes) {
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> Crc;
  Crc.process_bytes(Bytes.data(), Bytes.size());
  return Crc.checksum();
}

std::string sha256(std::string_view Bytes) {
  std::string Digest(SHA256_DIGEST_LENGTH, '\0');
  SHA256(internal::octets(Bytes), Bytes.size(), internal::octets(Digest));
  return Digest;
}

std::string hmacSha256(std::string_view Key, std::string_view Bytes) {
  std::string Digest(SHA256_DIGEST_LENGTH, '\0');
  unsigned Length = 0;
  const unsigned char *Done = HMAC(
      EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
      internal::octets(Bytes), Bytes.size(), internal::octets(Digest), &Length);
  assert(Done != nullptr && "HMAC-SHA-256 must be available");
  (void)Done;
  return Digest;
}

std::string randomBytes(std::size_t Count) {
  std::string Bytes(Count, '\0');
  int Done = RAND_bytes(internal::octets(Bytes), static_cast<int>(Count));
  assert(Done == 1 && "the system's random generator must work");
  (void)Done;
  return Bytes;
}

bool equalConstantTime(std::string_view A, std::string_view B) {
  return A.size() == B.size() &&
         CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

} // namespace turmericdyke
