#include "turmericdyke/src/Coordinator/CoordinatorNode.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/time/clock.h"
#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Coordinator/ClusterMembers.h"
#include "turmericdyke/src/Coordinator/DepartureRecords.h"
#include "turmericdyke/src/Coordinator/SuspectRecords.h"
#include "turmericdyke/src/Node/CoreCodec.h"
#include "turmericdyke/src/Peer/PeerTransport.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr absl::Duration PushDelay = absl::Milliseconds(10);
/// Shortest time between two messages of a relay to the leader.
constexpr absl::Duration RelayPause = absl::Milliseconds(20);
/// A limit that no entry node has reported for this long is dropped. Nodes that
/// have heard of it since report it again.
constexpr absl::Duration MaxLimitAge = absl::Seconds(60);

} // namespace
} // namespace internal

void CoordinatorNode::onPeerMessage(const ReceivedMessage &Message) {
  if (Message.m_kind == PeerMessageKind::FeedRequest)
    return onFeedRequest(Message);
  m_roster.heardFrom(monotonicNow(), Message.m_from);
  switch (Message.m_kind) {
  case PeerMessageKind::FeedUpdate:
    return onFeedUpdate(Message);
  case PeerMessageKind::Roster:
    return onRoster(Message);
  case PeerMessageKind::DirectoryUpdate:
    return onDirectoryUpdate(Message);
  case PeerMessageKind::AnnouncementBatch:
    return onAnnouncements(Message);
  default:
    return onCoreMessage(Message);
  }
}

void CoordinatorNode::onCoreMessage(const ReceivedMessage &Message) {
  if (!m_core) {
    if (Message.m_kind == PeerMessageKind::Bootstrap)
      onBootstrapMessage(Message);
    return;
  }
  Result<CoreMessage, PeerError> Parsed =
      decodeCoreMessage(Message.m_kind, Message.m_bytes);
  if (!Parsed) {
    m_metrics.increment("turmericdyke_peer_messages_refused_total");
    LogLine(LogLevel::Warning, "peer_message_refused")
        .field("peer", Message.m_from)
        .field("reason", Parsed.error().m_message);
    return;
  }
  m_core->onMessage(monotonicNow(), Message.m_from, Parsed.value(), m_random);
  runCore();
}

void CoordinatorNode::onRoster(const ReceivedMessage &Message) {
  Result<RosterMessage, PeerError> Parsed = decodeRoster(Message.m_bytes);
  if (!Parsed)
    return m_metrics.increment("turmericdyke_peer_messages_refused_total");
  m_roster.setDomain(Message.m_from, Parsed.value().m_failureDomain);
  m_roster.setLeaving(Message.m_from, Parsed.value().m_leaving);
  for (const NodeId &Node : Parsed.value().m_known)
    m_roster.discovered(monotonicNow(), Node);
  if (m_ledTerm == 0)
    return;
  // Updates that were lost are sent again from this sequence number.
  m_directorySent[Message.m_from] = Parsed.value().m_directoryTerm == m_ledTerm
                                        ? Parsed.value().m_directorySequence
                                        : 0;
  sendDirectory(Message.m_from);
}

void CoordinatorNode::onDirectoryUpdate(const ReceivedMessage &Message) {
  Result<DirectoryUpdate, PeerError> Parsed =
      decodeDirectoryUpdate(Message.m_bytes);
  if (!Parsed)
    return m_metrics.increment("turmericdyke_peer_messages_refused_total");
  reportMalformed(Message, Parsed.value().m_malformed);
  setClock(Parsed.value(), monotonicNow());
  if (m_directoryCopy.receive(Parsed.value()))
    m_copyUpdated = monotonicNow();
}

void CoordinatorNode::reportMalformed(const ReceivedMessage &Message,
                                      std::size_t Entries) {
  if (Entries == 0)
    return;
  m_metrics.increment("turmericdyke_malformed_entries_total", {},
                      static_cast<double>(Entries));
  LogLine(LogLevel::Warning, "malformed_entries_left_out")
      .field("peer", Message.m_from)
      .field("kind", nameOf(Message.m_kind))
      .field("entries", Entries);
}

