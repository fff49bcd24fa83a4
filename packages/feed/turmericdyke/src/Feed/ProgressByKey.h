#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "turmericdyke/src/Fleet/CrashReport.h"

namespace turmericdyke {

/// Collects how far requests have got, for one message. Of several requests
/// with a key, the one that got farthest counts.
class ProgressByKey {
public:
  void add(const KeyProgress &Value);
  bool empty() const { return m_events.empty(); }
  /// Returns what was added since the last call.
  std::vector<KeyProgress> take();

private:
  std::map<SuspectKey, std::uint64_t> m_events;
};

} // namespace turmericdyke
