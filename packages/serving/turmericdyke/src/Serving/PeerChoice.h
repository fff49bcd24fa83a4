#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "absl/random/bit_gen_ref.h"
#include "absl/types/span.h"

namespace turmericdyke {

/// Another entry node that a request may be passed on to.
struct PeerOption {
  /// Requests that this node has passed on to it and that still run.
  std::int64_t m_ownRequests = 0;
  /// It runs in the failure domain of this node.
  bool m_sameDomain = false;
  /// It failed or refused a request lately; used only if nothing else is left.
  bool m_avoided = false;
};

/// Chooses the entry node that a request is passed on to, as an index into the
/// options; nothing if there is none. The load is spread by this node's own
/// counts, as several nodes are often cut off at once and each knows only what
/// it sends itself; a peer at its limit refuses, and is avoided for a while. A
/// peer in this failure domain is preferred while it has at most as much load
/// as the others and some more, because traffic between domains is slower and
/// costs more.
std::optional<std::size_t> choosePeer(absl::Span<const PeerOption> Options,
                                      absl::BitGenRef Random);

} // namespace turmericdyke
