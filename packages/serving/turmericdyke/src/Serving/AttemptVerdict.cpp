#include "turmericdyke/src/Serving/AttemptVerdict.h"

#include "turmericdyke/src/Catalog/Catalog.h"
#include "turmericdyke/src/Serving/RepeatAllowance.h"

namespace turmericdyke {

namespace internal {
namespace {

/// A repeat with less time than this left cannot be answered in time: two round
/// trips between failure domains and the shortest run.
constexpr absl::Duration LeastTimeLeft = absl::Milliseconds(30);

bool ran(AttemptEnding Ending) {
  return Ending != AttemptEnding::NotSent &&
         Ending != AttemptEnding::StatedNotRun;
}

bool repeatable(const AttemptFacts &Facts) {
  return Facts.m_kind == RouteKind::Idempotent ||
         (Facts.m_kind == RouteKind::Stream && Facts.m_resumable);
}

} // namespace
} // namespace internal

std::string_view nameOf(AttemptEnding Ending) {
  constexpr std::string_view Names[] = {"answered", "failure_answered",
                                        "not_sent", "stated_not_run",
                                        "lost",     "group_ended"};
  return Names[static_cast<std::size_t>(Ending)];
}

std::string_view nameOf(Verdict Value) {
  constexpr std::string_view Names[] = {"repeat", "hand_on", "refuse_not_run",
                                        "fail_may_have_run"};
  return Names[static_cast<std::size_t>(Value)];
}

Verdict decideAfter(Instant Now, const AttemptFacts &Facts,
                    RepeatAllowance &Allowance) {
  if (Facts.m_ending == AttemptEnding::Answered)
    return Verdict::HandOn;
  bool MayHaveRun = Facts.m_mayHaveRun || internal::ran(Facts.m_ending);
  bool Permitted = !MayHaveRun || internal::repeatable(Facts);
  bool TimeLeft = Facts.m_deadline - Now >= internal::LeastTimeLeft;
  if (Permitted && TimeLeft && Facts.m_attempts < Facts.m_maxAttempts &&
      Allowance.tryTake(Now))
    return Verdict::Repeat;
  if (Facts.m_ending == AttemptEnding::FailureAnswered)
    return Verdict::HandOn;
  return MayHaveRun ? Verdict::FailMayHaveRun : Verdict::RefuseNotRun;
}

} // namespace turmericdyke
