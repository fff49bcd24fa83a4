#include "turmericdyke/src/Feed/FeedFollower.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

#include "turmericdyke/src/Base/Compression.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Routing documents are files of at most 4 MiB; the limit protects memory from
/// a faulty sender.
constexpr std::size_t MaxDocumentBytes = 8 << 20;

} // namespace
} // namespace internal

FeedFollower::FeedFollower(NodeId Self, std::vector<NodeId> Seeds,
                           FeedFollowerOptions Options,
                           FailureDomainId FailureDomain)
    : m_self(std::move(Self)), m_failureDomain(std::move(FailureDomain)),
      m_options(Options), m_coordinators(std::move(Seeds)) {
  assert(!m_coordinators.empty() && "an entry node needs at least one seed");
}

void FeedFollower::addSeeds(const std::vector<NodeId> &Seeds) {
  for (const NodeId &Seed : Seeds)
    if (std::find(m_coordinators.begin(), m_coordinators.end(), Seed) ==
        m_coordinators.end())
      m_coordinators.push_back(Seed);
}

bool FeedFollower::sourceResponds(Instant Now) const {
  return Now - std::max(m_lastResponse, m_sourceSince) <
         m_options.m_responseTimeout;
}

void FeedFollower::setSource(Instant Now, const NodeId &Source) {
  if (Source == m_source || Source.empty() ||
      (Source == m_silentSource && Now < m_avoidUntil))
    return;
  m_source = Source;
  m_sourceSince = Now;
  // The source must know soon what this node holds.
  confirmSoon(Now);
}

void FeedFollower::confirmSoon(Instant Now) {
  // Coordinators may name each other as the source while they know of
  // different members.
  m_confirmAt = std::max(Now, m_lastConfirmed + m_options.m_confirmPause);
}

std::vector<FeedFollower::OutgoingRequest>
FeedFollower::tick(Instant Now, std::vector<TargetUse> Uses) {
  std::vector<OutgoingRequest> Due;
  if (Now < nextTick())
    return Due;
  if (Now >= m_confirmAt) {
    m_confirmAt = absl::InfiniteFuture();
    m_lastConfirmed = Now;
  }
  if (Now >= m_nextRequest)
    m_nextRequest = Now + m_options.m_interval;
  if (m_source != m_leader && !sourceResponds(Now)) {
    m_silentSource = m_source;
    m_avoidUntil = Now + m_options.m_avoidSourceFor;
    setSource(Now, m_leader);
  }
  FeedRequest Request;
  Request.m_node = m_self;
  Request.m_failureDomain = m_failureDomain;
  Request.m_sentAtMicros = absl::ToUnixMicros(Now);
  Request.m_term = m_term;
  Request.m_sequence = m_sequence;
  Request.m_routingVersion = m_routingVersion;
  Request.m_peersVersion = m_peers.m_version;
  bool Responds = Now - m_lastResponse < m_options.m_responseTimeout;
  if (!m_source.empty()) {
    Due.push_back({m_source, Request});
    m_reportedUses = std::move(Uses);
    Due.back().m_request.m_uses = m_reportedUses;
  }
  if (m_source.empty() || !Responds) {
    m_nextCoordinator = (m_nextCoordinator + 1) % m_coordinators.size();
    // The response names the source, which then counts this node.
    Request.m_follows = false;
    if (m_coordinators[m_nextCoordinator] != m_source)
      Due.push_back({m_coordinators[m_nextCoordinator], Request});
  }
  return Due;
}

void FeedFollower::followHint(Instant Now, const FeedUpdate &Update,
                              FeedChange &Change) {
  bool Responds = Now - m_lastResponse < m_options.m_responseTimeout;
  if (Update.m_leader.empty() || Update.m_leader == m_leader ||
      (Responds && Update.m_term <= m_term))
    return;
  m_leader = Update.m_leader;
  m_nextRequest = Now;
  Change.m_leaderChanged = true;
  setSource(Now, m_leader);
}

