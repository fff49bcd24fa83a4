#include "turmericdyke/src/Feed/FeedPublisher.h"

#include <algorithm>
#include <set>

#include "turmericdyke/src/Base/Compression.h"
#include "turmericdyke/src/Feed/FeedFollower.h"
#include "turmericdyke/src/Feed/LimitRecords.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Eight missed requests of an entry node; see `FeedFollowerOptions`.
constexpr absl::Duration SubscriberTimeout = absl::Seconds(2);
/// A node that asks for help asks its new source within one interval; until
/// that request has arrived, only this coordinator knows what the node holds.
constexpr absl::Duration VisitorTimeout = absl::Milliseconds(500);
/// At most one routing document, the newest, is sent to a node in this time, so
/// that rapid changes do not fill the leader's link. Nodes ask every 250 ms,
/// which bounds the delay of the last change.
constexpr absl::Duration DocumentInterval = absl::Milliseconds(200);
/// Sums of uses are encoded again after this time; entry nodes ask every 250
/// ms.
constexpr absl::Duration UsesInterval = absl::Milliseconds(25);
/// Silent nodes are looked for at this interval.
constexpr absl::Duration SilentCheckInterval = absl::Milliseconds(100);
/// Removed targets that are remembered. A release replaces a few hundred.
constexpr std::size_t MaxRemovals = 1024;

} // namespace
} // namespace internal

void FeedPublisher::reset() { *this = FeedPublisher(); }

void FeedPublisher::setTargets(Instant Now,
                               absl::Span<const ServingTarget> Targets,
                               absl::Span<const TargetId> Closed) {
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
  std::vector<TargetId> Ended;
  for (const auto &[Id, Entry] : m_targets)
    if (Present.count(Id) == 0)
      Ended.push_back(Id);
  for (const TargetId &Id : Ended)
    removeTarget(Id, {Next, Now});
  for (const TargetId &Id : Closed)
    if (Present.count(Id) == 0 &&
        m_removed.try_emplace(Id, Removal{Next, Now}).second)
      Changed = true;
  if (Changed || !Ended.empty())
    m_sequence = Next;
  limitRemovals();
}

void FeedPublisher::removeTarget(const TargetId &Id, Removal Value) {
  m_targets.erase(Id);
  m_removed[Id] = Value;
}

void FeedPublisher::requestConfirmation(const TargetId &Id) {
  auto Found = m_removed.find(Id);
  if (Found != m_removed.end())
    m_confirmUpTo = std::max(m_confirmUpTo, Found->second.m_sequence);
}

bool FeedPublisher::isOutOfUse(Instant Now, const TargetId &Id) const {
  auto Found = m_removed.find(Id);
  if (Found == m_removed.end())
    return false;
  // Every response since has held the removal, and without a response a node
  // serves for the time of its lease.
  return Now - Found->second.m_at >= FeedFollowerOptions().m_lease ||
         delivered(Now) >= Found->second.m_sequence;
}

std::uint64_t FeedPublisher::delivered(Instant Now) const {
  std::uint64_t Lowest = m_sequence;
  for (const auto &[Node, Value] : m_confirmations)
    if (Now < Value.m_until)
      Lowest = std::min(Lowest, Value.m_sequence);
  return Lowest;
}

std::vector<NodeId> FeedPublisher::unconfirmed(Instant Now) const {
  std::vector<NodeId> Nodes;
  for (const auto &[Node, Value] : m_confirmations)
    if (Now < Value.m_until && Value.m_sequence < m_sequence)
      Nodes.push_back(Node);
  return Nodes;
}

void FeedPublisher::limitRemovals() {
  if (m_removed.size() <= internal::MaxRemovals)
    return;
  std::vector<std::uint64_t> Sequences;
  for (const auto &[Id, Value] : m_removed)
    Sequences.push_back(Value.m_sequence);
  auto Middle =
      Sequences.begin() + static_cast<std::ptrdiff_t>(Sequences.size() / 2);
  std::nth_element(Sequences.begin(), Middle, Sequences.end());
  m_completeSince = std::max(m_completeSince, *Middle);
  std::erase_if(m_removed, [this](const auto &Entry) {
    return Entry.second.m_sequence <= m_completeSince;
  });
}

