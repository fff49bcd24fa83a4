#pragma once

#include <cstdint>

#include "absl/types/span.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// Returns the coordinator that should feed an entry node, or take the
/// announcements of a server, named `Client`. With few clients it is the
/// leader. With many, the clients are spread over the other coordinators by
/// rendezvous hashing, so that the leader's load does not grow with their
/// number, and a change of the coordinators moves only the clients that it
/// concerns.
NodeId assignedCoordinator(std::string_view Client, std::int64_t Clients,
                           const NodeId &Leader,
                           absl::Span<const NodeId> Coordinators);

} // namespace turmericdyke
