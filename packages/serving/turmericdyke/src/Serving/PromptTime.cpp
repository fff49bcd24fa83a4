#include "turmericdyke/src/Serving/PromptTime.h"

#include <algorithm>

#include "turmericdyke/src/Catalog/Catalog.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Other prompts are read at the same time, and groups that span fabric domains
/// are slower.
constexpr double LoadFactor = 3;

} // namespace
} // namespace internal

absl::Duration longestFirstEvent(const EngineCosts &Engine,
                                 const EngineModel &Model,
                                 std::int64_t PromptTokens) {
  if (PromptTokens <= 0)
    return absl::ZeroDuration();
  double Tokens = static_cast<double>(PromptTokens);
  std::int64_t Chunk = std::max<std::int64_t>(1, Engine.m_prefillChunk);
  std::int64_t Passes = (PromptTokens + Chunk - 1) / Chunk;
  absl::Duration Pass =
      (Engine.m_stepTime + Engine.m_stepTimePerRequest * Engine.m_slots) *
      std::max<std::int64_t>(1, Engine.m_stepsPerPass);
  absl::Duration Read =
      absl::Seconds(Tokens / std::max(1.0, Engine.m_prefillTokensPerSecond));
  double Pairs = Tokens * Tokens / 2e6;
  return (Read + Engine.m_prefillTimePerMillionPairs * Pairs + Pass * Passes) *
         (Model.m_pace * internal::LoadFactor);
}

} // namespace turmericdyke
