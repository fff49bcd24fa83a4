#include "turmericdyke/src/Peer/Handshake.h"

#include <algorithm>

#include <fmt/format.h>

#include "turmericdyke/src/Base/Bytes.h"
#include "turmericdyke/src/Fleet/JsonReader.h"
#include "turmericdyke/src/Peer/Cbor.h"

namespace turmericdyke::internal {

std::string encodeHello(const HelloPart &Part) {
  const PeerIdentity &Identity = Part.m_identity;
  return toCbor({{"version", Identity.m_version},
                 {"least_version", Identity.m_minVersion},
                 {"node", Identity.m_node.str()},
                 {"incarnation", Identity.m_incarnation},
                 {"address", Identity.m_address},
                 {"nonce", bytesValue(Part.m_nonce)}});
}

Result<HelloPart, PeerError> decodeHello(std::string_view Bytes) {
  Result<nlohmann::json, PeerError> Value = fromCbor(Bytes);
  if (!Value)
    return failure(Value.error());
  HelloPart Read;
  PeerIdentity &Identity = Read.m_identity;
  JsonReader Reader(Value.value());
  Reader.number("version", Identity.m_version)
      .number("least_version", Identity.m_minVersion)
      .id("node", Identity.m_node, true)
      .number("incarnation", Identity.m_incarnation)
      .text("address", Identity.m_address, true);
  std::optional<std::string> Nonce =
      bytesField(Value.value(), "nonce", NonceBytes);
  if (!Nonce || Nonce->size() != NonceBytes)
    Reader.fail("nonce", "is not 32 bytes");
  if (Reader.error())
    return failure(PeerError{PeerErrorCode::Malformed,
                             fmt::format("{} {}", Reader.error()->m_field,
                                         Reader.error()->m_message)});
  Read.m_nonce = std::move(*Nonce);
  return Read;
}

Result<std::uint64_t, PeerError> negotiateVersion(const PeerIdentity &Own,
                                                  const PeerIdentity &Other) {
  std::uint64_t Agreed = std::min(Own.m_version, Other.m_version);
  if (Agreed >= std::max(Own.m_minVersion, Other.m_minVersion))
    return Agreed;
  return failure(PeerError{
      PeerErrorCode::VersionMismatch,
      fmt::format("no common version: {} to {} here, {} to {} at the peer",
                  Own.m_minVersion, Own.m_version, Other.m_minVersion,
                  Other.m_version)});
}

std::string handshakeCode(std::string_view Secret, std::string_view Role,
                          std::string_view ClientHello,
                          std::string_view ServerHello) {
  // Hashes of fixed length make the boundaries of the parts unambiguous.
  return hmacSha256(Secret, fmt::format("{}{}{}", Role, sha256(ClientHello),
                                        sha256(ServerHello)));
}

} // namespace turmericdyke::internal
