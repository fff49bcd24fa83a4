#pragma once

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "turmericdyke/src/Base/RequestClass.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// Work at one replica as one node knows it, in requests.
struct ReplicaLoad {
  /// Sent by this node and not finished; exact.
  std::int64_t m_outstandingShort = 0;
  std::int64_t m_outstandingLong = 0;
  /// Work of the other nodes: the last report less what this node had
  /// outstanding when the report was taken.
  std::int64_t m_othersShort = 0;
  std::int64_t m_othersLong = 0;
  /// Time since the report was taken; infinite when there is none.
  absl::Duration m_reportAge = absl::InfiniteDuration();
};

/// A complete and current replica that a request may be sent to.
struct Candidate {
  ReplicaId m_replica;
  std::uint64_t m_generation = 0;
  /// Requests that the replica runs at a time.
  std::int64_t m_slots = 8;
  /// Largest share of the slots that long requests may hold, in (0, 1].
  double m_longShare = 0.5;
  ReplicaLoad m_load;
  /// Observed speed relative to the median of the pool, in [0, 1]; see
  /// `StragglerTracker::weight`.
  double m_speedWeight = 1;
  /// A slow replica that a short request may measure again.
  bool m_probeDue = false;
  /// Part of the prompt that the replica is believed to have cached, in [0, 1].
  double m_prefixHit = 0;
};

/// What a routing strategy needs to know about a request.
struct RouteRequest {
  RequestClass m_class = RequestClass::Short;
  /// Hashes of growing prefixes of the prompt, see `prefixHashes`.
  std::vector<std::uint64_t> m_prefixHashes;
  /// Replicas that must not be chosen, for example the one that just failed.
  std::vector<ReplicaId> m_excluded;
};

/// Slots of a replica that long requests may hold: the declared share rounded
/// down, and at least one, so that a replica with one slot can serve them.
std::int64_t longSlots(const Candidate &C);

/// Whether a strategy may choose the candidate for the request: it is not
/// excluded and, for a long request, has a long slot free. Nodes decide alone,
/// so the bound on long requests is exact for the work of one node and as
/// current as the reports for the work of the others.
bool isAllowed(const Candidate &C, const RouteRequest &Request);

/// Indexes of the allowed candidates. Candidates of weight 0 are left out
/// unless there are no others.
std::vector<std::size_t>
allowedCandidates(absl::Span<const Candidate> Candidates,
                  const RouteRequest &Request);

} // namespace turmericdyke
