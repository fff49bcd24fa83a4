#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// Interval of a node's lease requests.
constexpr absl::Duration ReadLeaseInterval = absl::Milliseconds(500);
/// How long a lease runs from the node's own send time.
constexpr absl::Duration ReadLeaseLength = absl::Seconds(3);

/// A node's request for a read lease.
struct ReadLeaseRequest {
  NodeId m_node;
  std::uint64_t m_incarnation = 0;
  /// Send time on the node's own clock; the leader only returns it.
  std::int64_t m_sentAtMicros = 0;

  friend bool operator==(const ReadLeaseRequest &,
                         const ReadLeaseRequest &) = default;
};

/// The leader's answer to a `ReadLeaseRequest`.
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

/// What the grant rule needs to know of the consensus layer.
struct ReadLeaseLeader {
  bool m_holdsLeaderLease = false;
  std::uint64_t m_term = 0;
  std::uint64_t m_commitIndex = 0;
  /// Whether an entry of the leader's own term is committed. Before that, the
  /// commit index of a new leader may be behind what its predecessor
  /// acknowledged.
  bool m_committedInTerm = false;
};

/// The leader's rule: nothing is granted without a leader lease, or before an
/// entry of the own term is committed.
std::optional<ReadLeaseGrant> grantReadLease(const ReadLeaseRequest &Request,
                                             const ReadLeaseLeader &Leader);

/// The holder's side of the read lease. Lost grants are covered by the next
/// request; a grant counts once, for a request of this process that is at most
/// 3 s old, and from a leader no older than the newest seen.
class ReadLease {
public:
  /// `AppliedIndex` is what the node has applied when it starts.
  ReadLease(NodeId Node, std::uint64_t Incarnation,
            std::uint64_t AppliedIndex = 0);

  /// The request to send to the leader, every 500 ms.
  std::optional<ReadLeaseRequest> tick(Instant Now);
  /// Returns whether the grant was usable.
  bool receive(Instant Now, const ReadLeaseGrant &Grant);
  /// The node has applied the log up to `Index`.
  void applied(std::uint64_t Index);

  bool holds(Instant Now) const { return Now < m_validUntil; }
  Instant validUntil() const { return m_validUntil; }

private:
  struct Waiting {
    Instant m_sentAt;
    std::uint64_t m_commitIndex = 0;
  };
  void forgetOld(Instant Now);

  NodeId m_node;
  std::uint64_t m_incarnation;
  std::uint64_t m_appliedIndex;
  std::uint64_t m_highestTerm = 0;
  Instant m_lastSent = absl::InfinitePast();
  Instant m_validUntil = absl::InfinitePast();
  /// Send times of requests without an answer.
  std::deque<Instant> m_unanswered;
  /// Grants whose index is not yet applied.
  std::deque<Waiting> m_waiting;
};

} // namespace turmericdyke
