#pragma once

#include <optional>

#include "absl/time/time.h"

namespace turmericdyke {

/// What a target states of itself in the header of a response.
struct TargetSignal {
  /// Requests a second that it takes from all nodes together; nothing if it
  /// names no limit.
  std::optional<double> m_perSecond;
  /// It is about to stop and takes no further requests.
  bool m_leaving = false;
  /// It rejected the request and wants no other one from this node for so long.
  std::optional<absl::Duration> m_pause;
  /// How much longer it stays cold; nothing if it does not say.
  std::optional<absl::Duration> m_coldFor;
};

} // namespace turmericdyke
