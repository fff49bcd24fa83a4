#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// Limits that a message may hold. A receiver refuses a longer list, and the
/// message with it.
inline constexpr std::size_t MaxTargetLimits = 4096;

/// What a target has stated of the requests that it takes from all nodes
/// together.
struct TargetLimit {
  TargetId m_target;
  /// See `ServingTarget::m_instance`.
  std::uint64_t m_instance = 0;
  /// Requests a second; nothing if the target has withdrawn its limit.
  std::optional<double> m_perSecond;
  /// How long ago the target stated this, in microseconds.
  std::int64_t m_ageMicros = 0;
};

/// The limits that the leader knows.
struct TargetLimitList {
  /// Changes with the limits, but not with their age; 0 if there are none.
  std::uint64_t m_version = 0;
  std::vector<TargetLimit> m_limits;
};

} // namespace turmericdyke
