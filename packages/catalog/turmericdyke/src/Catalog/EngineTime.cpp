#include "turmericdyke/src/Catalog/EngineTime.h"

#include <algorithm>

#include "turmericdyke/src/Catalog/Catalog.h"

namespace turmericdyke {

absl::Duration promptReadTime(const EngineCosts &Engine, double PromptTokens) {
  absl::Duration Read = absl::Seconds(
      PromptTokens / std::max(1.0, Engine.m_prefillTokensPerSecond));
  double Pairs = PromptTokens * PromptTokens / 2e6;
  return Read + Engine.m_prefillTimePerMillionPairs * Pairs;
}

absl::Duration decodeStepTime(const EngineCosts &Engine, std::int64_t Batch,
                              double ContextThousands) {
  return Engine.m_stepTime + (Engine.m_stepTimePerRequest +
                              Engine.m_stepTimePerContext * ContextThousands) *
                                 Batch;
}

absl::Duration replicaTimePerRequest(const EngineCosts &Engine,
                                     const EngineModel &Model,
                                     double PromptTokens, double OutputTokens) {
  double Prompt = std::max(0.0, PromptTokens);
  double Output = std::max(0.0, OutputTokens);
  std::int64_t Batch = std::max<std::int64_t>(1, Engine.m_slots);
  if (Engine.m_kvCapacityTokens > 0) {
    double Fit = static_cast<double>(Engine.m_kvCapacityTokens) /
                 std::max(1.0, Prompt + Output);
    if (Fit < static_cast<double>(Batch))
      Batch = std::max<std::int64_t>(1, static_cast<std::int64_t>(Fit));
  }
  std::int64_t Steps = std::max<std::int64_t>(1, Engine.m_stepsPerPass);
  std::int64_t Chunk = std::max<std::int64_t>(1, Engine.m_prefillChunk);
  absl::Duration Pass =
      decodeStepTime(Engine, Batch, (Prompt + Output) / 1000) * Steps;
  // A pass decodes for the whole batch, and reads one chunk in each step.
  double Passes = std::max(Prompt / static_cast<double>(Chunk * Steps),
                           Output / static_cast<double>(Batch * Steps));
  return (promptReadTime(Engine, Prompt) + Pass * Passes) * Model.m_pace;
}

} // namespace turmericdyke
