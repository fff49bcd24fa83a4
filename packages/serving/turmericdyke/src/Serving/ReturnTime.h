#pragma once

#include <string_view>

#include "absl/random/bit_gen_ref.h"
#include "turmericdyke/src/Base/Instant.h"

namespace turmericdyke {

/// Why a request that has not run is refused.
enum class ReturnCause {
  /// The node does not know which routes and keys are in force.
  NotInformed,
  /// No target serves the model now.
  NoTarget,
  /// Every target has all that it can take.
  Full,
  /// The attempts ended before they ran.
  AttemptsFailed
};

/// What decides when a refused caller should come back.
struct ReturnFacts {
  ReturnCause m_cause = ReturnCause::Full;
  /// How long this node has run.
  absl::Duration m_upFor = absl::InfiniteDuration();
  /// Whether it has known what is in force since it started.
  bool m_everInformed = true;
  /// How long requests of this kind run at a target, a running mean.
  absl::Duration m_meanRun = absl::ZeroDuration();
};

/// When a refused caller should come back: when there will probably be room.
/// Callers come back once or twice only, so one that returns too early is lost.
/// Answers the load of a restart of everything, where all callers come at
/// once, and of a crest that lasts longer than a request. Times are spread, so
/// that the callers do not return at one moment.
absl::Duration returnTime(const ReturnFacts &Facts, absl::BitGenRef Random);

} // namespace turmericdyke
