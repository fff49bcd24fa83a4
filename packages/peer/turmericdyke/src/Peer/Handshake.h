#pragma once

#include <string>
#include <string_view>

#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Peer/PeerError.h"
#include "turmericdyke/src/Peer/PeerIdentity.h"

namespace turmericdyke::internal {

inline constexpr std::size_t NonceBytes = 32;

/// The part of a handshake that both sides send: identity and nonce.
struct HelloPart {
  PeerIdentity m_identity;
  std::string m_nonce;
};

std::string encodeHello(const HelloPart &Part);
Result<HelloPart, PeerError> decodeHello(std::string_view Bytes);

/// The newest version that both sides support; an error if the version ranges
/// do not overlap.
Result<std::uint64_t, PeerError> negotiateVersion(const PeerIdentity &Own,
                                                  const PeerIdentity &Other);

/// HMAC over the role of the sender and both hello parts as sent. The role
/// protects against reflected codes, the nonces in the hello parts against
/// replayed ones.
std::string handshakeCode(std::string_view Secret, std::string_view Role,
                          std::string_view ClientHello,
                          std::string_view ServerHello);

inline constexpr std::string_view ClientRole = "turmericdyke client";
inline constexpr std::string_view ServerRole = "turmericdyke server";

} // namespace turmericdyke::internal
