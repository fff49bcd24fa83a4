#pragma once

#include "absl/time/time.h"

namespace turmericdyke {

/// A reading of this process's monotonic clock. The epoch is arbitrary, so
/// instants of two hosts are never compared.
using Instant = absl::Time;

/// Reads the monotonic clock, which also counts the time during which the host
/// was suspended: a lease must not outlive it. Only code at the edge calls
/// this; decision code receives the time.
Instant monotonicNow();

} // namespace turmericdyke
