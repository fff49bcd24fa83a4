#pragma once

#include <cstdint>
#include <string>

#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// What a node states about itself in `hello`.
struct PeerIdentity {
  NodeId m_node;
  /// Chosen once per start of the process.
  std::uint64_t m_incarnation = 0;
  /// IP:port where the node listens for peers.
  std::string m_address;
  /// Newest and oldest protocol version that the process supports. Two nodes
  /// use the older of their newest versions.
  std::uint64_t m_version = 1;
  std::uint64_t m_minVersion = 1;
};

} // namespace turmericdyke
