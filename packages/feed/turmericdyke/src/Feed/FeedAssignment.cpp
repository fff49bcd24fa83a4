#include "turmericdyke/src/Feed/FeedAssignment.h"

#include <string_view>

namespace turmericdyke {

namespace internal {
namespace {

/// Up to this many clients the leader serves them itself, which saves a hop.
constexpr std::int64_t MaxClientsOfLeader = 40;
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

NodeId assignedCoordinator(std::string_view Client, std::int64_t Clients,
                           const NodeId &Leader,
                           absl::Span<const NodeId> Coordinators) {
  if (Clients <= internal::MaxClientsOfLeader ||
      Coordinators.size() < internal::MinRelays + 1)
    return Leader;
  const NodeId *Best = &Leader;
  std::uint64_t BestHash = 0;
  for (const NodeId &Node : Coordinators) {
    if (Node == Leader)
      continue;
    std::uint64_t Hash = internal::stableHash(Client, Node.str());
    if (Best != &Leader && Hash <= BestHash)
      continue;
    Best = &Node;
    BestHash = Hash;
  }
  return *Best;
}

} // namespace turmericdyke
