#include "turmericdyke/src/Feed/FeedPublisher.h"

#include <set>

#include "turmericdyke/src/Base/Compression.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Eight missed requests of an entry node; see `FeedFollowerOptions`.
constexpr absl::Duration SubscriberSilence = absl::Seconds(2);
/// A node is sent at most one routing document in this time, the newest:
/// changes in quick succession must not fill the leader's link. It asks again
/// every 250 ms, so that the last change waits no longer than that.
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

void FeedPublisher::forgetSilent(Instant Now) {
  std::erase_if(m_subscribers, [Now](const auto &Entry) {
    return Now - Entry.second.m_lastHeard >= internal::SubscriberSilence;
  });
}

std::int64_t FeedPublisher::entries(Instant Now) const {
  std::int64_t Count = 0;
  for (const auto &[Node, State] : m_subscribers)
    if (!State.m_stopping &&
        Now - State.m_lastHeard < internal::SubscriberSilence)
      ++Count;
  return Count;
}

bool FeedPublisher::documentDue(Instant Now, const Subscriber &State,
                                const FeedFacts &Facts) const {
  return State.m_routingVersion < Facts.m_routingVersion &&
         Now - State.m_documentSent >= internal::DocumentInterval;
}

void FeedPublisher::fill(Instant Now, const NodeId &To, Subscriber &State,
                         const FeedFacts &Facts, FeedUpdate &Update) {
  Update.m_term = Facts.m_term;
  Update.m_leader = Facts.m_leader;
  Update.m_leads = true;
  Update.m_complete = Facts.m_complete;
  Update.m_coordinators = Facts.m_coordinators;
  Update.m_from = State.m_sequence;
  Update.m_sequence = m_sequence;
  for (const auto &[Id, Entry] : m_targets)
    if (Entry.m_sequence > State.m_sequence)
      Update.m_targets.push_back(Entry.m_target);
  for (const auto &[Id, Sequence] : m_removed)
    if (Sequence > State.m_sequence && State.m_sequence > 0)
      Update.m_removed.push_back(Id);
  Update.m_routingVersion = Facts.m_routingVersion;
  if (documentDue(Now, State, Facts)) {
    if (m_packedVersion != Facts.m_routingVersion) {
      m_packedVersion = Facts.m_routingVersion;
      m_packedDocument = compress(*Facts.m_routingDocument);
    }
    Update.m_routingDocument = m_packedDocument;
    State.m_documentSent = Now;
    State.m_routingVersion = Facts.m_routingVersion;
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

FeedUpdate FeedPublisher::answer(Instant Now, const FeedRequest &Request,
                                 const FeedFacts &Facts) {
  FeedUpdate Update;
  Update.m_echoMicros = Request.m_sentAtMicros;
  Update.m_coordinators = Facts.m_coordinators;
  Update.m_term = Facts.m_term;
  Update.m_leader = Facts.m_leader;
  if (!Facts.m_leads)
    return Update;
  Subscriber &State = m_subscribers[Request.m_node];
  State.m_lastHeard = Now;
  State.m_stopping = Request.m_stopping;
  State.m_routingVersion = Request.m_routingVersion;
  // A node of another term holds nothing that this one's numbers describe.
  State.m_sequence = Request.m_term == Facts.m_term ? Request.m_sequence : 0;
  State.m_uses.clear();
  for (const TargetUse &Use : Request.m_uses)
    State.m_uses[Use.m_target] = Use.m_requests;
  m_trafficSeen = m_trafficSeen || Request.m_modelRequests > 0;
  forgetSilent(Now);
  fill(Now, Request.m_node, State, Facts, Update);
  // Without the newest document the answer proves nothing about what is in
  // force.
  if (State.m_routingVersion < Facts.m_routingVersion)
    Update.m_echoMicros = 0;
  Update.m_entries = entries(Now);
  return Update;
}

std::map<NodeId, FeedUpdate> FeedPublisher::pushes(Instant Now,
                                                   const FeedFacts &Facts) {
  std::map<NodeId, FeedUpdate> Updates;
  if (!Facts.m_leads)
    return Updates;
  forgetSilent(Now);
  std::int64_t Entries = entries(Now);
  for (auto &[Node, State] : m_subscribers) {
    if (State.m_sequence == m_sequence && !documentDue(Now, State, Facts))
      continue;
    FeedUpdate &Update = Updates[Node];
    fill(Now, Node, State, Facts, Update);
    Update.m_entries = Entries;
  }
  return Updates;
}

} // namespace turmericdyke