void CoordinatorNode::onAnnouncements(const ReceivedMessage &Message) {
  Result<AnnouncementBatch, PeerError> Parsed =
      decodeAnnouncementBatch(Message.m_bytes);
  if (!Parsed)
    return m_metrics.increment("turmericdyke_peer_messages_refused_total");
  reportMalformed(Message, Parsed.value().m_malformed);
  if (!leads() || m_ledTerm != m_core->raft().term())
    return;
  Instant Now = monotonicNow();
  setClock(Parsed.value(), Now);
  if (Parsed.value().m_term == m_ledTerm)
    for (const ServerHeard &Heard : Parsed.value().m_unchanged)
      if (!isWithdrawn(m_core->state(), {Heard.m_id, Heard.m_startMillis}))
        m_servers.confirm(Now, Heard);
  for (const ServerAnnouncement &Announcement : Parsed.value().m_changed)
    accept(Announcement);
}

void CoordinatorNode::onFeedRequest(const ReceivedMessage &Message) {
  Instant Now = monotonicNow();
  Result<FeedRequest, PeerError> Parsed = decodeFeedRequest(Message.m_bytes);
  if (!Parsed || Parsed.value().m_node != Message.m_from)
    return m_metrics.increment("turmericdyke_peer_messages_refused_total");
  const FeedRequest &Request = Parsed.value();
  if (leads()) {
    onSuspects(Request.m_suspects);
    for (const TargetId &Progressing : Request.m_progressing)
      m_progress[Progressing] = Now;
    onCrashReports(Request);
    onLimits(Request);
    m_demand.record(Now, Request.m_arrivals, Request.m_modelRequests);
  } else {
    m_feedRelay.collect(Now, Request);
    if (m_feedRelay.nextRequest() <= Now)
      relaySoon();
  }
  FeedUpdate Update = m_feed.respond(Now, Request, feedContext());
  // A lost response is requested again.
  (void)m_transport->sendTo(Message.m_fromAddress, PeerMessageKind::FeedUpdate,
                            encode(Update));
}

void CoordinatorNode::onCrashReports(const FeedRequest &Request) {
  if (Request.m_crashes.empty() && Request.m_progress.empty())
    return;
  Instant Now = monotonicNow();
  for (const CrashReport &Report : Request.m_crashes) {
    m_crashes.record(Now, Report);
    LogLine(LogLevel::Info, "crash_recorded")
        .field("entry", Request.m_node)
        .field("target", Report.m_target)
        .field("generation", Report.m_generation)
        .field("began", Report.m_began)
        .field("events", Report.m_events)
        .field("past_start", Report.m_pastStart)
        .field("keys", absl::StrJoin(Report.m_keys, ","));
  }
  // A request that got through after its crash is reported with it.
  for (const KeyProgress &Value : Request.m_progress)
    m_crashes.markProgress(Value);
  updateSuspects();
}

void CoordinatorNode::onLimits(const FeedRequest &Request) {
  Instant Now = monotonicNow();
  bool Changed = false;
  for (const TargetLimit &Limit : Request.m_limits) {
    if (!m_limits.record(Now, Limit))
      continue;
    Changed = true;
    LogLine(LogLevel::Info, "target_limit_recorded")
        .field("entry", Request.m_node)
        .field("target", Limit.m_target)
        .field("instance", Limit.m_instance)
        .field("limited", Limit.m_perSecond.has_value())
        .field("per_second", Limit.m_perSecond.value_or(0))
        .field("age_ms", Limit.m_ageMicros / 1000);
  }
  if (Changed)
    pushFeed();
}

