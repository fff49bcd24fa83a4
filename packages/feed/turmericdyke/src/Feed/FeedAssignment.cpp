#include "turmericdyke/src/Feed/FeedAssignment.h"

#include <utility>

#include "turmericdyke/src/Base/StableHash.h"

namespace turmericdyke {

namespace internal {
namespace {

/// With fewer relays than this, the loss of one would move too many clients at
/// once.
constexpr std::size_t MinRelays = 2;

} // namespace
} // namespace internal

NodeId assignedCoordinator(const FeedClient &Client, std::int64_t Clients,
                           std::int64_t MaxOfLeader, const NodeId &Leader,
                           absl::Span<const NodeId> Coordinators,
                           const CoordinatorDomains &Domains) {
  if (Clients <= MaxOfLeader || Coordinators.size() < internal::MinRelays + 1)
    return Leader;
  NodeId Best = Leader;
  // Compared by failure domain first, then by hash.
  std::pair<bool, std::uint64_t> BestRank;
  for (const NodeId &Node : Coordinators) {
    if (Node == Leader)
      continue;
    auto Domain = Domains.find(Node);
    bool Near =
        Domain != Domains.end() && Domain->second == Client.m_failureDomain;
    std::pair Rank(Near, stableHash({Client.m_name, Node.str()}));
    if (Best != Leader && Rank <= BestRank)
      continue;
    Best = Node;
    BestRank = Rank;
  }
  return Best;
}

} // namespace turmericdyke
