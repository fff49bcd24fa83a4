#pragma once

#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "absl/types/span.h"
#include "turmericdyke/src/Formation/PlannerInput.h"
#include "turmericdyke/src/Formation/PlannerOptions.h"

namespace turmericdyke::internal {

/// Counts how often each target was lost recently. A flapping target is held
/// down before it can be assigned again.
class TargetFlapTracker {
public:
  explicit TargetFlapTracker(const PlannerOptions &Options)
      : m_options(Options) {}

  void observe(Instant Now, absl::Span<const TargetView> Targets);
  /// Whether the hold-down time of the target has not elapsed yet, so that it
  /// must not be assigned.
  bool isHeldDown(const TargetId &Target, Instant Now) const;

private:
  struct Record {
    std::uint64_t m_incarnation = 0;
    bool m_present = true;
    int m_losses = 0;
    Instant m_lastLoss = absl::InfinitePast();
    Instant m_lastReturn = absl::InfinitePast();
    Instant m_lastObserved = absl::InfinitePast();
  };
  void observe(Instant Now, const TargetView &View, Record &Known) const;

  PlannerOptions m_options;
  absl::flat_hash_map<TargetId, Record> m_records;
  Instant m_lastCleanup = absl::InfinitePast();
};

} // namespace turmericdyke::internal
