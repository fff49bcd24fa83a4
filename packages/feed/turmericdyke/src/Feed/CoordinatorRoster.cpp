#include "turmericdyke/src/Feed/CoordinatorRoster.h"

#include <algorithm>

namespace turmericdyke {

namespace internal {
namespace {

bool contains(const std::vector<NodeId> &Nodes, const NodeId &Node) {
  return std::find(Nodes.begin(), Nodes.end(), Node) != Nodes.end();
}

} // namespace
} // namespace internal

CoordinatorRoster::CoordinatorRoster(NodeId Self,
                                     CoordinatorRosterOptions Options)
    : m_self(std::move(Self)), m_options(Options) {}

void CoordinatorRoster::setDomain(const NodeId &Node,
                                  const FailureDomainId &Domain) {
  m_domains[Node] = Domain;
}

void CoordinatorRoster::heardFrom(Instant Now, const NodeId &From) {
  if (From == m_self)
    return;
  KnownNode &Entry = m_known[From];
  // The others learn of a new coordinator at once, so that the leader can send
  // it the log.
  if (Now - Entry.m_lastHeard >= m_options.m_silentAfter)
    m_nextAnnouncement = Now;
  Entry.m_discovered = Now;
  Entry.m_lastHeard = Now;
}

void CoordinatorRoster::discovered(Instant Now, const NodeId &Node) {
  // Being listed by others does not refresh an entry, or two nodes would keep a
  // dead coordinator alive for each other.
  if (Node != m_self)
    m_known.try_emplace(Node, KnownNode{Now, absl::InfinitePast()});
}

void CoordinatorRoster::addSeeds(Instant Now, absl::Span<const NodeId> Seeds) {
  for (const NodeId &Seed : Seeds)
    discovered(Now, Seed);
}

void CoordinatorRoster::setLeaving(const NodeId &Node, bool Leaving) {
  if (Leaving)
    m_leaving.insert(Node);
  else
    m_leaving.erase(Node);
}

void CoordinatorRoster::leave(Instant Now) {
  setLeaving(m_self, true);
  m_nextAnnouncement = Now;
}

std::vector<NodeId> CoordinatorRoster::others() const {
  std::vector<NodeId> All;
  for (const auto &[Node, Entry] : m_known)
    All.push_back(Node);
  return All;
}

absl::Duration CoordinatorRoster::silence(Instant Now,
                                          const NodeId &Node) const {
  if (Node == m_self)
    return absl::ZeroDuration();
  auto Found = m_known.find(Node);
  // The silence of a coordinator that was never heard starts when it was
  // discovered.
  if (Found == m_known.end())
    return absl::InfiniteDuration();
  return Now - std::max(Found->second.m_lastHeard, Found->second.m_discovered);
}

std::vector<NodeId> CoordinatorRoster::live(Instant Now) const {
  std::vector<NodeId> Live = {m_self};
  for (const auto &[Node, Entry] : m_known)
    if (Now - Entry.m_lastHeard < m_options.m_silentAfter)
      Live.push_back(Node);
  return Live;
}

/// A voter that was silent towards this node may still respond to the leader's
/// heartbeats, whose messages can be queued while this node is busy.
bool CoordinatorRoster::isLost(Instant Now, const NodeId &Voter,
                               const ReplicationStatus &Status) const {
  return silence(Now, Voter) >= m_options.m_replaceAfter &&
         !internal::contains(Status.m_responding, Voter);
}

std::vector<NodeId>
CoordinatorRoster::replaceable(Instant Now,
                               const ReplicationStatus &Status) const {
  std::vector<NodeId> Voters;
  for (const NodeId &Voter : Status.m_voters)
    if (isLost(Now, Voter, Status))
      Voters.push_back(Voter);
  // A leader that stops first gives up its leadership; its successor replaces
  // it.
  for (const NodeId &Voter : Status.m_voters)
    if (Voter != m_self && m_leaving.contains(Voter) &&
        !internal::contains(Voters, Voter))
      Voters.push_back(Voter);
  return Voters;
}

bool CoordinatorRoster::canSpareVote(Instant Now,
                                     absl::Span<const NodeId> Voters) const {
  std::vector<NodeId> Live = live(Now);
  return Voters.size() > m_options.m_voters ||
         std::any_of(Live.begin(), Live.end(), [&](const NodeId &Node) {
           return std::find(Voters.begin(), Voters.end(), Node) ==
                      Voters.end() &&
                  !m_leaving.contains(Node);
         });
}

std::vector<NodeId>
CoordinatorRoster::candidates(Instant Now,
                              const ReplicationStatus &Status) const {
  std::vector<NodeId> Candidates = live(Now);
  std::erase_if(Candidates, [&](const NodeId &Node) {
    return internal::contains(Status.m_voters, Node) ||
           m_leaving.contains(Node) ||
           !internal::contains(Status.m_responding, Node) ||
           !internal::contains(Status.m_caughtUp, Node);
  });
  return Candidates;
}

std::vector<NodeId>
CoordinatorRoster::desiredVoters(Instant Now,
                                 const ReplicationStatus &Status) const {
  std::vector<NodeId> Candidates = candidates(Now, Status);
  std::vector<NodeId> Desired = Status.m_voters;
  auto TakeCandidate = [&] {
    Desired.push_back(Candidates.back());
    Candidates.pop_back();
  };
  while (Desired.size() < m_options.m_voters && !Candidates.empty())
    TakeCandidate();
  for (const NodeId &Voter : replaceable(Now, Status)) {
    if (Desired.size() <= m_options.m_voters) {
      if (Candidates.empty())
        break;
      TakeCandidate();
    }
    std::erase(Desired, Voter);
  }
  return Desired;
}

bool CoordinatorRoster::announcementDue(Instant Now) {
  if (Now < m_nextAnnouncement)
    return false;
  m_nextAnnouncement = Now + m_options.m_announceInterval;
  return true;
}

void CoordinatorRoster::expire(Instant Now, absl::Span<const NodeId> Voters) {
  std::erase_if(m_leaving, [this](const NodeId &Node) {
    return Node != m_self && !m_known.contains(Node);
  });
  std::erase_if(m_domains, [this](const auto &Entry) {
    return Entry.first != m_self && !m_known.contains(Entry.first);
  });
  std::erase_if(m_known, [&](const auto &Entry) {
    return silence(Now, Entry.first) >= m_options.m_forgetAfter &&
           std::find(Voters.begin(), Voters.end(), Entry.first) == Voters.end();
  });
}

} // namespace turmericdyke
