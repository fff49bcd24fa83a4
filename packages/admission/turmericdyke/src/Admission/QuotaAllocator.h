#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "turmericdyke/src/Admission/QuotaMessages.h"
#include "turmericdyke/src/Base/Instant.h"

namespace turmericdyke {

/// Divides limits between nodes by demand, on the leader. Per node and limit
/// the largest unexpired lease counts, because the node may not have received a
/// later one; an acknowledged grant frees the earlier ones at once. The sum of
/// what counts never exceeds a limit that is not lowered. After a limit is
/// lowered, leases granted under the old one run out within the lease time.
///
/// A new leader does not know the leases of the old one, so it grants nothing
/// for the first lease time. It must hold the leader lease when it is
/// constructed, so that the old leader has stopped granting.
class QuotaAllocator {
public:
  QuotaAllocator(Instant Start, QuotaOptions Options);

  void setLimit(const LimitId &Limit, std::int64_t Amount);
  void removeLimit(const LimitId &Limit);

  /// The grant for a request; nothing for one that is repeated, late or too
  /// early after the start.
  std::optional<QuotaGrant> request(Instant Now, const QuotaRequest &Request);

private:
  struct Lease {
    std::uint64_t m_sequence = 0;
    Instant m_expiry;
    std::map<LimitId, std::int64_t> m_amounts;
  };
  struct Node {
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_sequence = 0;
    Instant m_lastHeard;
    std::map<LimitId, QuotaDemand> m_demands;
    std::vector<Lease> m_leases;
  };

  bool accept(Instant Now, const QuotaRequest &Request);
  void expire(Instant Now);
  std::int64_t counted(const Node &N, const LimitId &Limit) const;
  std::int64_t countedOfOthers(const NodeId &Id, const LimitId &Limit) const;
  std::int64_t target(Instant Now, const NodeId &Id, const LimitId &Limit,
                      std::int64_t Leasable) const;

  QuotaOptions m_options;
  Instant m_firstGrant;
  std::map<LimitId, std::int64_t> m_limits;
  std::map<NodeId, Node> m_nodes;
};

} // namespace turmericdyke
