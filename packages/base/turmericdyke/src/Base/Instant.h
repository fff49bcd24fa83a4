#pragma once

#include "absl/time/time.h"

namespace turmericdyke {

/// A reading of this process's monotonic clock. The epoch is arbitrary, so
/// instants of two hosts must not be compared.
using Instant = absl::Time;

/// Reads the monotonic clock. It includes the time during which the host was
/// suspended, so that a lease also expires during suspension. Only I/O code
/// calls this; decision logic receives the time as a parameter.
Instant monotonicNow();

} // namespace turmericdyke
