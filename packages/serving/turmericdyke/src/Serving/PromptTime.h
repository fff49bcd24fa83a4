#pragma once

#include <cstdint>

#include "absl/time/time.h"

namespace turmericdyke {

struct EngineCosts;
struct EngineModel;

/// Returns the time after which a sound replica has sent the first event for a
/// prompt of this length, at the published costs of its engine, with a full
/// batch and other prompts to read. A replica that takes longer is stalled or
/// far too slow. Zero for an empty prompt.
absl::Duration longestFirstEvent(const EngineCosts &Engine,
                                 const EngineModel &Model,
                                 std::int64_t PromptTokens);

/// Returns how long a sound replica with a full batch takes for a response of
/// `OutputTokens` tokens, at the published costs of its engine. Zero if both
/// numbers are.
absl::Duration expectedRunTime(const EngineCosts &Engine,
                               const EngineModel &Model,
                               std::int64_t PromptTokens,
                               std::int64_t OutputTokens);

} // namespace turmericdyke
