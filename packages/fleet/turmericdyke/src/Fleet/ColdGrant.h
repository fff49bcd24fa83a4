#pragma once

#include <cstddef>
#include <cstdint>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// How long a permission to send to a cold target may be used, from when the
/// node sent the request that it was granted for. Nodes ask every 250 ms, so
/// every other response must renew it, with a margin for a late one.
inline constexpr absl::Duration ColdGrantLifetime = absl::Milliseconds(650);
/// Grants in one message.
inline constexpr std::size_t MaxColdGrants = 8;

/// The leader lets one entry node send one request to a cold target.
struct ColdGrant {
  TargetId m_target;
  /// See `ServingTarget::m_generation`.
  std::uint64_t m_generation = 0;
};

} // namespace turmericdyke
