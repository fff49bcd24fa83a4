#pragma once

#include <map>

#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

struct TargetHealthOptions {
  /// A target is avoided for this long after one failure, and twice as long
  /// after each further one: a crashed server is back after some seconds.
  absl::Duration m_initialBackoff = absl::Milliseconds(500);
  absl::Duration m_maxBackoff = absl::Seconds(8);
};

/// Tracks failures of targets in this node's own attempts. A failed target is
/// avoided for a while and then tried again.
class TargetHealth {
public:
  explicit TargetHealth(TargetHealthOptions Options = {});

  void recordFailure(Instant Now, const TargetId &Target);
  void recordSuccess(const TargetId &Target);
  void forget(const TargetId &Target);

  /// Whether requests should prefer other targets.
  bool isAvoided(Instant Now, const TargetId &Target) const;

private:
  struct Record {
    int m_failures = 0;
    Instant m_until;
  };

  TargetHealthOptions m_options;
  std::map<TargetId, Record> m_records;
};

} // namespace turmericdyke
