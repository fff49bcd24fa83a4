#include "turmericdyke/src/Requests/RetryPolicy.h"

#include <algorithm>

#include "absl/random/uniform_real_distribution.h"
#include "turmericdyke/src/Requests/RetryBudget.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr int FirstServerErrorStatus = 500;

bool mayRunAgain(const RetryRequest &Request, const AttemptResult &Result) {
  if (Result.m_forwarded || Result.m_end == AttemptEnd::CallerGone ||
      Result.m_end == AttemptEnd::Complete)
    return false;
  // A client error is the request's own fault and would repeat at each target.
  if (Result.m_end == AttemptEnd::TargetError &&
      Result.m_status < FirstServerErrorStatus)
    return false;
  return Request.m_repeatable || Result.outcome() == Outcome::NotRun;
}

/// Full jitter keeps callers that failed together from returning together.
absl::Duration backoff(const RetryOptions &Options, std::int64_t AttemptsMade,
                       absl::BitGenRef Random) {
  absl::Duration Most = Options.m_firstBackoff;
  for (std::int64_t Made = 1;
       Made < AttemptsMade && Most < Options.m_mostBackoff; ++Made)
    Most *= 2;
  Most = std::min(Most, Options.m_mostBackoff);
  return Most * absl::uniform_real_distribution<double>(0, 1)(Random);
}

} // namespace
} // namespace internal

std::optional<absl::Duration>
decideRetry(Instant Now, const RetryOptions &Options,
            const RetryRequest &Request, const AttemptResult &Result,
            RetryBudget &Budget, absl::BitGenRef Random) {
  if (!internal::mayRunAgain(Request, Result) ||
      Request.m_attemptsMade >= Options.m_maxAttempts)
    return std::nullopt;
  absl::Duration Pause =
      internal::backoff(Options, Request.m_attemptsMade, Random);
  if (Now + Pause >= Request.m_deadline)
    return std::nullopt;
  if (!Budget.tryTake())
    return std::nullopt;
  return Pause;
}

} // namespace turmericdyke
