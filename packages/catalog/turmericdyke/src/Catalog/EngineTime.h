#pragma once

#include <cstdint>

#include "absl/time/time.h"

namespace turmericdyke {

struct EngineCosts;
struct EngineModel;

/// Times at the published costs of an engine and a pace of 1, unless stated
/// otherwise.

/// Time to read a prompt, without the decode steps that run meanwhile.
absl::Duration promptReadTime(const EngineCosts &Engine, double PromptTokens);

/// Time of one decode step of a batch whose requests have a context of
/// `ContextThousands` thousand tokens each.
absl::Duration decodeStepTime(const EngineCosts &Engine, std::int64_t Batch,
                              double ContextThousands);

/// The time for which a request of this size occupies a replica of the model,
/// at the model's pace: a replica with a full batch completes one such request
/// in this time. Passes are shared evenly by the requests of the batch, so this
/// is a lower bound of what replicas that must meet an objective need.
absl::Duration replicaTimePerRequest(const EngineCosts &Engine,
                                     const EngineModel &Model,
                                     double PromptTokens, double OutputTokens);

} // namespace turmericdyke
