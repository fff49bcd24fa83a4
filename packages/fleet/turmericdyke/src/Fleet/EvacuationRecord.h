#pragma once

#include <cstdint>

namespace turmericdyke {

/// The last order on the evacuation of one failure domain.
struct EvacuationRecord {
  /// Nothing more is sent to the servers of the failure domain.
  bool m_inForce = false;
  /// Log index of the order that last started or ended the evacuation. A
  /// repeated order does not change it.
  std::uint64_t m_changedAt = 0;

  friend bool operator==(const EvacuationRecord &,
                         const EvacuationRecord &) = default;
};

} // namespace turmericdyke
