#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Feed/ArrivalCounts.h"
#include "turmericdyke/src/Feed/LimitRecords.h"
#include "turmericdyke/src/Feed/ProgressByKey.h"
#include "turmericdyke/src/Fleet/FeedMessage.h"

namespace turmericdyke {

struct FeedContext;
class FeedPublisher;

struct FeedRelayOptions {
  /// Interval between requests to the leader.
  absl::Duration m_interval = absl::Milliseconds(50);
  /// Knowledge older than this is not passed on.
  absl::Duration m_maxAge = absl::Milliseconds(700);
};

/// The relaying side of a coordinator that does not lead: follows the leader's
/// feed, collects what entry nodes report for the leader, and states how old
/// its knowledge is. A response of the leader proves that at the time of the
/// request no newer routing document was in force. Passing the age on keeps an
/// entry node's lease as short as if it had asked the leader itself.
class FeedRelay {
public:
  explicit FeedRelay(NodeId Self, FeedRelayOptions Options = {});

  /// Drops all state, as this coordinator leads now or follows another leader.
  void reset();

  Instant nextRequest() const { return m_nextRequest; }
  void requestNow(Instant Now);
  /// The next request to the leader, with the reports collected since the last
  /// one.
  FeedRequest request(Instant Now, const FeedPublisher &Publisher);
  /// Collects the reports of an entry node.
  void collect(Instant Now, const FeedRequest &Request);
  /// Applies an update of the leader. Returns whether targets, suspect lists
  /// or limits changed.
  bool receive(Instant Now, const FeedUpdate &Update, FeedPublisher &Publisher);

  /// Whether the state is recent enough to be passed on.
  bool isFresh(Instant Now) const;
  std::uint64_t term() const { return m_term; }
  /// Fills in what the leader stated: term, leader, age, entry nodes and uses.
  /// Expects the routing version in force on this coordinator in `Context`. One
  /// older than the leader has confirmed is not passed on as the newest.
  void fillContext(Instant Now, FeedContext &Context) const;

private:
  NodeId m_self;
  FeedRelayOptions m_options;
  Instant m_nextRequest = absl::InfinitePast();
  std::uint64_t m_term = 0;
  /// When the first state was received.
  Instant m_began = absl::InfiniteFuture();
  NodeId m_leader;
  bool m_complete = false;
  std::vector<NodeId> m_coordinators;
  std::int64_t m_entries = 0;
  /// When the newest confirmed state was requested from the leader, and the
  /// version of the routing document at that time.
  Instant m_confirmed = absl::InfinitePast();
  std::uint64_t m_confirmedRouting = 0;
  std::vector<TargetUse> m_reportedUses;
  std::map<TargetId, std::int64_t> m_usesElsewhere;

  SuspectLists m_suspectLists;
  LimitRecords m_limitRecords;

  /// The version of this relay's own peers that the leader holds, and when they
  /// may be sent again.
  std::uint64_t m_offeredVersion = 0;
  Instant m_nextOffer = absl::InfinitePast();

  // Collected for the next request.
  std::int64_t m_modelRequests = 0;
  ArrivalCounts m_arrivals;
  std::vector<TargetId> m_suspects;
  std::vector<TargetId> m_progressing;
  std::vector<CrashReport> m_crashes;
  ProgressByKey m_progress;
  LimitRecords m_limitReports;
};

} // namespace turmericdyke
