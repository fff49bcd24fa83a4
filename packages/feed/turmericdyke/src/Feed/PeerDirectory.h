#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Feed/PeerSelection.h"

namespace turmericdyke {

struct FeedRequest;
struct FeedUpdate;

/// The entry nodes that take requests of others: those that this coordinator
/// hears from itself, and those that other coordinators have told it of. Names
/// each node its peers.
///
/// Relays exchange their nodes through the leader, as the nodes of one relay
/// are mostly of one failure domain, which may be cut off as a whole.
///
/// A list is sent with a response only, not as soon as it changes: nodes ask
/// every 250 ms, a peer that takes no more requests refuses them, and the cut
/// of a failure domain would change nearly all lists at once.
class PeerDirectory {
public:
  /// Takes over what the sender of a request states of itself, and adds its
  /// peers to the response if it holds another list.
  void respond(Instant Now, const FeedRequest &Request, FeedUpdate &Update);
  /// The peers that this coordinator hears from itself.
  PeerList own(Instant Now) const;
  /// Replaces what this coordinator, a relay, knows of the others' peers.
  void setElsewhere(const PeerList &Peers) { m_elsewhere = Peers; }
  std::uint64_t elsewhereVersion() const { return m_elsewhere.m_version; }

private:
  struct Entry {
    /// Empty if the node takes no requests of others.
    std::string m_relayAddress;
    FailureDomainId m_failureDomain;
    Instant m_lastHeard;
    /// The candidates that its list was last chosen from, and the version of
    /// that list.
    std::uint64_t m_chosenFrom = 0;
    std::uint64_t m_chosenVersion = 0;
  };
  /// What the leader was told by a relay.
  struct Offer {
    PeerList m_peers;
    Instant m_lastHeard;
    Instant m_nextUpdate;
  };
  Entry &record(Instant Now, const FeedRequest &Request);
  void respondToRelay(Instant Now, const FeedRequest &Request,
                      FeedUpdate &Update);
  bool hears(Instant Now, const NodeId &Node) const;
  /// All known peers, except those that only `Relay` has told of.
  std::vector<EntryPeer> known(Instant Now, const NodeId &Relay) const;
  /// Collects the candidates, unless that was done a few milliseconds ago.
  void collect(Instant Now);

  std::map<NodeId, Entry> m_entries;
  std::map<NodeId, Offer> m_offers;
  PeerList m_elsewhere;
  std::vector<EntryPeer> m_candidates;
  PeerSelection m_selection;
  /// Increases with each change of the candidates. Lists are chosen again only
  /// then: a choice among 1,000 takes some 10 us.
  std::uint64_t m_candidatesNumber = 0;
  Instant m_collectedAt = absl::InfinitePast();
  Instant m_lastHeard = absl::InfinitePast();
  /// When all entry nodes have had time to send a request.
  Instant m_settledAt = absl::InfiniteFuture();
};

} // namespace turmericdyke
