#pragma once

#include "absl/functional/function_ref.h"
#include "turmericdyke/src/Formation/PlannerInput.h"

namespace turmericdyke {

/// Returns a node's view of a target.
using TargetLookup = absl::FunctionRef<TargetView(const TargetId &)>;

/// Whether the member at `Rank` (0 to the number of members - 1) has joined the
/// replica: its last announcement is recent, comes from the recorded
/// incarnation and host, and names the replica, generation, rank and spec of
/// the assignment. It may still be loading weights.
bool memberHasJoined(const Assignment &Value, std::size_t Rank,
                     const TargetView &View, Instant Now);

/// Whether the member has joined, is ready and runs the accepted engine build.
bool memberIsReady(const Assignment &Value, std::size_t Rank,
                   const TargetView &View, Instant Now);

/// Whether a node may send new requests to a replica (invariant I1): the
/// assignment is active and has an accepted engine build, and every member is
/// ready. `Views` holds the members in rank order.
bool replicaServes(const Assignment &Value, absl::Span<const TargetView> Views,
                   Instant Now);
/// As above; looks up the views of the members.
bool replicaServes(const Assignment &Value, TargetLookup Lookup, Instant Now);

/// Whether a member may be assigned to another replica: it announces no replica
/// or a newer incarnation, or it has been silent for 8 s (`ReleaseSilence`).
/// For `ObservingSince` see `PlannerInput`.
bool isReleased(const AssignedMember &Member, const TargetView &View,
                Instant ObservingSince, Instant Now);

} // namespace turmericdyke
