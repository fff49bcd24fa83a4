#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// Identifies what may make a request crash its target: a part of its prompt,
/// or the exact request. A hash that is the same in all processes.
using SuspectKey = std::uint64_t;

/// Keys of one request; further parts of its prompt are left out.
inline constexpr std::size_t MaxKeysOfRequest = 16;

/// An attempt that broke off before or at the start of its response, as it does
/// when the target crashes.
struct CrashReport {
  TargetId m_target;
  /// See `ServingTarget::m_generation`.
  std::uint64_t m_generation = 0;
  /// The target had begun to respond to this request. Otherwise the request may
  /// just have been waiting there.
  bool m_began = false;
  /// From the most widely shared key to the exact request.
  std::vector<SuspectKey> m_keys;
};

/// What the leader knows of requests that crash their targets.
struct SuspectLists {
  /// Changes with the lists; 0 if both are empty.
  std::uint64_t m_version = 0;
  /// Keys of recent crashes. Entry nodes report which of them are sound.
  std::vector<SuspectKey> m_suspects;
  /// Requests with one of these keys are refused.
  std::vector<SuspectKey> m_refused;
};

} // namespace turmericdyke
