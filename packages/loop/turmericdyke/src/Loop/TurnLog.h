#pragma once

#include "absl/time/time.h"

namespace turmericdyke {

/// The callback of a node for `EventLoop::setAfterTurn`: logs an iteration that
/// kept the loop from its timers and connections for long, and writes the
/// buffered log lines.
void logTurn(absl::Duration Busy);

} // namespace turmericdyke
