#pragma once

#include <functional>

#include "absl/random/random.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Peer/PeerCounters.h"
#include "turmericdyke/src/Peer/PeerTransportOptions.h"

namespace turmericdyke::internal {

inline constexpr std::string_view PeerPathPrefix = "/peer/v1/";

/// State shared by the connections of one transport. Everything except the
/// counters is used on its I/O thread only.
struct TransportContext {
  PeerTransportOptions m_options;
  PeerHandler m_handler;
  PeerCounters m_counters;
  absl::BitGen m_random;
  /// The node that must answer at an address; empty accepts any.
  std::function<NodeId(const std::string &)> m_expectedNode;
  /// Called when a peer has proved its identity.
  std::function<void(const PeerIdentity &)> m_onAuthenticated;
};

} // namespace turmericdyke::internal
