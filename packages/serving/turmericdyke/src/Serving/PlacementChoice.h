#pragma once

#include <cstddef>

#include "absl/random/bit_gen_ref.h"
#include "absl/types/span.h"

namespace turmericdyke {

struct ReportedLoad;

/// Draws `Draws` targets, each with a probability in proportion to its deficit,
/// and returns the one with the least load of this node's own requests for its
/// capacity. At least one deficit must be above 0, and `Draws` at least 1.
std::size_t chooseByDeficit(absl::Span<const ReportedLoad> Reports,
                            absl::Span<const double> Deficits,
                            std::size_t Draws, absl::BitGenRef Random);

} // namespace turmericdyke
