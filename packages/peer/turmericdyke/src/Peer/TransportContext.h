#pragma once

#include <functional>

#include "absl/random/random.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Peer/PeerCounters.h"
#include "turmericdyke/src/Peer/PeerTransportOptions.h"

namespace turmericdyke::internal {

inline constexpr std::string_view PeerPathPrefix = "/peer/v1/";

/// What the connections of one transport share, all on its I/O thread but the
/// counters.
struct TransportContext {
  PeerTransportOptions m_options;
  PeerHandler m_handler;
  PeerCounters m_counters;
  absl::BitGen m_random;
  /// The node that should answer at an address; empty if any may.
  std::function<NodeId(const std::string &)> m_expectedNode;
  /// Called when a peer has proved its identity.
  std::function<void(const PeerIdentity &)> m_onAuthenticated;
};

} // namespace turmericdyke::internal
