#pragma once

#include <cstdint>

#include "absl/time/time.h"

namespace turmericdyke {

/// Input of `mayPassOn`.
struct PassOnInput {
  /// Another entry node has passed the request on to this one.
  bool m_relayed = false;
  /// Attempts of this request so far that were offered to no target, because
  /// this node is cut off or another one refused to carry the request.
  std::int64_t m_earlierAttempts = 0;
  absl::Duration m_timeLeft;
};

/// Whether an entry node that is cut off from targets may ask another one to
/// carry a request. A request is passed on over one hop only, and only a few
/// nodes are asked: when most nodes are cut off, the others are at their limit.
bool mayPassOn(const PassOnInput &Input);

} // namespace turmericdyke
