#include "turmericdyke/src/Feed/FeedAssignment.h"

#include <string_view>
#include <utility>

namespace turmericdyke {

namespace internal {
namespace {

/// With fewer relays than this, the loss of one would move too many clients at
/// once.
constexpr std::size_t MinRelays = 2;

constexpr std::uint64_t FnvOffset = 0xcbf29ce484222325;
constexpr std::uint64_t FnvPrime = 0x100000001b3;

/// A hash that is the same in all processes, which absl::Hash is not.
std::uint64_t stableHash(std::string_view A, std::string_view B) {
  std::uint64_t Hash = FnvOffset;
  for (std::string_view Part : {A, B})
    for (char Byte : Part)
      Hash = (Hash ^ static_cast<unsigned char>(Byte)) * FnvPrime;
  // FNV mixes the last bytes into the low bits only.
  Hash ^= Hash >> 32;
  Hash *= 0xd6e8feb86659fd93;
  return Hash ^ (Hash >> 32);
}

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
    std::pair Rank(Near, internal::stableHash(Client.m_name, Node.str()));
    if (Best != Leader && Rank <= BestRank)
      continue;
    Best = Node;
    BestRank = Rank;
  }
  return Best;
}

} // namespace turmericdyke
