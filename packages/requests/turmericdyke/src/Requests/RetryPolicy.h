#pragma once

#include <cstdint>
#include <optional>

#include "absl/random/bit_gen_ref.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Requests/AttemptTypes.h"

namespace turmericdyke {

class RetryBudget;

struct RetryOptions {
  std::int64_t m_maxAttempts = 3;
  absl::Duration m_firstBackoff = absl::Milliseconds(20);
  absl::Duration m_mostBackoff = absl::Seconds(1);
};

/// Facts about the request that a retry decision needs.
struct RetryRequest {
  /// The operation may run more than once.
  bool m_repeatable = false;
  std::int64_t m_attemptsMade = 1;
  Instant m_deadline = absl::InfiniteFuture();
};

/// Decides whether a failed attempt is tried again, and after which pause.
/// Returns nothing when the failure is to be reported. Takes from the budget
/// only if it grants the retry.
std::optional<absl::Duration>
decideRetry(Instant Now, const RetryOptions &Options,
            const RetryRequest &Request, const AttemptResult &Result,
            RetryBudget &Budget, absl::BitGenRef Random);

} // namespace turmericdyke
