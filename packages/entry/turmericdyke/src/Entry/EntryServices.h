#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "absl/random/random.h"
#include "turmericdyke/src/Base/Metrics.h"
#include "turmericdyke/src/Catalog/RouteTable.h"
#include "turmericdyke/src/Entry/EntrySettings.h"
#include "turmericdyke/src/Feed/FeedFollower.h"
#include "turmericdyke/src/Http/HttpClientPool.h"
#include "turmericdyke/src/Loop/EventLoop.h"
#include "turmericdyke/src/Serving/Placement.h"
#include "turmericdyke/src/Serving/RetryAfter.h"
#include "turmericdyke/src/Serving/RunTimes.h"
#include "turmericdyke/src/Serving/StallDetector.h"
#include "turmericdyke/src/Serving/TargetHealth.h"

namespace turmericdyke {

class EntryDialect;
class EntryExchange;

/// What the requests of an entry node share. Belongs to the loop's thread.
struct EntryServices {
  EntryServices(EventLoop &Loop, const EntryDialect &Dialect,
                const EntrySettings &Settings, FeedFollower &Feed,
                HttpClientPool &Pool)
      : m_loop(Loop), m_dialect(Dialect), m_settings(Settings), m_feed(Feed),
        m_pool(Pool) {}

  EventLoop &m_loop;
  const EntryDialect &m_dialect;
  const EntrySettings &m_settings;
  FeedFollower &m_feed;
  HttpClientPool &m_pool;
  /// Null before the first routing document.
  std::shared_ptr<const RouteTable> m_routes;
  TargetHealth m_health;
  StallDetector m_stalls;
  RunTimes m_runs;
  Instant m_started = monotonicNow();
  PlacementOptions m_placement;
  std::map<ServiceId, SharedRetryBudget> m_repeats;
  /// Requests of this node at each target.
  std::map<TargetId, std::int64_t> m_uses;
  /// Requests for models since the last report.
  std::int64_t m_modelRequests = 0;
  /// Exchanges with an attempt at a target, for the end of groups.
  std::map<TargetId, std::set<EntryExchange *>> m_attempts;
  MetricsRegistry m_metrics;
  absl::BitGen m_random;

  SharedRetryBudget &repeats(const ServiceId &Service);
};

} // namespace turmericdyke
