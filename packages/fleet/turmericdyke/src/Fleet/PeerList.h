#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "turmericdyke/src/Fleet/EntryPeer.h"

namespace turmericdyke {

/// Peers that a message may hold. A receiver refuses a longer list, and the
/// message with it.
inline constexpr std::size_t MaxListedPeers = 16;
/// The same between coordinators, which choose from the list.
inline constexpr std::size_t MaxExchangedPeers = 1024;

/// The entry nodes that one entry node may pass requests on to, or those that
/// one coordinator tells another one.
struct PeerList {
  /// A hash of the list; 0 if it is empty.
  std::uint64_t m_version = 0;
  std::vector<EntryPeer> m_peers;
};

} // namespace turmericdyke
