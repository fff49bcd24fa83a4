#pragma once

#include "absl/time/time.h"

namespace turmericdyke {

struct AttemptRequest;

/// When a sound target has sent the first event of the response at the latest;
/// zero if the request is not for an engine.
absl::Duration firstEventTime(const AttemptRequest &Request);

} // namespace turmericdyke
