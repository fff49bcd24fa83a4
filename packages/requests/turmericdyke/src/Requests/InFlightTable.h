#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// One running attempt as a crash report needs it.
struct InFlightAttempt {
  AttemptId m_attempt;
  RequestId m_request;
  CustomerId m_customer;
  /// SHA-256 of the request body, which is how a resent request is recognised.
  std::string m_digest;
};

/// The attempts that run at each replica generation from this node. When a
/// target dies, everything its replica was running is suspect.
class InFlightTable {
public:
  void start(const ReplicaId &Replica, std::uint64_t Generation,
             const InFlightAttempt &Attempt);
  void finish(const ReplicaId &Replica, std::uint64_t Generation,
              const AttemptId &Attempt);
  /// Takes all attempts of a replica generation out of the table.
  std::vector<InFlightAttempt> takeAll(const ReplicaId &Replica,
                                       std::uint64_t Generation);
  std::size_t count(const ReplicaId &Replica, std::uint64_t Generation) const;
  bool empty() const { return m_running.empty(); }

private:
  using Key = std::pair<ReplicaId, std::uint64_t>;
  absl::flat_hash_map<Key, absl::flat_hash_map<AttemptId, InFlightAttempt>>
      m_running;
};

} // namespace turmericdyke
