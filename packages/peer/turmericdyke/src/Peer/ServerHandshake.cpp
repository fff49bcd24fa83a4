#include "turmericdyke/src/Peer/ServerHandshake.h"

#include <cassert>

#include "turmericdyke/src/Base/Bytes.h"
#include "turmericdyke/src/Peer/Cbor.h"

namespace turmericdyke {

ServerHandshake::ServerHandshake(PeerIdentity Own, std::string Secret,
                                 std::string Nonce)
    : m_own(std::move(Own)), m_secret(std::move(Secret)) {
  assert(!m_secret.empty() && "an empty secret authenticates nobody");
  assert(Nonce.size() == internal::NonceBytes && "nonces have 32 bytes");
  m_hello = internal::encodeHello({m_own, std::move(Nonce)});
}

Result<std::string, PeerError> ServerHandshake::accept(std::string_view Bytes) {
  Stage Before = m_stage;
  m_stage = Stage::Failed;
  if (Before == Stage::AwaitHello)
    return acceptHello(Bytes);
  if (Before == Stage::AwaitProof)
    return acceptProof(Bytes);
  return failure(PeerError{PeerErrorCode::NotAuthentic,
                           "the handshake has already ended"});
}

Result<std::string, PeerError>
ServerHandshake::acceptHello(std::string_view Bytes) {
  Result<internal::HelloPart, PeerError> Part = internal::decodeHello(Bytes);
  if (!Part)
    return failure(Part.error());
  m_remote = std::move(Part.value().m_identity);
  if (m_remote.m_node == m_own.m_node)
    return failure(PeerError{PeerErrorCode::NotAuthentic,
                             "the client uses this node's own identifier"});
  Result<std::uint64_t, PeerError> Version =
      internal::negotiateVersion(m_own, m_remote);
  if (!Version)
    return failure(Version.error());
  m_version = Version.value();
  m_clientHello = std::string(Bytes);
  m_stage = Stage::AwaitProof;
  std::string Code = internal::handshakeCode(m_secret, internal::ServerRole,
                                             m_clientHello, m_hello);
  return internal::toCbor({{"hello", internal::bytesValue(m_hello)},
                           {"code", internal::bytesValue(Code)}});
}

Result<std::string, PeerError>
ServerHandshake::acceptProof(std::string_view Bytes) {
  Result<nlohmann::json, PeerError> Value = internal::fromCbor(Bytes);
  if (!Value)
    return failure(Value.error());
  std::string ExpectedCode = internal::handshakeCode(
      m_secret, internal::ClientRole, m_clientHello, m_hello);
  auto Code = internal::bytesField(Value.value(), "code", ExpectedCode.size());
  if (!Code || !equalConstantTime(ExpectedCode, *Code))
    return failure(PeerError{PeerErrorCode::NotAuthentic,
                             "the authentication code does not match"});
  m_stage = Stage::Succeeded;
  return std::string();
}

} // namespace turmericdyke
