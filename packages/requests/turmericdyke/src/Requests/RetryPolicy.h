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
  absl::Duration m_initialBackoff = absl::Milliseconds(20);
  absl::Duration m_maxBackoff = absl::Seconds(1);
};

/// Properties of the request that a retry decision depends on.
struct RetryRequest {
  /// Whether the operation is idempotent, so that it may run more than once.
  bool m_idempotent = false;
  std::int64_t m_attemptsMade = 1;
  Instant m_deadline = absl::InfiniteFuture();
};

/// Decides whether to retry a failed attempt. Returns the backoff before the
/// retry, or nothing if the failure must be reported. Consumes retry budget
/// only if it allows the retry.
std::optional<absl::Duration>
decideRetry(Instant Now, const RetryOptions &Options,
            const RetryRequest &Request, const AttemptResult &Result,
            RetryBudget &Budget, absl::BitGenRef Random);

} // namespace turmericdyke
