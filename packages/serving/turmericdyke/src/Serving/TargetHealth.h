#pragma once

#include <map>

#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

struct TargetHealthOptions {
  /// After one failure a target is avoided for this long, and for twice as long
  /// after each further one: a crashed server is back after some seconds.
  absl::Duration m_firstPause = absl::Milliseconds(500);
  absl::Duration m_longestPause = absl::Seconds(8);
};

/// What this node's own attempts say about targets. A target that failed is
/// avoided for a while; one request then tries it again.
class TargetHealth {
public:
  explicit TargetHealth(TargetHealthOptions Options = {});

  void failed(Instant Now, const TargetId &Target);
  void succeeded(const TargetId &Target);
  void forget(const TargetId &Target);

  /// Whether requests should go elsewhere if they can.
  bool avoided(Instant Now, const TargetId &Target) const;

private:
  struct Record {
    int m_failures = 0;
    Instant m_until;
  };

  TargetHealthOptions m_options;
  std::map<TargetId, Record> m_records;
};

} // namespace turmericdyke
