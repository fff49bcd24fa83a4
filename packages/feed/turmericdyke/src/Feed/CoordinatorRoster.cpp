#include "turmericdyke/src/Feed/CoordinatorRoster.h"

#include <algorithm>

namespace turmericdyke {

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

std::vector<NodeId>
CoordinatorRoster::desiredVoters(Instant Now,
                                 absl::Span<const NodeId> Voters) const {
  std::vector<NodeId> Candidates;
  for (const NodeId &Node : live(Now))
    if (std::find(Voters.begin(), Voters.end(), Node) == Voters.end())
      Candidates.push_back(Node);
  std::vector<NodeId> Desired(Voters.begin(), Voters.end());
  auto TakeCandidate = [&] {
    Desired.push_back(Candidates.back());
    Candidates.pop_back();
  };
  while (Desired.size() < m_options.m_voters && !Candidates.empty())
    TakeCandidate();
  for (const NodeId &Voter : Voters) {
    if (silence(Now, Voter) < m_options.m_replaceAfter)
      continue;
    if (Desired.size() <= m_options.m_voters) {
      if (Candidates.empty())
        break;
      TakeCandidate();
    }
    std::erase(Desired, Voter);
  }
  return Desired;
}

void CoordinatorRoster::expire(Instant Now, absl::Span<const NodeId> Voters) {
  std::erase_if(m_domains, [this](const auto &Entry) {
    return Entry.first != m_self && !m_known.contains(Entry.first);
  });
  std::erase_if(m_known, [&](const auto &Entry) {
    return silence(Now, Entry.first) >= m_options.m_forgetAfter &&
           std::find(Voters.begin(), Voters.end(), Entry.first) == Voters.end();
  });
}

} // namespace turmericdyke
