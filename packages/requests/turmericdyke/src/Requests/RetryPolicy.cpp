#include "turmericdyke/src/Requests/RetryPolicy.h"

#include <algorithm>

#include "absl/random/uniform_real_distribution.h"
#include "turmericdyke/src/Requests/RetryBudget.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr int FirstServerErrorStatus = 500;

bool isRetryable(const RetryRequest &Request, const AttemptResult &Result) {
  if (Result.m_forwarded || Result.m_end == AttemptEnd::CallerGone ||
      Result.m_end == AttemptEnd::Complete)
    return false;
  // A client error is caused by the request and would recur at every target.
  if (Result.m_end == AttemptEnd::TargetError &&
      Result.m_status < FirstServerErrorStatus)
    return false;
  return Request.m_idempotent || Result.outcome() == Outcome::NotRun;
}

/// Exponential backoff with full jitter, so that callers that failed together
/// do not retry together.
absl::Duration backoff(const RetryOptions &Options, std::int64_t AttemptsMade,
                       absl::BitGenRef Random) {
  absl::Duration Max = Options.m_initialBackoff;
  for (std::int64_t Attempt = 1;
       Attempt < AttemptsMade && Max < Options.m_maxBackoff; ++Attempt)
    Max *= 2;
  Max = std::min(Max, Options.m_maxBackoff);
  return Max * absl::uniform_real_distribution<double>(0, 1)(Random);
}

} // namespace
} // namespace internal

std::optional<absl::Duration>
decideRetry(Instant Now, const RetryOptions &Options,
            const RetryRequest &Request, const AttemptResult &Result,
            RetryBudget &Budget, absl::BitGenRef Random) {
  if (!internal::isRetryable(Request, Result) ||
      Request.m_attemptsMade >= Options.m_maxAttempts)
    return std::nullopt;
  absl::Duration Backoff =
      internal::backoff(Options, Request.m_attemptsMade, Random);
  if (Now + Backoff >= Request.m_deadline)
    return std::nullopt;
  if (!Budget.tryTake())
    return std::nullopt;
  return Backoff;
}

} // namespace turmericdyke
