#pragma once

#include "absl/functional/function_ref.h"
#include "turmericdyke/src/Formation/PlannerInput.h"

namespace turmericdyke {

/// Gives a node's view of a target.
using TargetLookup = absl::FunctionRef<TargetView(const TargetId &)>;

/// Whether the member at `Rank` (in 0 to the number of members - 1) echoes its
/// place: it is fresh, under the recorded incarnation and host, and announces
/// replica, generation, rank and spec. It may still be loading.
bool memberEchoes(const Assignment &Value, std::size_t Rank,
                  const TargetView &View, Instant Now);

/// `memberEchoes`, and ready under the accepted build.
bool memberConfirms(const Assignment &Value, std::size_t Rank,
                    const TargetView &View, Instant Now);

/// Whether a node may send new work to a replica (I1): the assignment is active
/// and has an accepted build, and every member confirms. The views are those of
/// the members in rank order.
bool replicaServes(const Assignment &Value, absl::Span<const TargetView> Views,
                   Instant Now);
/// The same, with the views looked up.
bool replicaServes(const Assignment &Value, TargetLookup Lookup, Instant Now);

/// Whether a member may enter another assignment: it announces no replica, or a
/// newer incarnation, or nothing was heard of it for 8 s. `ObservingSince` is
/// as in `PlannerInput`.
bool isReleased(const AssignedMember &Member, const TargetView &View,
                Instant ObservingSince, Instant Now);

} // namespace turmericdyke
