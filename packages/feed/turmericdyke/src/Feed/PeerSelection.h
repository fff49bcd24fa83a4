#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "turmericdyke/src/Fleet/PeerList.h"

namespace turmericdyke {

struct FeedClient;

/// Peers of one entry node. If half of all nodes reach no target, 98 of 100
/// still have a sound peer on the list that they held before.
inline constexpr std::size_t PeersOfNode = 6;
/// Of these, in the node's own failure domain, as traffic between failure
/// domains is dearer. The others are still sound if the whole domain is cut
/// off.
inline constexpr std::size_t NearPeersOfNode = 2;

/// The version of a list of these peers.
std::uint64_t peersVersion(const std::vector<EntryPeer> &Peers);

/// Chooses for each entry node a few others that take its requests while it
/// reaches no target.
///
/// Candidates are ranked by rendezvous hashing of both names, so that each is
/// chosen about equally often, and one that comes or goes changes only the
/// lists that it enters or leaves. The candidates of other failure domains are
/// taken from each domain by its share of them.
class PeerSelection {
public:
  PeerSelection() = default;
  explicit PeerSelection(std::vector<EntryPeer> Candidates);

  /// The peers of this node, at most `PeersOfNode`, those of its own failure
  /// domain first. The node itself may be a candidate and is left out.
  PeerList choose(const FeedClient &Receiver) const;

private:
  struct Candidate {
    EntryPeer m_peer;
    std::uint64_t m_hash = 0;
  };
  /// A candidate for one receiver.
  struct Ranked {
    const Candidate *m_candidate = nullptr;
    std::uint64_t m_rank = 0;
    /// How many peers its failure domain may provide.
    std::size_t m_share = 0;
    bool m_chosen = false;
  };
  /// The best candidates of one failure domain, best first.
  static std::vector<Ranked> best(const std::vector<Candidate> &Candidates,
                                  const FeedClient &Receiver);
  /// The best candidates of all failure domains but the receiver's, best first.
  std::vector<Ranked> bestElsewhere(const FeedClient &Receiver,
                                    std::size_t Slots) const;
  /// Marks up to `Slots` candidates as chosen: those within the shares of their
  /// failure domains first.
  static void chooseByShare(std::vector<Ranked> &Ranking, std::size_t Slots);

  std::map<FailureDomainId, std::vector<Candidate>> m_domains;
};

} // namespace turmericdyke
