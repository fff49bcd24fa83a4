#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/random/random.h"
#include "turmericdyke/src/Base/Metrics.h"
#include "turmericdyke/src/Catalog/RouteTable.h"
#include "turmericdyke/src/Entry/EntrySettings.h"
#include "turmericdyke/src/Feed/ArrivalCounts.h"
#include "turmericdyke/src/Feed/FeedFollower.h"
#include "turmericdyke/src/Feed/SuspectWatch.h"
#include "turmericdyke/src/Http/HttpClientPool.h"
#include "turmericdyke/src/Loop/EventLoop.h"
#include "turmericdyke/src/Serving/BufferBudget.h"
#include "turmericdyke/src/Serving/OutputSizes.h"
#include "turmericdyke/src/Serving/Placement.h"
#include "turmericdyke/src/Serving/RetryAfter.h"
#include "turmericdyke/src/Serving/RunTimes.h"
#include "turmericdyke/src/Serving/StallDetector.h"
#include "turmericdyke/src/Serving/StopSchedule.h"
#include "turmericdyke/src/Serving/TargetHealth.h"
#include "turmericdyke/src/Serving/TargetReach.h"
#include "turmericdyke/src/Serving/TargetSignals.h"

namespace turmericdyke {

class EntryProtocol;
class EntryExchange;
struct EntryPeer;
struct PeerOption;

/// State shared by the requests of an entry node. Used only on the loop's
/// thread.
struct EntryServices {
  EntryServices(EventLoop &Loop, const EntryProtocol &Protocol,
                const EntrySettings &Settings, FeedFollower &Feed,
                HttpClientPool &Pool)
      : m_loop(Loop), m_protocol(Protocol), m_settings(Settings), m_feed(Feed),
        m_pool(Pool) {}

  EventLoop &m_loop;
  const EntryProtocol &m_protocol;
  const EntrySettings &m_settings;
  FeedFollower &m_feed;
  HttpClientPool &m_pool;
  /// Null until the first routing document is in force.
  std::shared_ptr<const RouteTable> m_routes;
  TargetHealth m_health;
  StallDetector m_stalls;
  SuspectWatch m_suspects;
  TargetSignals m_signals;
  TargetReach m_reach;
  /// Called when the node is cut off from a service or reaches it again.
  std::function<void(const ServiceId &, TargetReach::Change)> m_onReachChange =
      [](const ServiceId &, TargetReach::Change) {};
  RunTimes m_runTimes;
  OutputSizes m_outputSizes;
  StopSchedule m_stop;
  Instant m_started = monotonicNow();
  /// What attempts hold back: an eighth of the memory. The sum may reach twice
  /// that, and responses are copied once while they are passed on.
  BufferBudget m_buffers{m_settings.m_maxMemory / 8};
  PlacementOptions m_placement;
  std::map<ServiceId, SharedRetryBudget> m_retryBudgets;
  /// Requests of this node at each target.
  std::map<TargetId, std::int64_t> m_uses;
  /// Requests for models since the last report to the leader.
  std::int64_t m_modelRequests = 0;
  /// The same by service and model.
  ArrivalCounts m_arrivals;
  /// The same of other entry nodes that requests are passed on to, named by
  /// their peer addresses.
  TargetHealth m_peerHealth;
  StallDetector m_peerStalls{peerStallOptions()};
  std::map<TargetId, std::int64_t> m_peerUses;
  /// Requests of other entry nodes that this one carries.
  std::size_t m_carried = 0;
  /// Exchanges with a running attempt, by target or entry node.
  std::map<TargetId, std::set<EntryExchange *>> m_attempts;
  MetricsRegistry m_metrics;
  absl::BitGen m_random;

  /// A node that carries a request moves its stream away from a silent target
  /// itself, which takes up to 1.2 s, and keeps it if nothing can take over.
  static StallDetectorOptions peerStallOptions() {
    StallDetectorOptions Options;
    Options.m_abandonAfter = absl::Milliseconds(1800);
    return Options;
  }

  /// Whether the routing document on this node is known to be the newest. No
  /// request may be decided by it otherwise.
  bool isInformed(Instant Now) const;
  SharedRetryBudget &retryBudget(const ServiceId &Service);
  PeerOption peerOption(Instant Now, const EntryPeer &Peer) const;
  std::vector<TargetId> targetsOf(const ServiceId &Service) const;
  /// Records whether a new connection to the target works.
  void recordConnection(const ServingTarget &Target, bool Works);
};

} // namespace turmericdyke
