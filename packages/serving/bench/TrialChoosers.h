#pragma once

#include <cstddef>

#include "PlacementTrial.h"
#include "turmericdyke/Routing"

namespace turmericdyke::bench {

/// The decision before reports were interpreted: the lowest score of some
/// candidates drawn at random, among the targets with room by report.
Chooser weighted(const WeightedOptions &Settings = {});

/// The least loaded by report of some targets drawn at random. With one draw, a
/// random target.
Chooser leastOf(std::size_t Draws);

} // namespace turmericdyke::bench
