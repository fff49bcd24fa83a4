#pragma once

#include <string>
#include <string_view>

#include "turmericdyke/src/Peer/Handshake.h"

namespace turmericdyke {

/// The accepting side of the handshake. It answers one `hello` and accepts one
/// proof; any further message fails, so that a client cannot try several codes.
class ServerHandshake {
public:
  /// `Nonce` is 32 random bytes that must not be reused.
  ServerHandshake(PeerIdentity Own, std::string Secret, std::string Nonce);

  /// Handles the next handshake message: `hello`, then the proof. Returns the
  /// body of the reply.
  Result<std::string, PeerError> accept(std::string_view Bytes);

  bool succeeded() const { return m_stage == Stage::Succeeded; }

  /// The client's identity and the agreed version, after success.
  const PeerIdentity &remote() const { return m_remote; }
  std::uint64_t version() const { return m_version; }

private:
  enum class Stage { AwaitHello, AwaitProof, Succeeded, Failed };

  Result<std::string, PeerError> acceptHello(std::string_view Bytes);
  Result<std::string, PeerError> acceptProof(std::string_view Bytes);

  PeerIdentity m_own;
  std::string m_secret;
  std::string m_clientHello;
  std::string m_hello;
  Stage m_stage = Stage::AwaitHello;
  PeerIdentity m_remote;
  std::uint64_t m_version = 0;
};

} // namespace turmericdyke