FeedChange FeedFollower::receive(Instant Now, const FeedUpdate &Update) {
  FeedChange Change;
  addSeeds(Update.m_coordinators);
  if (Update.m_term < m_term)
    return Change;
  absl::Duration Age = absl::Microseconds(Update.m_ageMicros);
  bool Fresh =
      Update.m_leads || (Update.m_relays && Age <= m_options.m_maxRelayAge);
  if (!Fresh) {
    // Only a hint: followed if nobody responds, or if it points to a newer
    // term.
    followHint(Now, Update, Change);
    return Change;
  }
  if (Update.m_term > m_term) {
    m_term = Update.m_term;
    m_sequence = 0;
    m_complete = false;
    Change.m_leaderChanged = true;
  }
  m_leader = Update.m_leader;
  m_lastResponse = Now;
  setSource(Now, Update.m_source.empty() ? Update.m_leader : Update.m_source);
  applyEntries(Now, std::max<std::int64_t>(1, Update.m_entries));
  // The state was confirmed by the leader no earlier than `Age` before the
  // relay responded, and the request was sent before that.
  if (Update.m_echoMicros > 0) {
    Instant Asked = absl::FromUnixMicros(Update.m_echoMicros);
    m_leaseUntil = std::max(m_leaseUntil, Asked - Age + m_options.m_lease);
    Change.m_coldGrants = Update.m_coldGrants;
    Change.m_coldGrantsUntil = Asked + ColdGrantLifetime;
  }
  if (Update.m_routingVersion > m_routingVersion &&
      !Update.m_routingDocument.empty()) {
    Change.m_routingDocument =
        decompress(Update.m_routingDocument, internal::MaxDocumentBytes);
    Change.m_routingVersion = Update.m_routingVersion;
  }
  Change.m_suspects = Update.m_suspects;
  Change.m_limits = Update.m_limits;
  if (Update.m_peers)
    m_peers = *Update.m_peers;
  applyUses(Now, Update);
  // An update that starts after the held state would leave a gap. The next
  // request states what is held.
  std::uint64_t Held = m_sequence;
  if (Update.m_from <= m_sequence)
    applyTargets(Update, Change);
  if (Update.m_confirm && m_sequence > Held)
    confirmSoon(Now);
  return Change;
}

void FeedFollower::applyEntries(Instant Now, std::int64_t Entries) {
  m_entries = Entries;
  if (Entries < m_possibleEntries &&
      Now - m_possibleEntriesAt < m_options.m_holdEntries)
    return;
  m_possibleEntries = Entries;
  m_possibleEntriesAt = Now;
}

void FeedFollower::applyUses(Instant Now, const FeedUpdate &Update) {
  Result<std::vector<TargetUse>, FleetError> Uses = decodeUses(Update.m_uses);
  if (!Uses)
    return;
  m_requestsOfOthers.clear();
  for (const TargetUse &Use : Uses.value())
    m_requestsOfOthers[Use.m_target] = Use.m_requests;
  for (const TargetUse &Own : m_reportedUses) {
    auto Found = m_requestsOfOthers.find(Own.m_target);
    if (Found != m_requestsOfOthers.end())
      Found->second = std::max<std::int64_t>(0, Found->second - Own.m_requests);
  }
  m_othersUpdatedAt = Now;
}

void FeedFollower::endTarget(const TargetId &Id, FeedChange &Change) {
  m_listedInTerm.erase(Id);
  if (m_targets.erase(Id) > 0)
    Change.m_ended.push_back(Id);
}

void FeedFollower::endUnlisted(const FeedUpdate &Update, FeedChange &Change) {
  std::set<TargetId> Listed;
  for (const ServingTarget &Target : Update.m_targets)
    Listed.insert(Target.m_id);
  std::vector<TargetId> Ended;
  for (const auto &[Id, Term] : m_listedInTerm)
    if (Term == Update.m_term && Listed.count(Id) == 0)
      Ended.push_back(Id);
  for (const TargetId &Id : Ended)
    endTarget(Id, Change);
}

void FeedFollower::applyTargets(const FeedUpdate &Update, FeedChange &Change) {
  if (Update.m_sequence < m_sequence)
    return;
  if (Update.m_from == 0)
    endUnlisted(Update, Change);
  for (const ServingTarget &Target : Update.m_targets) {
    ServingTarget &Known = m_targets[Target.m_id];
    if (!(Known == Target)) {
      if (Known.m_id.empty())
        Change.m_listed.push_back(Target.m_id);
      else if (Known.m_generation != Target.m_generation)
        Change.m_ended.push_back(Target.m_id);
      Known = Target;
      Change.m_targetsChanged = true;
    }
    m_listedInTerm[Target.m_id] = Update.m_term;
  }
  for (const TargetId &Removed : Update.m_removed)
    endTarget(Removed, Change);
  if (Update.m_complete && !m_complete) {
    // The new leader has heard from all live servers, so targets that it never
    // listed have ended.
    std::vector<TargetId> Ended;
    for (const auto &[Id, Target] : m_targets) {
      auto Listed = m_listedInTerm.find(Id);
      if (Listed == m_listedInTerm.end() || Listed->second != Update.m_term)
        Ended.push_back(Id);
    }
    for (const TargetId &Id : Ended)
      endTarget(Id, Change);
  }
  m_complete = Update.m_complete;
  m_sequence = Update.m_sequence;
  Change.m_targetsChanged = Change.m_targetsChanged || !Change.m_ended.empty();
}

std::int64_t FeedFollower::requestsOfOthers(const TargetId &Target) const {
  auto Found = m_requestsOfOthers.find(Target);
  return Found == m_requestsOfOthers.end() ? 0 : Found->second;
}

} // namespace turmericdyke
