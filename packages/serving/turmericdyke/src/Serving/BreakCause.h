#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include "absl/time/time.h"

namespace turmericdyke {

/// Why a connection ended before the response to its request began.
enum class BreakCause {
  /// The peer had closed a kept connection before the request arrived. Says
  /// nothing about the peer's health.
  ClosedBefore,
  /// The request did not reach the peer whole: the path or the host failed, or
  /// the peer refuses connections. The request did not run.
  Undelivered,
  /// The peer's kernel had the whole request on a kept connection: the peer
  /// crashed at once, or it closed the idle connection without having read it.
  Ambiguous,
  /// The peer had the whole request, and may have begun to run it.
  Delivered
};

std::string_view nameOf(BreakCause Value);

/// Input of `decideBreakCause`.
struct BreakEvidence {
  /// The connection had carried an earlier call.
  bool m_keptConnection = false;
  /// The socket took the whole request.
  bool m_sentWhole = false;
  /// Bytes that the peer's kernel had not acknowledged; nothing if unknown.
  std::optional<std::size_t> m_unacknowledged;
  /// The connection was reset, not closed in order. The system resets the
  /// connections of a process that ends or closes them with bytes unread.
  bool m_reset = false;
  /// Since the last byte of the request was sent.
  absl::Duration m_sinceSent = absl::ZeroDuration();
};

/// Decides from what the socket shows. An acknowledged request has reached the
/// peer's kernel while its process still held the connection: a closed socket
/// answers with a reset and acknowledges nothing. An orderly close later than a
/// round trip shows that the process had read it; a reset does not, as a slow
/// peer may close an idle connection long after the request arrived. Where the
/// system does not tell what was acknowledged, an end within a round trip
/// counts as `ClosedBefore`.
BreakCause decideBreakCause(const BreakEvidence &Evidence);

} // namespace turmericdyke
