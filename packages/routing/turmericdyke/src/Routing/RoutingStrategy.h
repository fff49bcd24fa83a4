#pragma once

#include <cstddef>
#include <optional>

#include "absl/random/bit_gen_ref.h"
#include "absl/types/span.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Routing/Candidate.h"

namespace turmericdyke {

/// Chooses the replica for a request.
class RoutingStrategy {
public:
  virtual ~RoutingStrategy() = default;

  /// Returns the index of the chosen candidate, or nothing if none is allowed.
  virtual std::optional<std::size_t>
  choose(Instant Now, absl::Span<const Candidate> Candidates,
         const RouteRequest &Request, absl::BitGenRef Random) = 0;
};

} // namespace turmericdyke
