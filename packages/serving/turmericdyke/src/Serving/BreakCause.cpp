#include "turmericdyke/src/Serving/BreakCause.h"

#include <cstdint>

namespace turmericdyke {

namespace internal {
namespace {

/// Longest time in which the reset of a closed socket arrives: a round trip
/// between failure domains and a turn of the event loop.
constexpr absl::Duration MaxRoundTrip = absl::Milliseconds(20);
/// A host that is up answers within this time, also when packets are sent
/// again. An unacknowledged request that ends later met a host that was dark.
constexpr absl::Duration MaxAnswerOfHost = absl::Milliseconds(500);

bool wasDelivered(const BreakEvidence &Evidence) {
  if (!Evidence.m_sentWhole)
    return false;
  return Evidence.m_unacknowledged ? *Evidence.m_unacknowledged == 0
                                   : Evidence.m_sinceSent > MaxRoundTrip;
}

} // namespace
} // namespace internal

std::string_view nameOf(BreakCause Value) {
  constexpr std::string_view Names[] = {"closed_before", "undelivered",
                                        "ambiguous", "delivered"};
  return Names[static_cast<std::size_t>(Value)];
}

BreakCause decideBreakCause(const BreakEvidence &Evidence) {
  if (internal::wasDelivered(Evidence)) {
    bool MaybeUnread =
        Evidence.m_reset || Evidence.m_sinceSent <= internal::MaxRoundTrip;
    return Evidence.m_keptConnection && MaybeUnread ? BreakCause::Ambiguous
                                                    : BreakCause::Delivered;
  }
  bool Prompt = Evidence.m_sinceSent <= internal::MaxAnswerOfHost;
  return Evidence.m_keptConnection && Prompt ? BreakCause::ClosedBefore
                                             : BreakCause::Undelivered;
}

} // namespace turmericdyke
