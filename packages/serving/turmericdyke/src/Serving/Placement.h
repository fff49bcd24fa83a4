#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/random/bit_gen_ref.h"
#include "absl/types/span.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Fleet/FeedMessage.h"

namespace turmericdyke {

/// A target that could take a request, with what this node knows of it.
struct PlacementOption {
  const ServingTarget *m_target = nullptr;
  /// Requests of this node there, exact.
  std::int64_t m_own = 0;
  /// Requests of the other nodes there, as last heard.
  std::int64_t m_others = 0;
  absl::Duration m_othersAge = absl::ZeroDuration();
  /// Failed lately; used only if nothing else is left.
  bool m_avoided = false;
  /// Its streams have sent nothing for a moment; used if nothing better has
  /// room.
  bool m_quiet = false;
};

struct PlacementOptions {
  /// Requests that may wait at a target for each of its slots. A target takes
  /// what its slots hold and queues the rest; what waits there cannot go
  /// elsewhere any more.
  double m_waitingPerSlot = 0.25;
};

enum class PlacementOutcome {
  Placed,
  /// There is no target for the request.
  NoTarget,
  /// Every target has all that it can take.
  AllFull
};

std::string_view nameOf(PlacementOutcome Outcome);

struct PlacementDecision {
  PlacementOutcome m_outcome = PlacementOutcome::NoTarget;
  /// Index into the options.
  std::size_t m_index = 0;
  /// Work at the chosen target, or at the least loaded one, in requests for
  /// each slot.
  double m_load = 0;
};

/// Chooses the target for one request. Answers the load of several nodes that
/// decide alone, each with an exact count of its own work and a late count of
/// the others'.
PlacementDecision place(absl::Span<const PlacementOption> Options,
                        const PlacementOptions &Settings,
                        absl::BitGenRef Random);

} // namespace turmericdyke
