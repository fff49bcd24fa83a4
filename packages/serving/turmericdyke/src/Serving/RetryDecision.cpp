#include "turmericdyke/src/Serving/RetryDecision.h"

#include "turmericdyke/src/Catalog/Catalog.h"
#include "turmericdyke/src/Serving/SharedRetryBudget.h"

namespace turmericdyke {

namespace internal {
namespace {

/// A retry cannot finish in less time than this: two round trips between
/// failure domains and the shortest run.
constexpr absl::Duration MinTimeLeft = absl::Milliseconds(30);

bool mayHaveRun(AttemptOutcome Outcome) {
  return wasOffered(Outcome) && Outcome != AttemptOutcome::StatedNotRun;
}

} // namespace
} // namespace internal

std::string_view nameOf(AttemptOutcome Outcome) {
  constexpr std::string_view Names[] = {
      "answered", "failure_answered", "not_sent",   "stated_not_run",
      "lost",     "group_ended",      "not_offered"};
  return Names[static_cast<std::size_t>(Outcome)];
}

bool wasOffered(AttemptOutcome Outcome) {
  return Outcome != AttemptOutcome::NotSent &&
         Outcome != AttemptOutcome::NotOffered;
}

std::string_view nameOf(RetryDecision Value) {
  constexpr std::string_view Names[] = {"repeat", "hand_on", "refuse_not_run",
                                        "fail_may_have_run", "pass_on"};
  return Names[static_cast<std::size_t>(Value)];
}

bool mayRunAgain(RouteKind Kind, bool Resumable) {
  return Kind == RouteKind::Idempotent ||
         (Kind == RouteKind::Stream && Resumable);
}

RetryDecision decideRetry(Instant Now, const AttemptSummary &Summary,
                          SharedRetryBudget &Budget) {
  if (Summary.m_outcome == AttemptOutcome::Answered)
    return RetryDecision::Forward;
  bool MayHaveRun =
      Summary.m_mayHaveRun || internal::mayHaveRun(Summary.m_outcome);
  bool Permitted =
      Summary.m_mayBegin &&
      (!MayHaveRun || mayRunAgain(Summary.m_kind, Summary.m_resumable));
  bool TimeLeft = Summary.m_deadline - Now >= internal::MinTimeLeft;
  bool MayPassOn = Permitted && TimeLeft && !wasOffered(Summary.m_outcome);
  if (MayPassOn && Summary.m_passOn == PassOnPath::Preferred)
    return RetryDecision::PassOn;
  if (Permitted && TimeLeft && Summary.m_attempts < Summary.m_maxAttempts &&
      Budget.tryTake(Now))
    return RetryDecision::Retry;
  if (MayPassOn && Summary.m_passOn == PassOnPath::LastResort)
    return RetryDecision::PassOn;
  if (Summary.m_outcome == AttemptOutcome::FailureAnswered)
    return RetryDecision::Forward;
  return MayHaveRun ? RetryDecision::FailMayHaveRun
                    : RetryDecision::RefuseNotRun;
}

} // namespace turmericdyke
