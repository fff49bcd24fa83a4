#include "turmericdyke/src/Feed/PeerDirectory.h"

#include <utility>

#include "turmericdyke/src/Feed/FeedAssignment.h"
#include "turmericdyke/src/Fleet/FeedMessage.h"

namespace turmericdyke {

namespace internal {
namespace {

/// A node that was silent for this long, four missed requests, is no peer.
constexpr absl::Duration PeerTimeout = absl::Seconds(1);
/// Candidates are collected again after this time; nodes ask every 250 ms.
constexpr absl::Duration CollectInterval = absl::Milliseconds(50);
/// Lists are withheld for two request intervals after the first entry node was
/// heard. Until the others are known too, the first ones keep the list of the
/// coordinator before this one.
constexpr absl::Duration SettleTime = absl::Milliseconds(500);
/// A relay is told of the others' peers at most once in this time: 750 of them
/// are 40 KB.
constexpr absl::Duration ExchangeInterval = absl::Milliseconds(500);
/// A new leader tells a relay of the others' peers when it has heard of them
/// from the other relays; each sends them at most once in 500 ms.
constexpr absl::Duration ExchangeSettleTime = absl::Seconds(1);
/// The peers of a relay that was silent for this long are forgotten; relays ask
/// every 50 ms.
constexpr absl::Duration RelayTimeout = absl::Seconds(2);

} // namespace
} // namespace internal

PeerDirectory::Entry &PeerDirectory::record(Instant Now,
                                            const FeedRequest &Request) {
  if (Now - m_lastHeard >= internal::PeerTimeout)
    m_settledAt = Now + internal::SettleTime;
  m_lastHeard = Now;
  Entry &State = m_entries[Request.m_node];
  State.m_relayAddress = Request.m_stopping ? "" : Request.m_relayAddress;
  State.m_failureDomain = Request.m_failureDomain;
  State.m_lastHeard = Now;
  return State;
}

bool PeerDirectory::hears(Instant Now, const NodeId &Node) const {
  auto Found = m_entries.find(Node);
  return Found != m_entries.end() &&
         Now - Found->second.m_lastHeard < internal::PeerTimeout;
}

PeerList PeerDirectory::own(Instant Now) const {
  PeerList List;
  for (const auto &[Node, State] : m_entries)
    if (!State.m_relayAddress.empty() &&
        Now - State.m_lastHeard < internal::PeerTimeout &&
        List.m_peers.size() < MaxExchangedPeers)
      List.m_peers.push_back(
          {Node, State.m_relayAddress, State.m_failureDomain});
  List.m_version = peersVersion(List.m_peers);
  return List;
}

std::vector<EntryPeer> PeerDirectory::known(Instant Now,
                                            const NodeId &Relay) const {
  std::map<NodeId, EntryPeer> Known;
  auto Add = [&](const PeerList &List) {
    // What a node states here is newer than what others have heard of it.
    for (const EntryPeer &Peer : List.m_peers)
      if (!hears(Now, Peer.m_node))
        Known.try_emplace(Peer.m_node, Peer);
  };
  Add(m_elsewhere);
  for (const auto &[Node, Told] : m_offers)
    if (Node != Relay && Now - Told.m_lastHeard < internal::RelayTimeout)
      Add(Told.m_peers);
  std::vector<EntryPeer> Peers = own(Now).m_peers;
  for (auto &[Node, Peer] : Known)
    Peers.push_back(std::move(Peer));
  return Peers;
}

void PeerDirectory::collect(Instant Now) {
  if (Now - m_collectedAt < internal::CollectInterval)
    return;
  m_collectedAt = Now;
  std::erase_if(m_entries, [Now](const auto &Known) {
    return Now - Known.second.m_lastHeard >= internal::PeerTimeout;
  });
  std::vector<EntryPeer> Candidates = known(Now, NodeId());
  if (Candidates == m_candidates)
    return;
  m_candidates = std::move(Candidates);
  m_selection = PeerSelection(m_candidates);
  ++m_candidatesNumber;
}

void PeerDirectory::respondToRelay(Instant Now, const FeedRequest &Request,
                                   FeedUpdate &Update) {
  auto [At, New] = m_offers.try_emplace(Request.m_node);
  Offer &Told = At->second;
  if (New)
    Told.m_nextUpdate = Now + internal::ExchangeSettleTime;
  Told.m_lastHeard = Now;
  if (Request.m_offeredPeers)
    Told.m_peers = *Request.m_offeredPeers;
  Update.m_offeredVersion = Told.m_peers.m_version;
  if (Now < Told.m_nextUpdate)
    return;
  Told.m_nextUpdate = Now + internal::ExchangeInterval;
  PeerList Elsewhere;
  Elsewhere.m_peers = known(Now, Request.m_node);
  if (Elsewhere.m_peers.size() > MaxExchangedPeers)
    Elsewhere.m_peers.resize(MaxExchangedPeers);
  Elsewhere.m_version = peersVersion(Elsewhere.m_peers);
  if (Elsewhere.m_version != Request.m_peersVersion)
    Update.m_peersElsewhere = std::move(Elsewhere);
}

void PeerDirectory::respond(Instant Now, const FeedRequest &Request,
                            FeedUpdate &Update) {
  // A coordinator that is only asked for help knows other nodes than the
  // source; their two lists would replace each other in turn.
  if (!Request.m_follows)
    return;
  if (Request.m_relay)
    return respondToRelay(Now, Request, Update);
  Entry &State = record(Now, Request);
  if (Now < m_settledAt)
    return;
  collect(Now);
  if (State.m_chosenFrom == m_candidatesNumber &&
      State.m_chosenVersion == Request.m_peersVersion)
    return;
  PeerList List =
      m_selection.choose({Request.m_node.str(), Request.m_failureDomain});
  State.m_chosenFrom = m_candidatesNumber;
  State.m_chosenVersion = List.m_version;
  if (List.m_version != Request.m_peersVersion)
    Update.m_peers = std::move(List);
}

} // namespace turmericdyke
