#include "turmericdyke/src/Peer/PeerCounters.h"

#include <fmt/format.h>

#include "turmericdyke/src/Base/Metrics.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr std::string_view CounterNames[] = {"sent",
                                             "delivered",
                                             "received",
                                             "sent_bytes",
                                             "received_bytes",
                                             "dropped_older",
                                             "refused_queue_full",
                                             "lost_in_flight",
                                             "rejected_by_peer",
                                             "unknown_kind",
                                             "refused_before_handshake",
                                             "handshake_failures",
                                             "connections",
                                             "connection_failures",
                                             "replaced_silent",
                                             "oversized"};
static_assert(std::size(CounterNames) == PeerCounterCount);

} // namespace
} // namespace internal

std::string_view nameOf(PeerCounter Counter) {
  return internal::CounterNames[static_cast<std::size_t>(Counter)];
}

void PeerCounters::writeTo(MetricsRegistry &Metrics) const {
  for (std::size_t Index = 0; Index < PeerCounterCount; ++Index) {
    PeerCounter Counter = static_cast<PeerCounter>(Index);
    Metrics.set(fmt::format("turmericdyke_peer_{}", nameOf(Counter)),
                static_cast<double>(value(Counter)));
  }
}

} // namespace turmericdyke
