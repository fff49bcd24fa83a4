#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "absl/synchronization/mutex.h"
#include "turmericdyke/src/Edge/ClusterView.h"

namespace turmericdyke {

/// Chooses a replica for each attempt and counts this node's outstanding work
/// on it.
class ReplicaRouter {
public:
  /// The serving replica of the pool with the least outstanding work, apart
  /// from the excluded ones. Counts the attempt as started.
  std::optional<ServingReplica> start(const ClusterView &View,
                                      const std::string &Pool,
                                      const std::set<ReplicaId> &Excluded);
  void finish(const ReplicaId &Replica);

private:
  absl::Mutex m_lock;
  std::map<ReplicaId, std::int64_t> m_outstanding ABSL_GUARDED_BY(m_lock);
};

} // namespace turmericdyke
