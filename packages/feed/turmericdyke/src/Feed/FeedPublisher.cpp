#include "turmericdyke/src/Feed/FeedPublisher.h"

#include <set>

#include "turmericdyke/src/Base/Compression.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Eight missed requests of an entry node; see `FeedFollowerOptions`.
constexpr absl::Duration SubscriberTimeout = absl::Seconds(2);
/// At most one routing document, the newest, is sent to a node in this time, so
/// that rapid changes do not fill the leader's link. Nodes ask every 250 ms,
/// which bounds the delay of the last change.
constexpr absl::Duration DocumentInterval = absl::Milliseconds(200);

} // namespace
} // namespace internal

void FeedPublisher::reset() { *this = FeedPublisher(); }

void FeedPublisher::setTargets(absl::Span<const ServingTarget> Targets) {
  std::set<TargetId> Present;
  std::uint64_t Next = m_sequence + 1;
  bool Changed = false;
  for (const ServingTarget &Target : Targets) {
    Present.insert(Target.m_id);
    auto [At, New] = m_targets.try_emplace(Target.m_id);
    if (!New && At->second.m_target == Target)
      continue;
    At->second = {Target, Next};
    m_removed.erase(Target.m_id);
    Changed = true;
  }
  for (auto At = m_targets.begin(); At != m_targets.end();) {
    if (Present.count(At->first) > 0) {
      ++At;
      continue;
    }
    m_removed[At->first] = Next;
    At = m_targets.erase(At);
    Changed = true;
  }
  if (Changed)
    m_sequence = Next;
}

void FeedPublisher::removeSilent(Instant Now) {
  std::erase_if(m_subscribers, [Now](const auto &Entry) {
    return Now - Entry.second.m_lastHeard >= internal::SubscriberTimeout;
  });
}

std::int64_t FeedPublisher::entryNodes(Instant Now) const {
  std::int64_t Count = 0;
  for (const auto &[Node, State] : m_subscribers)
    if (!State.m_stopping &&
        Now - State.m_lastHeard < internal::SubscriberTimeout)
      ++Count;
  return Count;
}

bool FeedPublisher::documentDue(Instant Now, const Subscriber &State,
                                const FeedContext &Context) const {
  return State.m_routingVersion < Context.m_routingVersion &&
         Now - State.m_documentSent >= internal::DocumentInterval;
}

void FeedPublisher::fillUpdate(Instant Now, const NodeId &To, Subscriber &State,
                               const FeedContext &Context, FeedUpdate &Update) {
  Update.m_term = Context.m_term;
  Update.m_leader = Context.m_leader;
  Update.m_leads = true;
  Update.m_complete = Context.m_complete;
  Update.m_coordinators = Context.m_coordinators;
  Update.m_from = State.m_sequence;
  Update.m_sequence = m_sequence;
  for (const auto &[Id, Entry] : m_targets)
    if (Entry.m_sequence > State.m_sequence)
      Update.m_targets.push_back(Entry.m_target);
  for (const auto &[Id, Sequence] : m_removed)
    if (Sequence > State.m_sequence && State.m_sequence > 0)
      Update.m_removed.push_back(Id);
  Update.m_routingVersion = Context.m_routingVersion;
  if (documentDue(Now, State, Context)) {
    if (m_compressedVersion != Context.m_routingVersion) {
      m_compressedVersion = Context.m_routingVersion;
      m_compressedDocument = compress(*Context.m_routingDocument);
    }
    Update.m_routingDocument = m_compressedDocument;
    State.m_documentSent = Now;
    State.m_routingVersion = Context.m_routingVersion;
  }
  State.m_sequence = m_sequence;
  std::map<TargetId, std::int64_t> Others;
  for (const auto &[Node, Other] : m_subscribers)
    if (Node != To)
      for (const auto &[Target, Requests] : Other.m_uses)
        Others[Target] += Requests;
  for (const auto &[Target, Requests] : Others)
    Update.m_othersUse.push_back({Target, Requests});
}

FeedUpdate FeedPublisher::respond(Instant Now, const FeedRequest &Request,
                                  const FeedContext &Context) {
  FeedUpdate Update;
  Update.m_echoMicros = Request.m_sentAtMicros;
  Update.m_coordinators = Context.m_coordinators;
  Update.m_term = Context.m_term;
  Update.m_leader = Context.m_leader;
  if (!Context.m_leads)
    return Update;
  Subscriber &State = m_subscribers[Request.m_node];
  State.m_lastHeard = Now;
  State.m_stopping = Request.m_stopping;
  State.m_routingVersion = Request.m_routingVersion;
  // The sequence numbers of a node that follows another term are meaningless in
  // this one.
  State.m_sequence = Request.m_term == Context.m_term ? Request.m_sequence : 0;
  State.m_uses.clear();
  for (const TargetUse &Use : Request.m_uses)
    State.m_uses[Use.m_target] = Use.m_requests;
  m_trafficSeen = m_trafficSeen || Request.m_modelRequests > 0;
  removeSilent(Now);
  fillUpdate(Now, Request.m_node, State, Context, Update);
  // Without the newest document, the response must not extend the node's lease.
  if (State.m_routingVersion < Context.m_routingVersion)
    Update.m_echoMicros = 0;
  Update.m_entries = entryNodes(Now);
  return Update;
}

std::map<NodeId, FeedUpdate>
FeedPublisher::pendingUpdates(Instant Now, const FeedContext &Context) {
  std::map<NodeId, FeedUpdate> Updates;
  if (!Context.m_leads)
    return Updates;
  removeSilent(Now);
  std::int64_t Entries = entryNodes(Now);
  for (auto &[Node, State] : m_subscribers) {
    if (State.m_sequence == m_sequence && !documentDue(Now, State, Context))
      continue;
    FeedUpdate &Update = Updates[Node];
    fillUpdate(Now, Node, State, Context, Update);
    Update.m_entries = Entries;
  }
  return Updates;
}

} // namespace turmericdyke