void CoordinatorNode::judgeSuspects() {
  if (m_ledTerm == 0 || m_crashes.empty())
    return;
  const ControlState &State = m_core->state();
  std::vector<CrashAttribution::Verdict> Verdicts =
      m_crashes.judge(monotonicNow(), [&State](SuspectKey Key) {
        return wasRefused(State, Key);
      });
  for (const CrashAttribution::Verdict &Verdict : Verdicts) {
    LogLine(LogLevel::Warning, "suspect_refused")
        .field("node", m_settings.m_name)
        .field("key", Verdict.m_key)
        .field("points", Verdict.m_points)
        .field("crashes", absl::StrJoin(Verdict.m_crashes, ","));
    m_metrics.increment("turmericdyke_suspects_refused_total");
    for (const MarkSuspects &Command : refusalCommands(Verdict))
      (void)m_core->submit(monotonicNow(), Command);
  }
  if (Verdicts.empty())
    return;
  m_core->tick(monotonicNow(), absl::Now(), m_random);
  runCore();
}

void CoordinatorNode::updateSuspects() {
  SuspectLists Lists = suspectLists(m_core->state(), m_crashes.suspects());
  bool Urgent = Lists.m_refused != m_suspects.m_refused;
  m_suspects = std::move(Lists);
  // Suspects alone are sent with the next response to each entry node.
  if (Urgent)
    pushFeed();
}

void CoordinatorNode::onFeedUpdate(const ReceivedMessage &Message) {
  Result<FeedUpdate, PeerError> Parsed = decodeFeedUpdate(Message.m_bytes);
  if (!Parsed)
    return m_metrics.increment("turmericdyke_peer_messages_refused_total");
  reportMalformed(Message, Parsed.value().m_malformedTargets);
  // While this node leads, the publisher holds its own targets.
  if (m_ledTerm != 0)
    return;
  if (m_feedRelay.receive(monotonicNow(), Parsed.value(), m_feed))
    pushFeed();
}

void CoordinatorNode::logRelaying(Instant Now) {
  bool Relays = m_ledTerm == 0 && m_feedRelay.isFresh(Now);
  if (Relays == m_relaying)
    return;
  m_relaying = Relays;
  LogLine(LogLevel::Info, Relays ? "relay_begun" : "relay_ended")
      .field("node", m_settings.m_name)
      .field("leader", leader())
      .field("leads", m_ledTerm != 0)
      .field("term", m_feedRelay.term())
      .field("entries", m_feed.entryNodes(Now));
}

void CoordinatorNode::tickRelay() {
  Instant Now = monotonicNow();
  logRelaying(Now);
  m_loop.cancel(m_relayTimer);
  const NodeId Leader = leader();
  if (m_ledTerm == 0 && !Leader.empty() && Leader != m_self) {
    // Lost requests are followed by the next one, lost announcements by the
    // servers' next ones.
    (void)m_transport->sendTo(Leader.str(), PeerMessageKind::FeedRequest,
                              encode(m_feedRelay.request(Now, m_feed)));
    if (!m_announcementRelay.empty()) {
      AnnouncementBatch Batch = m_announcementRelay.take();
      Batch.m_now = Now;
      (void)m_transport->sendTo(
          Leader.str(), PeerMessageKind::AnnouncementBatch, encode(Batch));
    }
  }
  m_lastRelayed = Now;
  m_relayTimer =
      m_loop.at(std::max(m_feedRelay.nextRequest(), Now + internal::RelayPause),
                [this] { tickRelay(); });
}

void CoordinatorNode::relaySoon() {
  m_loop.cancel(m_relayTimer);
  m_relayTimer =
      m_loop.at(std::max(monotonicNow(), m_lastRelayed + internal::RelayPause),
                [this] { tickRelay(); });
}

void CoordinatorNode::tickRoster() {
  Instant Now = monotonicNow();
  if (m_roster.announcementDue(Now))
    sendRoster(Now);
  if (m_core)
    logWantedVoters(Now, updateClusterMembers(Now, m_roster, *m_core));
  judgeSuspects();
  m_limits.expire(Now, internal::MaxLimitAge);
  m_loop.after(MembersInterval, [this] { tickRoster(); });
}

