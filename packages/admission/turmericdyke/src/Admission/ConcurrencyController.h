#pragma once

#include <cstdint>
#include <memory>

#include "turmericdyke/src/Base/Instant.h"

namespace turmericdyke {

/// One look at a replica, once per load report.
struct ConcurrencySample {
  /// Mean time to first token since the last sample; zero when there was none.
  absl::Duration m_latency;
  std::int64_t m_running = 0;
  /// Requests that wait inside the engine.
  std::int64_t m_backlog = 0;
};

/// Bounds of the concurrency of one replica, in requests.
struct ConcurrencyBounds {
  std::int64_t m_least = 1;
  std::int64_t m_start = 8;
  std::int64_t m_most = 64;
};

/// Adapts the number of requests that one replica is given at a time.
class ConcurrencyController {
public:
  virtual ~ConcurrencyController() = default;
  virtual void observe(Instant Now, const ConcurrencySample &Sample) = 0;
  virtual std::int64_t limit() const = 0;
};

/// The controller that the bench favours: proportional control of the backlog.
std::unique_ptr<ConcurrencyController>
makeConcurrencyController(ConcurrencyBounds Bounds);

} // namespace turmericdyke
