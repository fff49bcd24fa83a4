#pragma once

#include <cstdint>
#include <string_view>

#include "turmericdyke/src/Base/Instant.h"

namespace turmericdyke {

enum class RouteKind;
class RepeatAllowance;

/// How an attempt at a target ended.
enum class AttemptEnding {
  /// The whole answer is here.
  Answered,
  /// The target answered with a failure of its own, after it had run the
  /// request.
  FailureAnswered,
  /// No connection came about.
  NotSent,
  /// The target states that it did not run the request.
  StatedNotRun,
  /// The connection ended, or the answer is none; the request may have run.
  Lost,
  /// The group behind the target has ended; the request may have run.
  GroupEnded
};

std::string_view nameOf(AttemptEnding Ending);

/// What to do after an attempt.
enum class Verdict {
  /// Send the request to another target.
  Repeat,
  /// Hand on what the target answered.
  HandOn,
  /// Refuse: the request has not run and will not.
  RefuseNotRun,
  /// Fail: the request may have run.
  FailMayHaveRun
};

std::string_view nameOf(Verdict Value);

/// What decides on a repeat.
struct AttemptFacts {
  AttemptEnding m_ending = AttemptEnding::Lost;
  RouteKind m_kind{};
  bool m_resumable = false;
  /// Attempts made, this one included.
  std::int64_t m_attempts = 1;
  std::int64_t m_maxAttempts = 1;
  /// An earlier attempt may have run.
  bool m_mayHaveRun = false;
  Instant m_deadline = absl::InfiniteFuture();
};

/// Decides what follows an attempt. A request that may have run is repeated
/// only if its kind allows it; every repeat takes from the allowance. Answers
/// the load of an outage: it must not multiply.
Verdict decideAfter(Instant Now, const AttemptFacts &Facts,
                    RepeatAllowance &Allowance);

} // namespace turmericdyke