void CoordinatorNode::sendRoster(Instant Now) {
  RosterMessage Message;
  Message.m_failureDomain = m_settings.m_failureDomain;
  Message.m_known = m_roster.live(Now);
  Message.m_leaving = m_roster.isLeaving();
  Message.m_directoryTerm = m_directoryCopy.term();
  Message.m_directorySequence = m_directoryCopy.sequence();
  std::string Bytes = encode(Message);
  for (const NodeId &Other : m_roster.others())
    (void)m_transport->sendTo(Other.str(), PeerMessageKind::Roster, Bytes);
}

void CoordinatorNode::logWantedVoters(Instant Now, const VoterPlan &Plan) {
  if (!leads() || Plan.m_wanted == m_loggedVoters)
    return;
  m_loggedVoters = Plan.m_wanted;
  auto NameAndSilence = [&](std::string *Out, const NodeId &Node) {
    absl::StrAppend(Out, Node.str(), ":",
                    absl::ToInt64Milliseconds(m_roster.silence(Now, Node)));
  };
  LogLine(LogLevel::Info, "voters_wanted")
      .field("node", m_settings.m_name)
      .field("term", m_core->raft().term())
      .field("wanted",
             absl::StrJoin(Plan.m_wanted, ",", absl::StreamFormatter()))
      .field("voters_silent_ms",
             absl::StrJoin(Plan.m_voters, ",", NameAndSilence))
      .field("live",
             absl::StrJoin(m_roster.live(Now), ",", absl::StreamFormatter()));
}

void CoordinatorNode::sendDirectory(const NodeId &Node) {
  std::uint64_t &Sent = m_directorySent[Node];
  DirectoryUpdate Update = m_servers.changesSince(Sent);
  Update.m_term = m_ledTerm;
  Update.m_complete = m_settled;
  Update.m_trafficSeen = m_trafficSeen;
  Update.m_now = monotonicNow();
  Sent = Update.m_sequence;
  // The receiver reports what it holds once a second, so lost updates are sent
  // again.
  (void)m_transport->sendTo(Node.str(), PeerMessageKind::DirectoryUpdate,
                            encode(Update));
}

void CoordinatorNode::pushDirectory() {
  for (const auto &[Node, Sent] : m_directorySent)
    if (Sent < m_servers.sequence())
      sendDirectory(Node);
}

FeedContext CoordinatorNode::feedContext() const {
  Instant Now = monotonicNow();
  FeedContext Context;
  Context.m_coordinators = m_roster.live(Now);
  Context.m_domains = m_roster.domains();
  if (!m_core)
    return Context;
  Context.m_term = m_core->raft().term();
  Context.m_leader = m_core->raft().leader();
  Context.m_leads = leads() && m_ledTerm == Context.m_term;
  Context.m_complete = m_settled && m_planner.leading();
  Context.m_routingVersion = m_catalog.m_version;
  Context.m_routingConfirmed = m_core->stateIsCurrent();
  Context.m_routingDocument = &m_document;
  Context.m_suspects = &m_suspects;
  Context.m_limits = &m_limits;
  if (m_ledTerm == 0 && !m_stopping && m_feedRelay.isFresh(Now))
    m_feedRelay.fillContext(Now, Context);
  return Context;
}

void CoordinatorNode::pushFeed() {
  if (m_pushDue)
    return;
  m_pushDue = true;
  m_loop.after(internal::PushDelay, [this] {
    m_pushDue = false;
    for (const auto &[Node, Update] :
         m_feed.pendingUpdates(monotonicNow(), feedContext()))
      // Lost updates are requested again with the next request.
      (void)m_transport->sendTo(Node.str(), PeerMessageKind::FeedUpdate,
                                encode(Update));
  });
}

} // namespace turmericdyke
