#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// Interval between lease requests of a node.
constexpr absl::Duration ReadLeaseInterval = absl::Milliseconds(500);
/// Duration of a lease from the time at which the node sent its request.
constexpr absl::Duration ReadLeaseLength = absl::Seconds(3);

/// A node's request for a read lease.
struct ReadLeaseRequest {
  NodeId m_node;
  std::uint64_t m_incarnation = 0;
  /// Send time on the node's clock; the leader only echoes it.
  std::int64_t m_sentAtMicros = 0;

  friend bool operator==(const ReadLeaseRequest &,
                         const ReadLeaseRequest &) = default;
};

/// The leader's response to a `ReadLeaseRequest`.
struct ReadLeaseGrant {
  NodeId m_node;
  std::uint64_t m_incarnation = 0;
  std::int64_t m_sentAtMicros = 0;
  std::uint64_t m_term = 0;
  /// The node holds the lease once it has applied this log index.
  std::uint64_t m_commitIndex = 0;

  friend bool operator==(const ReadLeaseGrant &,
                         const ReadLeaseGrant &) = default;
};

/// The consensus state that decides whether a leader may grant read leases.
struct ReadLeaseLeaderState {
  bool m_holdsLeaderLease = false;
  std::uint64_t m_term = 0;
  std::uint64_t m_commitIndex = 0;
  /// Whether an entry of the leader's term is committed. Until then, the commit
  /// index of a new leader may be lower than the index up to which its
  /// predecessor acknowledged commands.
  bool m_committedInTerm = false;
};

/// Grants a read lease if the leader holds its leader lease and has committed
/// an entry of its own term.
std::optional<ReadLeaseGrant>
grantReadLease(const ReadLeaseRequest &Request,
               const ReadLeaseLeaderState &Leader);

/// The holder's side of the read lease. If a grant is lost, the next request
/// renews the lease. A grant is used only once, for a request that this process
/// sent less than 3 s ago, and only if its term is not below the highest one
/// seen.
class ReadLease {
public:
  /// `AppliedIndex` is the last applied log index at startup.
  ReadLease(NodeId Node, std::uint64_t Incarnation,
            std::uint64_t AppliedIndex = 0);

  /// The request to send to the leader; one every 500 ms.
  std::optional<ReadLeaseRequest> tick(Instant Now);
  /// Returns whether the grant was valid.
  bool receive(Instant Now, const ReadLeaseGrant &Grant);
  /// The node has applied the log up to `Index`.
  void applied(std::uint64_t Index);

  bool holds(Instant Now) const { return Now < m_validUntil; }
  Instant validUntil() const { return m_validUntil; }

private:
  struct PendingGrant {
    Instant m_sentAt;
    std::uint64_t m_commitIndex = 0;
  };
  void dropExpired(Instant Now);

  NodeId m_node;
  std::uint64_t m_incarnation;
  std::uint64_t m_appliedIndex;
  std::uint64_t m_highestTerm = 0;
  Instant m_lastSent = absl::InfinitePast();
  Instant m_validUntil = absl::InfinitePast();
  /// Send times of unanswered requests.
  std::deque<Instant> m_unanswered;
  /// Grants whose commit index is not yet applied.
  std::deque<PendingGrant> m_pendingGrants;
};

} // namespace turmericdyke
