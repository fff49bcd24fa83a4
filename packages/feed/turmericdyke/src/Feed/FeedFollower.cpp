#include "turmericdyke/src/Feed/FeedFollower.h"

#include <algorithm>
#include <cassert>

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
                           FeedFollowerOptions Options)
    : m_self(std::move(Self)), m_options(Options),
      m_coordinators(std::move(Seeds)) {
  assert(!m_coordinators.empty() && "an entry node needs at least one seed");
}

void FeedFollower::addSeeds(const std::vector<NodeId> &Seeds) {
  for (const NodeId &Seed : Seeds)
    if (std::find(m_coordinators.begin(), m_coordinators.end(), Seed) ==
        m_coordinators.end())
      m_coordinators.push_back(Seed);
}

std::vector<FeedFollower::OutgoingRequest> FeedFollower::tick(Instant Now) {
  std::vector<OutgoingRequest> Due;
  if (Now < m_nextRequest)
    return Due;
  m_nextRequest = Now + m_options.m_interval;
  FeedRequest Request;
  Request.m_node = m_self;
  Request.m_sentAtMicros = absl::ToUnixMicros(Now);
  Request.m_term = m_term;
  Request.m_sequence = m_sequence;
  Request.m_routingVersion = m_routingVersion;
  bool LeaderResponds = Now - m_lastResponse < m_options.m_responseTimeout;
  if (!m_leader.empty())
    Due.push_back({m_leader, Request});
  if (m_leader.empty() || !LeaderResponds) {
    m_nextCoordinator = (m_nextCoordinator + 1) % m_coordinators.size();
    if (m_coordinators[m_nextCoordinator] != m_leader)
      Due.push_back({m_coordinators[m_nextCoordinator], Request});
  }
  return Due;
}

FeedChange FeedFollower::receive(Instant Now, const FeedUpdate &Update) {
  FeedChange Change;
  addSeeds(Update.m_coordinators);
  if (Update.m_term < m_term)
    return Change;
  if (!Update.m_leads) {
    // Only a hint: followed if no leader responds, or if it points to a newer
    // term.
    bool LeaderResponds = Now - m_lastResponse < m_options.m_responseTimeout;
    if (!Update.m_leader.empty() && Update.m_leader != m_leader &&
        (!LeaderResponds || Update.m_term > m_term)) {
      m_leader = Update.m_leader;
      m_nextRequest = Now;
      Change.m_leaderChanged = true;
    }
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
  m_entries = std::max<std::int64_t>(1, Update.m_entries);
  if (Update.m_echoMicros > 0)
    m_leaseUntil =
        std::max(m_leaseUntil,
                 absl::FromUnixMicros(Update.m_echoMicros) + m_options.m_lease);
  if (Update.m_routingVersion > m_routingVersion &&
      !Update.m_routingDocument.empty()) {
    Change.m_routingDocument =
        decompress(Update.m_routingDocument, internal::MaxDocumentBytes);
    Change.m_routingVersion = Update.m_routingVersion;
  }
  m_requestsOfOthers.clear();
  for (const TargetUse &Use : Update.m_othersUse)
    m_requestsOfOthers[Use.m_target] = Use.m_requests;
  m_othersUpdatedAt = Now;
  // An update that starts after the held state would leave a gap. The next
  // request states what is held.
  if (Update.m_from <= m_sequence)
    applyTargets(Update, Change);
  return Change;
}

void FeedFollower::applyTargets(const FeedUpdate &Update, FeedChange &Change) {
  if (Update.m_sequence < m_sequence)
    return;
  for (const ServingTarget &Target : Update.m_targets) {
    ServingTarget &Known = m_targets[Target.m_id];
    if (!(Known == Target)) {
      if (!Known.m_id.empty() && Known.m_generation != Target.m_generation)
        Change.m_ended.push_back(Target.m_id);
      Known = Target;
      Change.m_targetsChanged = true;
    }
    m_listedInTerm[Target.m_id] = Update.m_term;
  }
  for (const TargetId &Removed : Update.m_removed) {
    m_listedInTerm.erase(Removed);
    if (m_targets.erase(Removed) > 0)
      Change.m_ended.push_back(Removed);
  }
  if (Update.m_complete && !m_complete) {
    // The new leader has heard from all live servers, so targets that it never
    // listed have ended.
    for (auto At = m_targets.begin(); At != m_targets.end();) {
      auto Listed = m_listedInTerm.find(At->first);
      if (Listed != m_listedInTerm.end() && Listed->second == Update.m_term) {
        ++At;
        continue;
      }
      Change.m_ended.push_back(At->first);
      At = m_targets.erase(At);
    }
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