bool FeedPublisher::mirror(const FeedUpdate &Update) {
  bool NewTerm = Update.m_term != m_mirroredTerm;
  if (Update.m_term < m_mirroredTerm ||
      Update.m_from > (NewTerm ? 0 : m_sequence) ||
      (!NewTerm && Update.m_sequence <= m_sequence))
    return false;
  if (NewTerm || Update.m_from == 0) {
    m_targets.clear();
    m_removed.clear();
    m_completeSince = Update.m_sequence;
  }
  if (NewTerm) {
    m_confirmUpTo = 0;
    for (auto &[Node, State] : m_subscribers)
      State.m_sequence = 0;
    for (auto &[Node, Value] : m_confirmations)
      Value.m_sequence = 0;
  }
  m_mirroredTerm = Update.m_term;
  for (const ServingTarget &Target : Update.m_targets) {
    m_targets[Target.m_id] = {Target, Update.m_sequence};
    m_removed.erase(Target.m_id);
  }
  for (const TargetId &Id : Update.m_removed)
    removeTarget(Id, {Update.m_sequence});
  m_sequence = Update.m_sequence;
  if (Update.m_confirm)
    m_confirmUpTo = m_sequence;
  limitRemovals();
  return true;
}

void FeedPublisher::addUses(const std::vector<TargetUse> &Uses,
                            std::int64_t Sign) {
  for (const TargetUse &Use : Uses) {
    std::int64_t &Sum = m_uses[Use.m_target];
    Sum += Sign * Use.m_requests;
    if (Sum == 0)
      m_uses.erase(Use.m_target);
  }
}

void FeedPublisher::setUses(Subscriber &State, std::vector<TargetUse> Uses) {
  addUses(State.m_uses, -1);
  State.m_uses = std::move(Uses);
  addUses(State.m_uses, 1);
}

void FeedPublisher::removeSilent(Instant Now) {
  if (Now - m_silentRemovedAt < internal::SilentCheckInterval)
    return;
  m_silentRemovedAt = Now;
  auto IsSilent = [Now](const auto &Entry) {
    return Now - Entry.second.m_lastHeard >= internal::SubscriberTimeout;
  };
  for (auto &Entry : m_subscribers)
    if (IsSilent(Entry))
      setUses(Entry.second, {});
  std::erase_if(m_subscribers, IsSilent);
  std::erase_if(m_confirmations, [Now](const auto &Entry) {
    return Now >= Entry.second.m_until;
  });
}

std::int64_t FeedPublisher::entryNodes(Instant Now) const {
  std::int64_t Count = 0;
  for (const auto &[Node, State] : m_subscribers)
    if (Now - State.m_lastHeard < internal::SubscriberTimeout)
      Count += State.m_entries;
  return Count;
}

bool FeedPublisher::documentDue(Instant Now, const Subscriber &State,
                                const FeedContext &Context) const {
  // A relay reads the document from the replicated log.
  return !State.m_relay && State.m_routingVersion < Context.m_routingVersion &&
         Now - State.m_documentSent >= internal::DocumentInterval;
}

const std::string &
FeedPublisher::compressedDocument(const FeedContext &Context) {
  if (m_compressedVersion != Context.m_routingVersion) {
    m_compressedVersion = Context.m_routingVersion;
    m_compressedDocument = compress(*Context.m_routingDocument);
  }
  return m_compressedDocument;
}

const std::string &FeedPublisher::encodedUses(Instant Now,
                                              const FeedContext &Context) {
  if (Now - m_usesEncodedAt < internal::UsesInterval)
    return m_encodedUses;
  m_usesEncodedAt = Now;
  std::map<TargetId, std::int64_t> Sums = m_uses;
  if (Context.m_usesElsewhere != nullptr)
    for (const auto &[Target, Requests] : *Context.m_usesElsewhere)
      Sums[Target] += Requests;
  std::vector<TargetUse> Uses;
  Uses.reserve(Sums.size());
  for (const auto &[Target, Requests] : Sums)
    Uses.push_back({Target, Requests});
  m_encodedUses = encodeUses(Uses);
  return m_encodedUses;
}

void FeedPublisher::fillTargets(const Subscriber &State,
                                FeedUpdate &Update) const {
  std::uint64_t From =
      State.m_sequence < m_completeSince ? 0 : State.m_sequence;
  Update.m_from = From;
  Update.m_sequence = m_sequence;
  if (State.m_sequence == m_sequence)
    return;
  for (const auto &[Id, Entry] : m_targets)
    if (Entry.m_sequence > From)
      Update.m_targets.push_back(Entry.m_target);
  // A node that holds nothing of this term may hold the targets of an earlier
  // one.
  for (const auto &[Id, Value] : m_removed)
    if (Value.m_sequence > From)
      Update.m_removed.push_back(Id);
}

bool FeedPublisher::suspectsDue(const Subscriber &State,
                                const FeedContext &Context) {
  return Context.m_suspects != nullptr &&
         Context.m_suspects->m_version != State.m_suspectsVersion;
}

bool FeedPublisher::limitsDue(const Subscriber &State,
                              const FeedContext &Context) {
  return Context.m_limits != nullptr &&
         Context.m_limits->version() != State.m_limitsVersion;
}

