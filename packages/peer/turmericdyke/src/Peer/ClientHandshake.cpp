#include "turmericdyke/src/Peer/ClientHandshake.h"

#include <cassert>

#include "turmericdyke/src/Base/Bytes.h"
#include "turmericdyke/src/Peer/Cbor.h"

namespace turmericdyke {

namespace internal {

constexpr std::size_t MaxHelloBytes = 2048;
constexpr std::size_t CodeBytes = 32;

} // namespace internal

ClientHandshake::ClientHandshake(PeerIdentity Own, std::string Secret,
                                 std::string Nonce)
    : m_own(std::move(Own)), m_secret(std::move(Secret)) {
  assert(!m_secret.empty() && "an empty secret authenticates nobody");
  assert(Nonce.size() == internal::NonceBytes && "nonces have 32 bytes");
  m_hello = internal::encodeHello({m_own, std::move(Nonce)});
}

Result<std::string, PeerError>
ClientHandshake::acceptReply(std::string_view Reply, const NodeId &Expected) {
  Result<nlohmann::json, PeerError> Value = internal::fromCbor(Reply);
  if (!Value)
    return failure(Value.error());
  auto Hello =
      internal::bytesField(Value.value(), "hello", internal::MaxHelloBytes);
  auto Code = internal::bytesField(Value.value(), "code", internal::CodeBytes);
  if (!Hello || !Code)
    return failure(PeerError{PeerErrorCode::Malformed, "incomplete reply"});
  std::string ExpectedCode =
      internal::handshakeCode(m_secret, internal::ServerRole, m_hello, *Hello);
  if (!equalConstantTime(ExpectedCode, *Code))
    return failure(PeerError{PeerErrorCode::NotAuthentic,
                             "the authentication code does not match"});
  Result<internal::HelloPart, PeerError> Part = internal::decodeHello(*Hello);
  if (!Part)
    return failure(Part.error());
  m_remote = std::move(Part.value().m_identity);
  if (m_remote.m_node == m_own.m_node)
    return failure(PeerError{PeerErrorCode::NotAuthentic,
                             "the server uses this node's own identifier"});
  if (!Expected.empty() && m_remote.m_node != Expected)
    return failure(
        PeerError{PeerErrorCode::NotAuthentic, "not the expected node"});
  Result<std::uint64_t, PeerError> Version =
      internal::negotiateVersion(m_own, m_remote);
  if (!Version)
    return failure(Version.error());
  m_version = Version.value();
  return internal::toCbor(
      {{"code", internal::bytesValue(internal::handshakeCode(
                    m_secret, internal::ClientRole, m_hello, *Hello))}});
}

} // namespace turmericdyke
