#include "turmericdyke/src/Feed/PeerSelection.h"

#include <algorithm>
#include <cmath>
#include <string>

#include <fmt/format.h>

#include "turmericdyke/src/Base/StableHash.h"
#include "turmericdyke/src/Feed/FeedAssignment.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Ranks a candidate for a receiver by the hashes of their names: hashing the
/// names of each pair would cost a coordinator of 1,000 nodes a tenth of a
/// core.
std::uint64_t rankOf(std::uint64_t Receiver, std::uint64_t Candidate) {
  // Not symmetric, so that two nodes do not choose each other more often.
  std::uint64_t Mixed = Receiver * 0x9e3779b97f4a7c15 + Candidate;
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xbf58476d1ce4e5b9;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94d049bb133111eb;
  return Mixed ^ (Mixed >> 31);
}

/// Rounds the share of a failure domain, to at least one peer. Receivers round
/// up at different points, by `Hash`, or one node that comes or goes could
/// change the share of a domain for all of them. Shares near a whole number,
/// those of equally large domains, are the same for all.
std::size_t roundedShare(double Exact, std::uint64_t Hash) {
  constexpr double LowestPoint = 0.4;
  constexpr double HighestPoint = 0.6;
  double Fraction = std::ldexp(static_cast<double>(Hash >> 11), -53);
  double Shift = 1 - HighestPoint + (HighestPoint - LowestPoint) * Fraction;
  return std::max<std::size_t>(1, static_cast<std::size_t>(Exact + Shift));
}

} // namespace
} // namespace internal

std::uint64_t peersVersion(const std::vector<EntryPeer> &Peers) {
  std::string Text;
  for (const EntryPeer &Peer : Peers)
    Text += fmt::format("{}/{}/{};", Peer.m_node.str(), Peer.m_relayAddress,
                        Peer.m_failureDomain.str());
  return Text.empty() ? 0 : stableHash({Text});
}

PeerSelection::PeerSelection(std::vector<EntryPeer> Candidates) {
  for (EntryPeer &Peer : Candidates) {
    std::uint64_t Hash = stableHash({Peer.m_node.str()});
    std::vector<Candidate> &Domain = m_domains[Peer.m_failureDomain];
    Domain.push_back({std::move(Peer), Hash});
  }
}

std::vector<PeerSelection::Ranked>
PeerSelection::best(const std::vector<Candidate> &Candidates,
                    const FeedClient &Receiver) {
  std::uint64_t Hash = stableHash({Receiver.m_name});
  std::vector<Ranked> Ranking;
  Ranking.reserve(Candidates.size());
  for (const Candidate &Value : Candidates)
    if (Value.m_peer.m_node.str() != Receiver.m_name)
      Ranking.push_back({&Value, internal::rankOf(Hash, Value.m_hash)});
  std::size_t Kept = std::min(Ranking.size(), PeersOfNode);
  std::partial_sort(
      Ranking.begin(), Ranking.begin() + static_cast<std::ptrdiff_t>(Kept),
      Ranking.end(),
      [](const Ranked &A, const Ranked &B) { return A.m_rank > B.m_rank; });
  Ranking.resize(Kept);
  return Ranking;
}

std::vector<PeerSelection::Ranked>
PeerSelection::bestElsewhere(const FeedClient &Receiver,
                             std::size_t Slots) const {
  std::size_t Candidates = 0;
  for (const auto &[Domain, Members] : m_domains)
    if (Domain != Receiver.m_failureDomain)
      Candidates += Members.size();
  std::vector<Ranked> All;
  for (const auto &[Domain, Members] : m_domains) {
    if (Domain == Receiver.m_failureDomain)
      continue;
    double Exact = static_cast<double>(Slots * Members.size()) /
                   static_cast<double>(Candidates);
    std::size_t Share = internal::roundedShare(
        Exact, stableHash({Receiver.m_name, Domain.str()}));
    for (Ranked &Value : best(Members, Receiver)) {
      Value.m_share = Share;
      All.push_back(Value);
    }
  }
  std::sort(All.begin(), All.end(), [](const Ranked &A, const Ranked &B) {
    return A.m_rank > B.m_rank;
  });
  return All;
}

void PeerSelection::chooseByShare(std::vector<Ranked> &Ranking,
                                  std::size_t Slots) {
  std::map<FailureDomainId, std::size_t> Taken;
  for (Ranked &Value : Ranking) {
    if (Slots == 0)
      return;
    std::size_t &OfDomain = Taken[Value.m_candidate->m_peer.m_failureDomain];
    if (OfDomain == Value.m_share)
      continue;
    ++OfDomain;
    Value.m_chosen = true;
    --Slots;
  }
  for (Ranked &Value : Ranking) {
    if (Slots == 0)
      return;
    if (Value.m_chosen)
      continue;
    Value.m_chosen = true;
    --Slots;
  }
}

PeerList PeerSelection::choose(const FeedClient &Receiver) const {
  std::vector<Ranked> Near;
  auto Own = m_domains.find(Receiver.m_failureDomain);
  if (Own != m_domains.end())
    Near = best(Own->second, Receiver);
  std::size_t Slots = PeersOfNode - std::min(Near.size(), NearPeersOfNode);
  std::vector<Ranked> Elsewhere = bestElsewhere(Receiver, Slots);
  chooseByShare(Elsewhere, Slots);
  // Without enough candidates elsewhere, more of the own domain are taken.
  Near.resize(
      std::min(Near.size(), PeersOfNode - std::min(Slots, Elsewhere.size())));
  PeerList List;
  for (const Ranked &Value : Near)
    List.m_peers.push_back(Value.m_candidate->m_peer);
  for (const Ranked &Value : Elsewhere)
    if (Value.m_chosen)
      List.m_peers.push_back(Value.m_candidate->m_peer);
  List.m_version = peersVersion(List.m_peers);
  return List;
}

} // namespace turmericdyke
