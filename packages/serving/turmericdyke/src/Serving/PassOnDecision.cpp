#include "turmericdyke/src/Serving/PassOnDecision.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Failed attempts of this node and refusals of others, together.
constexpr std::int64_t MaxEarlierAttempts = 4;
/// Two round trips between failure domains more than the shortest retry.
constexpr absl::Duration MinTimeLeft = absl::Milliseconds(40);

} // namespace
} // namespace internal

bool mayPassOn(const PassOnInput &Input) {
  return !Input.m_relayed &&
         Input.m_earlierAttempts < internal::MaxEarlierAttempts &&
         Input.m_timeLeft >= internal::MinTimeLeft;
}

} // namespace turmericdyke
