#pragma once

#include <cstdint>
#include <string_view>

#include "turmericdyke/src/Base/Instant.h"

namespace turmericdyke {

enum class RouteKind;
class SharedRetryBudget;

/// How an attempt at a target ended.
enum class AttemptOutcome {
  /// The response is complete.
  Answered,
  /// The target ran the request and responded with an error.
  FailureAnswered,
  /// No connection could be established.
  NotSent,
  /// The target states that it did not run the request.
  StatedNotRun,
  /// The connection broke or the response is invalid; the request may have run.
  Lost,
  /// The group behind the target has ended; the request may have run.
  GroupEnded,
  /// Another entry node was asked to carry the request and sent it to no
  /// target.
  NotOffered
};

std::string_view nameOf(AttemptOutcome Outcome);

/// Whether the attempt may have reached a target.
bool wasOffered(AttemptOutcome Outcome);

/// What to do after an attempt.
enum class RetryDecision {
  /// Send the request to another target.
  Retry,
  /// Forward the target's response.
  Forward,
  /// Reject the request: it has not run and will not.
  RefuseNotRun,
  /// Fail the request: it may have run.
  FailMayHaveRun,
  /// Send the request by way of another entry node.
  PassOn
};

std::string_view nameOf(RetryDecision Value);

/// Whether a request that reached no target may go on by way of another entry
/// node.
enum class PassOnPath {
  /// No other node takes it, or this node's connections do not fail.
  None,
  /// New connections of this node fail, which may be its own fault.
  LastResort,
  /// This node is cut off from the targets.
  Preferred
};

/// Input of `decideRetry`.
struct AttemptSummary {
  AttemptOutcome m_outcome = AttemptOutcome::Lost;
  RouteKind m_kind{};
  bool m_resumable = false;
  /// Attempts so far, including this one.
  std::int64_t m_attempts = 1;
  std::int64_t m_maxAttempts = 1;
  /// An earlier attempt may have run.
  bool m_mayHaveRun = false;
  Instant m_deadline = absl::InfiniteFuture();
  PassOnPath m_passOn = PassOnPath::None;
  /// False if this node stops before another attempt would end.
  bool m_mayBegin = true;
};

/// Whether a request that may have run may be sent again.
bool mayRunAgain(RouteKind Kind, bool Resumable);

/// Decides what follows an attempt. A request that may have run is retried only
/// if its route kind allows it. Every retry takes from the budget, so that an
/// outage does not multiply the load. A request that was offered to no target
/// goes on by way of another entry node without that, as it adds no load.
RetryDecision decideRetry(Instant Now, const AttemptSummary &Summary,
                          SharedRetryBudget &Budget);

} // namespace turmericdyke
