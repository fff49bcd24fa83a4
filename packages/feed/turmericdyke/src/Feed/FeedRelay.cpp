#include "turmericdyke/src/Feed/FeedRelay.h"

#include <algorithm>
#include <utility>

#include "turmericdyke/src/Feed/FeedAssignment.h"
#include "turmericdyke/src/Feed/FeedFollower.h"
#include "turmericdyke/src/Feed/FeedPublisher.h"

namespace turmericdyke {

namespace internal {
namespace {

/// The leader is sent this relay's peers at most once in this time: 250 of them
/// are 13 KB.
constexpr absl::Duration OfferInterval = absl::Milliseconds(500);

template <class Entry>
void mergeInto(std::vector<Entry> &All, const std::vector<Entry> &More) {
  All.insert(All.end(), More.begin(), More.end());
  std::sort(All.begin(), All.end());
  All.erase(std::unique(All.begin(), All.end()), All.end());
}

} // namespace
} // namespace internal

FeedRelay::FeedRelay(NodeId Self, FeedRelayOptions Options)
    : m_self(std::move(Self)), m_options(Options) {}

void FeedRelay::reset() { *this = FeedRelay(m_self, m_options); }

void FeedRelay::requestNow(Instant Now) {
  m_nextRequest = std::min(m_nextRequest, Now);
}

FeedRequest FeedRelay::request(Instant Now, const FeedPublisher &Publisher) {
  m_nextRequest = Now + m_options.m_interval;
  FeedRequest Request;
  Request.m_node = m_self;
  Request.m_relay = true;
  Request.m_entries = Publisher.entryNodes(Now);
  Request.m_sentAtMicros = absl::ToUnixMicros(Now);
  Request.m_term = m_term;
  Request.m_sequence = m_term == 0 ? 0 : Publisher.sequence();
  // If relays serve entry nodes, those of an earlier start of this one may hold
  // older targets and have not asked again yet.
  if (m_entries <= MaxEntryNodesOfLeader || Now - m_began >= EntryReturnTime)
    Request.m_delivered = Publisher.delivered(Now);
  Request.m_modelRequests = std::exchange(m_modelRequests, 0);
  Request.m_arrivals = m_arrivals.take();
  Request.m_suspects = std::exchange(m_suspects, {});
  Request.m_progressing = std::exchange(m_progressing, {});
  Request.m_suspectsVersion = m_suspectLists.m_version;
  Request.m_crashes = std::exchange(m_crashes, {});
  Request.m_progress = m_progress.take();
  Request.m_limitsVersion = m_limitRecords.version();
  Request.m_limits = m_limitReports.list(Now).m_limits;
  m_limitReports.clear();
  Request.m_peersVersion = Publisher.peers().elsewhereVersion();
  PeerList Own = Publisher.peers().own(Now);
  if (Own.m_version != m_offeredVersion && Now >= m_nextOffer) {
    Request.m_offeredPeers = std::move(Own);
    m_nextOffer = Now + internal::OfferInterval;
  }
  m_reportedUses.clear();
  for (const auto &[Target, Requests] : Publisher.uses())
    m_reportedUses.push_back({Target, Requests});
  Request.m_uses = m_reportedUses;
  return Request;
}

void FeedRelay::collect(Instant Now, const FeedRequest &Request) {
  m_modelRequests += Request.m_modelRequests;
  m_arrivals.add(Request.m_arrivals);
  internal::mergeInto(m_suspects, Request.m_suspects);
  internal::mergeInto(m_progressing, Request.m_progressing);
  for (const KeyProgress &Value : Request.m_progress)
    m_progress.add(Value);
  m_crashes.insert(m_crashes.end(), Request.m_crashes.begin(),
                   Request.m_crashes.end());
  // Many entry nodes report the same target.
  for (const TargetLimit &Limit : Request.m_limits)
    (void)m_limitReports.record(Now, Limit);
  if (!Request.m_suspects.empty() || !Request.m_crashes.empty() ||
      !Request.m_limits.empty())
    requestNow(Now);
}

bool FeedRelay::receive(Instant Now, const FeedUpdate &Update,
                        FeedPublisher &Publisher) {
  if (!Update.m_leads || Update.m_term < m_term)
    return false;
  if (Update.m_term > m_term)
    m_confirmed = absl::InfinitePast();
  m_term = Update.m_term;
  m_began = std::min(m_began, Now);
  m_leader = Update.m_leader;
  m_coordinators = Update.m_coordinators;
  m_entries = Update.m_entries;
  bool Completed = Update.m_complete && !m_complete;
  m_complete = Update.m_complete;
  if (Update.m_echoMicros > 0) {
    m_confirmed =
        std::max(m_confirmed, absl::FromUnixMicros(Update.m_echoMicros));
    m_confirmedRouting = std::max(m_confirmedRouting, Update.m_routingVersion);
  }
  Result<std::vector<TargetUse>, FleetError> Uses = decodeUses(Update.m_uses);
  if (Uses) {
    m_usesElsewhere.clear();
    for (const TargetUse &Use : Uses.value())
      m_usesElsewhere[Use.m_target] = Use.m_requests;
    for (const TargetUse &Own : m_reportedUses) {
      std::int64_t &Elsewhere = m_usesElsewhere[Own.m_target];
      Elsewhere = std::max<std::int64_t>(0, Elsewhere - Own.m_requests);
    }
  }
  if (Update.m_suspects)
    m_suspectLists = *Update.m_suspects;
  if (Update.m_limits) {
    m_limitRecords.clear();
    for (const TargetLimit &Limit : Update.m_limits->m_limits)
      (void)m_limitRecords.record(Now, Limit);
  }
  if (Update.m_echoMicros > 0)
    m_offeredVersion = Update.m_offeredVersion;
  if (Update.m_peersElsewhere)
    Publisher.peers().setElsewhere(*Update.m_peersElsewhere);
  bool Behind = Update.m_sequence > Publisher.sequence();
  bool Changed = Publisher.mirror(Update);
  if (Behind && !Changed)
    requestNow(Now);
  return Changed || Completed || Update.m_suspects || Update.m_limits;
}

bool FeedRelay::isFresh(Instant Now) const {
  return m_term > 0 && Now - m_confirmed <= m_options.m_maxAge;
}

void FeedRelay::fillContext(Instant Now, FeedContext &Context) const {
  Context.m_term = m_term;
  Context.m_leader = m_leader;
  Context.m_complete = m_complete;
  Context.m_relays = true;
  Context.m_age = Now - m_confirmed;
  Context.m_coordinators = m_coordinators;
  Context.m_entries = m_entries;
  Context.m_usesElsewhere = &m_usesElsewhere;
  Context.m_suspects = &m_suspectLists;
  Context.m_limits = &m_limitRecords;
  Context.m_routingConfirmed = Context.m_routingVersion >= m_confirmedRouting;
}

} // namespace turmericdyke
