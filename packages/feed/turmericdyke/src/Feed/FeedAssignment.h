#pragma once

#include <cstdint>
#include <map>
#include <string_view>

#include "absl/types/span.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// Failure domains of coordinators, as far as they are known.
using CoordinatorDomains = std::map<NodeId, FailureDomainId>;

/// An entry node or a server, and where it runs.
struct FeedClient {
  std::string_view m_name;
  FailureDomainId m_failureDomain;
};

/// Entry nodes that the leader feeds itself, four requests a second each. A
/// relay makes what nodes know of each other's requests older by a tenth of a
/// second, so it is used only where the leader needs it.
inline constexpr std::int64_t MaxEntryNodesOfLeader = 100;
/// Servers whose announcements the leader takes itself, one in 1.2 s each.
inline constexpr std::int64_t MaxServersOfLeader = 300;

/// Returns the coordinator that should feed an entry node, or take the
/// announcements of a server. With up to `MaxOfLeader` clients it is the
/// leader. With more, the
/// clients are spread over the other coordinators by rendezvous hashing, so
/// that the leader's load does not grow with their number, and a change of the
/// coordinators moves only the clients that it concerns. A coordinator in the
/// client's failure domain is preferred, so that the feed does not cross
/// between failure domains.
NodeId assignedCoordinator(const FeedClient &Client, std::int64_t Clients,
                           std::int64_t MaxOfLeader, const NodeId &Leader,
                           absl::Span<const NodeId> Coordinators,
                           const CoordinatorDomains &Domains);

} // namespace turmericdyke
