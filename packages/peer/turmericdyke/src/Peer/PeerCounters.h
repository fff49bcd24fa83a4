#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string_view>

namespace turmericdyke {

class MetricsRegistry;

/// Events of a `PeerTransport`, each counted since its start.
enum class PeerCounter {
  /// Messages handed to a connection, and those of them that the other side has
  /// acknowledged.
  Sent,
  Delivered,
  Received,
  SentBytes,
  ReceivedBytes,
  /// Dropped from a full queue in favour of a later one of the same kind.
  DroppedOlder,
  /// Refused because the queue was full.
  RefusedQueueFull,
  /// Not acknowledged when their connection ended; they are not sent again.
  LostInFlight,
  /// Answered 404 by the other side.
  RejectedByPeer,
  /// Received and answered 404.
  UnknownKind,
  /// Requests other than `hello` on a connection without a handshake.
  RefusedBeforeHandshake,
  HandshakeFailures,
  Connections,
  ConnectionFailures,
  /// Connections replaced because no PING was acknowledged.
  ReplacedSilent,
  /// Messages or connections over a size limit.
  Oversized,
};

inline constexpr std::size_t PeerCounterCount = 16;

class PeerCounters {
public:
  void add(PeerCounter Counter, std::uint64_t By = 1) {
    m_values[static_cast<std::size_t>(Counter)].fetch_add(
        By, std::memory_order_relaxed);
  }
  std::uint64_t value(PeerCounter Counter) const {
    return m_values[static_cast<std::size_t>(Counter)].load(
        std::memory_order_relaxed);
  }
  /// Sets a gauge `turmericdyke_peer_NAME` for each counter.
  void writeTo(MetricsRegistry &Metrics) const;

private:
  std::array<std::atomic<std::uint64_t>, PeerCounterCount> m_values{};
};

std::string_view nameOf(PeerCounter Counter);

} // namespace turmericdyke
