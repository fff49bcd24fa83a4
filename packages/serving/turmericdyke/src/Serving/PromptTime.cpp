#include "turmericdyke/src/Serving/PromptTime.h"

#include <algorithm>

#include "turmericdyke/src/Catalog/Catalog.h"
#include "turmericdyke/src/Catalog/EngineTime.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Other prompts are read at the same time, and groups that span fabric domains
/// are slower.
constexpr double LoadFactor = 3;

/// Time to read a prompt in a full batch, at a pace of 1.
absl::Duration readTime(const EngineCosts &Engine, std::int64_t PromptTokens) {
  std::int64_t Chunk = std::max<std::int64_t>(1, Engine.m_prefillChunk);
  std::int64_t Passes = (PromptTokens + Chunk - 1) / Chunk;
  absl::Duration Pass = decodeStepTime(Engine, Engine.m_slots, 0) *
                        std::max<std::int64_t>(1, Engine.m_stepsPerPass);
  return promptReadTime(Engine, static_cast<double>(PromptTokens)) +
         Pass * Passes;
}

} // namespace
} // namespace internal

absl::Duration longestFirstEvent(const EngineCosts &Engine,
                                 const EngineModel &Model,
                                 std::int64_t PromptTokens) {
  if (PromptTokens <= 0)
    return absl::ZeroDuration();
  return internal::readTime(Engine, PromptTokens) *
         (Model.m_pace * internal::LoadFactor);
}

absl::Duration expectedRunTime(const EngineCosts &Engine,
                               const EngineModel &Model,
                               std::int64_t PromptTokens,
                               std::int64_t OutputTokens) {
  std::int64_t Prompt = std::max<std::int64_t>(0, PromptTokens);
  std::int64_t Output = std::max<std::int64_t>(0, OutputTokens);
  double ContextThousands = static_cast<double>(Prompt + Output) / 1000;
  absl::Duration Step =
      decodeStepTime(Engine, Engine.m_slots, ContextThousands);
  return (internal::readTime(Engine, Prompt) + Step * Output) * Model.m_pace;
}

} // namespace turmericdyke
