#pragma once

#include <cstddef>

#include "absl/types/span.h"
#include "turmericdyke/src/Base/Instant.h"

namespace turmericdyke {

/// Chooses the head among the members of a new group, which alone gets
/// requests, by when each member ceases to be cold: the first that is not cold,
/// or else the one that is cold for the shortest time. There must be a member.
std::size_t chooseHead(Instant Now, absl::Span<const Instant> ColdUntil);

} // namespace turmericdyke