void FeedPublisher::fillUpdate(Instant Now, const NodeId &To, Subscriber &State,
                               const FeedContext &Context, FeedUpdate &Update) {
  Update.m_term = Context.m_term;
  Update.m_leader = Context.m_leader;
  Update.m_leads = Context.m_leads;
  Update.m_relays = Context.m_relays;
  Update.m_ageMicros = absl::ToInt64Microseconds(Context.m_age);
  Update.m_complete = Context.m_complete;
  Update.m_coordinators = Context.m_coordinators;
  Update.m_entries = Context.m_relays ? Context.m_entries : entryNodes(Now);
  Update.m_source =
      State.m_relay
          ? Context.m_leader
          : assignedCoordinator({To.str(), State.m_failureDomain},
                                Update.m_entries, MaxEntryNodesOfLeader,
                                Context.m_leader, Context.m_coordinators,
                                Context.m_domains);
  fillTargets(State, Update);
  Update.m_confirm = m_confirmations[To].m_sequence < m_confirmUpTo;
  Update.m_routingVersion = Context.m_routingVersion;
  if (documentDue(Now, State, Context)) {
    Update.m_routingDocument = compressedDocument(Context);
    State.m_documentSent = Now;
    State.m_routingVersion = Context.m_routingVersion;
  }
  if (suspectsDue(State, Context)) {
    Update.m_suspects = *Context.m_suspects;
    State.m_suspectsVersion = Context.m_suspects->m_version;
  }
  if (limitsDue(State, Context)) {
    Update.m_limits = Context.m_limits->list(Now);
    State.m_limitsVersion = Update.m_limits->m_version;
  }
  State.m_sequence = std::max(State.m_sequence, m_sequence);
  Update.m_uses = encodedUses(Now, Context);
}

FeedUpdate FeedPublisher::respond(Instant Now, const FeedRequest &Request,
                                  const FeedContext &Context) {
  FeedUpdate Update;
  Update.m_echoMicros = Request.m_sentAtMicros;
  Update.m_coordinators = Context.m_coordinators;
  Update.m_term = Context.m_term;
  Update.m_leader = Context.m_leader;
  if (!Context.m_leads && !Context.m_relays)
    return Update;
  Subscriber Asking;
  Subscriber &State =
      Request.m_follows ? m_subscribers[Request.m_node] : Asking;
  State.m_lastHeard = Now;
  State.m_relay = Request.m_relay;
  State.m_failureDomain = Request.m_failureDomain;
  if (Request.m_relay)
    State.m_entries = std::max<std::int64_t>(0, Request.m_entries);
  else
    State.m_entries = Request.m_stopping ? 0 : 1;
  State.m_routingVersion = Request.m_routingVersion;
  State.m_suspectsVersion = Request.m_suspectsVersion;
  State.m_limitsVersion = Request.m_limitsVersion;
  // The sequence numbers of a node that follows another term are meaningless in
  // this one.
  State.m_sequence = Request.m_term == Context.m_term ? Request.m_sequence : 0;
  m_confirmations[Request.m_node] = {
      Request.m_relay ? std::min(State.m_sequence, Request.m_delivered)
                      : State.m_sequence,
      Now + (Request.m_follows ? internal::SubscriberTimeout
                               : internal::VisitorTimeout)};
  if (Request.m_follows)
    setUses(State, Request.m_uses);
  m_trafficSeen = m_trafficSeen || Request.m_modelRequests > 0;
  removeSilent(Now);
  fillUpdate(Now, Request.m_node, State, Context, Update);
  m_peers.respond(Now, Request, Update);
  // Without the newest document, the response must not extend the node's lease.
  if (!Context.m_routingConfirmed ||
      (!State.m_relay && State.m_routingVersion < Context.m_routingVersion))
    Update.m_echoMicros = 0;
  if (Context.m_leads && Update.m_echoMicros > 0)
    Update.m_coldGrants = m_coldGrants.grant(Now, Request);
  return Update;
}

bool FeedPublisher::hasRelays() const {
  return std::any_of(m_subscribers.begin(), m_subscribers.end(),
                     [](const auto &Entry) { return Entry.second.m_relay; });
}

std::map<NodeId, FeedUpdate>
FeedPublisher::pendingUpdates(Instant Now, const FeedContext &Context) {
  std::map<NodeId, FeedUpdate> Updates;
  if (!Context.m_leads && !Context.m_relays)
    return Updates;
  removeSilent(Now);
  for (auto &[Node, State] : m_subscribers)
    if (State.m_sequence < m_sequence || suspectsDue(State, Context) ||
        limitsDue(State, Context) || documentDue(Now, State, Context))
      fillUpdate(Now, Node, State, Context, Updates[Node]);
  return Updates;
}

} // namespace turmericdyke
