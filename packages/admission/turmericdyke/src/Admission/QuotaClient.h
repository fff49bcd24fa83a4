#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "absl/types/span.h"
#include "turmericdyke/src/Admission/AdmissionRequest.h"
#include "turmericdyke/src/Admission/QuotaMessages.h"
#include "turmericdyke/src/Base/Instant.h"

namespace turmericdyke {

/// The leases of one node. A lease runs from the node's own send time, so it
/// ends here before it ends at the leader, however late the grant arrives. A
/// node that is cut off falls back to its floor of each limit.
class QuotaClient {
public:
  QuotaClient(NodeId Node, std::uint64_t Incarnation, QuotaOptions Options);

  QuotaRequest makeRequest(Instant Now, absl::Span<const QuotaDemand> Demands);
  /// Takes a grant, unless it is for another start of the node, answers an
  /// earlier request than the last one taken, or has run out on the way.
  void onGrant(Instant Now, const QuotaGrant &Grant);

  /// What this node may use of a limit that is declared as `Declared`.
  std::int64_t amount(Instant Now, const LimitId &Limit,
                      std::int64_t Declared) const;
  bool hasLease(Instant Now) const { return Now < m_expiry; }

private:
  struct Sent {
    std::uint64_t m_sequence = 0;
    Instant m_time;
  };

  NodeId m_node;
  std::uint64_t m_incarnation;
  QuotaOptions m_options;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_accepted = 0;
  /// Requests without an answer, oldest first, bounded.
  std::deque<Sent> m_sent;
  Instant m_expiry = absl::InfinitePast();
  std::map<LimitId, std::int64_t> m_amounts;
};

/// A customer's part on a node that may run `Leased` of its requests: the
/// capacity held is divided like the limit, rounded up, because a part of a
/// request cannot be held.
CustomerShare leasedShare(const Customer &Settings, std::int64_t Leased);

} // namespace turmericdyke
