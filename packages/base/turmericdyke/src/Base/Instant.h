#pragma once

#include "absl/time/time.h"

namespace turmericdyke {

/// A reading of this process's monotonic clock. The epoch is arbitrary, so
/// instants of two hosts are never compared.
using Instant = absl::Time;

/// Reads the monotonic clock. Only code at the edge calls this; decision code
/// receives the time.
Instant monotonicNow();

} // namespace turmericdyke
