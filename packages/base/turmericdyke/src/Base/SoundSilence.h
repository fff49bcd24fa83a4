#pragma once

#include "absl/time/time.h"

namespace turmericdyke {

/// A sound server may send nothing for a second or so and then go on. Only
/// after this time is silence alone taken for a failure.
inline constexpr absl::Duration MaxSoundSilence = absl::Milliseconds(1500);

} // namespace turmericdyke
