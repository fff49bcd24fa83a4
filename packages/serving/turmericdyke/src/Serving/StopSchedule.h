#pragma once

#include "turmericdyke/src/Base/Instant.h"

namespace turmericdyke {

/// What a node does at a moment of its planned stop, in order.
enum class StopPhase {
  /// No stop was requested.
  Serving,
  /// The node says that it is not ready and still takes connections.
  Leaving,
  /// New connections are refused; requests that are running go on.
  Closing,
  /// What still runs is ended, and responses are sent to the last byte.
  Ending,
  /// The process exits.
  Over
};

/// What is known of a request before an attempt at a target.
struct StopRequest {
  /// The earlier of the caller's deadline and the route's timeout.
  Instant m_deadline = absl::InfiniteFuture();
  /// The request may run more than once.
  bool m_repeatable = false;
  /// How long such a request runs at a target; zero if that is unknown.
  absl::Duration m_runTime = absl::ZeroDuration();
};

/// Decides what a node still does between the request to stop and the end of
/// the grace, after which the process is killed. An attempt is begun only if it
/// can be expected to end in time, because a request that is refused has not
/// run, and its caller tries another node at once.
class StopSchedule {
public:
  /// Starts the stop. Further calls have no effect.
  void begin(Instant Now, absl::Duration Grace);
  bool hasBegun() const { return m_began != absl::InfiniteFuture(); }
  StopPhase phase(Instant Now) const;
  /// Whether an attempt may be begun, be it the first one or a retry.
  bool mayBegin(Instant Now, const StopRequest &Request) const;

private:
  Instant m_began = absl::InfiniteFuture();
  Instant m_closing = absl::InfiniteFuture();
  Instant m_ending = absl::InfiniteFuture();
  Instant m_over = absl::InfiniteFuture();
};

} // namespace turmericdyke
