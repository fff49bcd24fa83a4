#pragma once

#include <vector>

#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

class ControlCore;
class CoordinatorRoster;

/// The voters of the replicated log, and those that its leader moves to.
struct VoterPlan {
  std::vector<NodeId> m_voters;
  std::vector<NodeId> m_wanted;
};

/// How often `updateClusterMembers` must be called. Each change of the voter
/// set takes one call.
constexpr absl::Duration MembersInterval = absl::Milliseconds(100);

/// Tells the core which coordinators receive the log and which should vote, and
/// the roster which ones vote.
VoterPlan updateClusterMembers(Instant Now, CoordinatorRoster &Roster,
                               ControlCore &Core);

/// Whether a node that stops should go on voting for a moment, because its vote
/// can be handed over to a coordinator that has none.
bool mayHandVoteOver(Instant Now, const CoordinatorRoster &Roster,
                     const ControlCore &Core);

} // namespace turmericdyke
