#pragma once

#include <cstdint>
#include <vector>

#include "turmericdyke/src/Feed/CrashAttribution.h"

namespace turmericdyke {

class ControlState;
struct MarkSuspects;

/// Whether the key was refused in the past and is marked in the replicated
/// state.
bool wasRefused(const ControlState &State, SuspectKey Key);

/// The commands that have requests with a guilty key refused, by all leaders to
/// come and after restarts.
std::vector<MarkSuspects>
refusalCommands(const CrashAttribution::Verdict &Verdict);

/// The lists for entry nodes: the keys refused by the replicated state, and the
/// suspects of this leader.
SuspectLists suspectLists(const ControlState &State,
                          std::vector<SuspectKey> Suspects);

} // namespace turmericdyke
