#pragma once

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "turmericdyke/src/Base/RequestClass.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// Outstanding requests at one replica, as known to one node.
struct ReplicaLoad {
  /// Requests that this node sent and that have not finished; exact.
  std::int64_t m_outstandingShort = 0;
  std::int64_t m_outstandingLong = 0;
  /// Estimated requests of the other nodes: the last report minus the requests
  /// that this node had outstanding when the report was taken.
  std::int64_t m_othersShort = 0;
  std::int64_t m_othersLong = 0;
  /// Time since the report was taken; infinite if there is none.
  absl::Duration m_reportAge = absl::InfiniteDuration();
};

/// A replica that serves and may receive the request.
struct Candidate {
  ReplicaId m_replica;
  std::uint64_t m_generation = 0;
  /// Largest number of requests that the replica runs concurrently.
  std::int64_t m_slots = 8;
  /// Largest fraction of the slots that long requests may occupy, in (0, 1].
  double m_longShare = 0.5;
  ReplicaLoad m_load;
  /// Observed speed relative to the median of the pool, in [0, 1]; see
  /// `StragglerTracker::weight`.
  double m_speedWeight = 1;
  /// Whether the replica is slow and due for a probe by a short request.
  bool m_probeDue = false;
  /// Estimated fraction of the prompt in the prefix cache of the replica, in
  /// [0, 1].
  double m_cachedPrefixFraction = 0;
};

/// The properties of a request that routing depends on.
struct RouteRequest {
  RequestClass m_class = RequestClass::Short;
  /// Hashes of prefixes of the prompt in increasing length; see `prefixHashes`.
  std::vector<std::uint64_t> m_prefixHashes;
  /// Replicas that must not be chosen, for example because an attempt there
  /// just failed.
  std::vector<ReplicaId> m_excluded;
};

/// Slots of a replica that long requests may occupy: the declared fraction,
/// rounded down, but at least one, so that a replica with a single slot can
/// serve them.
std::int64_t longSlots(const Candidate &C);

/// Whether a strategy may choose the candidate for the request: it is not
/// excluded and, for a long request, has a slot free for long requests. Each
/// node decides independently, so the limit on long requests is exact for the
/// requests of this node and as accurate as the last report for those of the
/// others.
bool isAllowed(const Candidate &C, const RouteRequest &Request);

/// Indexes of the allowed candidates. Candidates with speed weight 0 are
/// included only if there are no others.
std::vector<std::size_t>
allowedCandidates(absl::Span<const Candidate> Candidates,
                  const RouteRequest &Request);

} // namespace turmericdyke
