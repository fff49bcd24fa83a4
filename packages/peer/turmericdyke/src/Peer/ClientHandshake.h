#pragma once

#include <string>
#include <string_view>

#include "turmericdyke/src/Peer/Handshake.h"

namespace turmericdyke {

/// The connecting side of the handshake: sends `hello`, verifies that the reply
/// proves knowledge of the cluster secret, and then sends its own proof.
class ClientHandshake {
public:
  /// `Nonce` is 32 random bytes that must not be reused.
  ClientHandshake(PeerIdentity Own, std::string Secret, std::string Nonce);

  const std::string &hello() const { return m_hello; }

  /// Checks the server's reply and returns the proof to send. `Expected` is the
  /// node that must answer; empty accepts any.
  Result<std::string, PeerError> acceptReply(std::string_view Reply,
                                             const NodeId &Expected);

  /// The server's identity and the agreed version, after `acceptReply`.
  const PeerIdentity &remote() const { return m_remote; }
  std::uint64_t version() const { return m_version; }

private:
  PeerIdentity m_own;
  std::string m_secret;
  std::string m_hello;
  PeerIdentity m_remote;
  std::uint64_t m_version = 0;
};

} // namespace turmericdyke
