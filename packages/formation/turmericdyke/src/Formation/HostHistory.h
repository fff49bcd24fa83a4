#pragma once

#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "absl/types/span.h"
#include "turmericdyke/src/Formation/PlannerInput.h"
#include "turmericdyke/src/Formation/PlannerOptions.h"

namespace turmericdyke::internal {

/// Remembers how often each target was lost, so that one that comes and goes is
/// not chosen again at once.
class HostHistory {
public:
  explicit HostHistory(const PlannerOptions &Options) : m_options(Options) {}

  void observe(Instant Now, absl::Span<const TargetView> Targets);
  /// Whether the target must wait before it enters an assignment.
  bool isHeldDown(const TargetId &Target, Instant Now) const;

private:
  struct Record {
    std::uint64_t m_incarnation = 0;
    bool m_present = true;
    int m_losses = 0;
    Instant m_lastLoss = absl::InfinitePast();
    Instant m_returned = absl::InfinitePast();
    Instant m_seen = absl::InfinitePast();
  };
  void observe(Instant Now, const TargetView &View, Record &Known) const;

  PlannerOptions m_options;
  absl::flat_hash_map<TargetId, Record> m_records;
  Instant m_cleaned = absl::InfinitePast();
};

} // namespace turmericdyke::internal
