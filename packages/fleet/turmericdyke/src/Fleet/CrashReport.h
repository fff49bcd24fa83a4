#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// Identifies what may make a request crash its target: a part of its prompt,
/// or the exact request. A hash that is the same in all processes.
using SuspectKey = std::uint64_t;

/// Keys of one request; further parts of its prompt are left out.
inline constexpr std::size_t MaxKeysOfRequest = 16;

/// A request with so many events beyond a crash has got past it. A target that
/// crashes may still have sent one event more than arrived.
inline constexpr std::uint64_t EventsPastCrash = 2;

/// An attempt that broke off as it does when the target crashes.
struct CrashReport {
  TargetId m_target;
  /// See `ServingTarget::m_generation`.
  std::uint64_t m_generation = 0;
  /// The target had begun to respond to this request. Otherwise the request may
  /// just have been waiting there.
  bool m_began = false;
  /// From the most widely shared key to the exact request. Parts of a prompt
  /// crash targets at the start of the response, so an attempt that had got
  /// past its start names the exact request only.
  std::vector<SuspectKey> m_keys;
  /// Events of the stream that had arrived, those of earlier attempts included.
  std::uint64_t m_events = 0;
  /// The attempt had got past the start of its response. All requests that run
  /// at a target report its crash, so this says little against any one of them.
  bool m_pastStart = false;
};

/// How far a request with a suspect key has got without a crash.
struct KeyProgress {
  /// The response has ended whole.
  static constexpr std::uint64_t Whole =
      std::numeric_limits<std::uint64_t>::max();

  SuspectKey m_key = 0;
  /// For the exact request, events of the stream. For a part of its prompt,
  /// events of the attempt.
  std::uint64_t m_events = EventsPastCrash;

  friend bool operator==(const KeyProgress &, const KeyProgress &) = default;
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
