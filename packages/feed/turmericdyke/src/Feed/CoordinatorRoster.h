#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "absl/types/span.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

struct CoordinatorRosterOptions {
  /// Voters wanted: twice the hosts that may be lost, and one.
  std::size_t m_voters = 3;
  /// A voter that was silent for this long is replaced, if another coordinator
  /// is there to take its place. Restarts and freezes of a few seconds must not
  /// change the voter set.
  absl::Duration m_replaceAfter = absl::Seconds(6);
  /// A coordinator that was silent for this long is no candidate.
  absl::Duration m_silentAfter = absl::Seconds(3);
  /// One that is no voter is forgotten after this time.
  absl::Duration m_forgetAfter = absl::Seconds(60);
};

/// The coordinators that this node knows, found through the seeds and from each
/// other, and the voters that the replicated log should have.
class CoordinatorRoster {
public:
  CoordinatorRoster(NodeId Self, CoordinatorRosterOptions Options);

  /// A message came from a coordinator.
  void heard(Instant Now, const NodeId &From);
  /// A coordinator was named by another one.
  void named(Instant Now, const NodeId &Node);
  void addSeeds(Instant Now, absl::Span<const NodeId> Seeds);

  /// All others, heard of or only named.
  std::vector<NodeId> others() const;
  /// The ones that this node has heard from lately, itself included.
  std::vector<NodeId> live(Instant Now) const;
  /// The voters that a leader should bring about from the present ones.
  std::vector<NodeId> desiredVoters(Instant Now,
                                    absl::Span<const NodeId> Voters) const;
  /// Forgets what is neither a voter nor heard from.
  void expire(Instant Now, absl::Span<const NodeId> Voters);

private:
  struct Known {
    Instant m_named;
    Instant m_heard = absl::InfinitePast();
  };
  bool silent(Instant Now, const NodeId &Node, absl::Duration For) const;

  NodeId m_self;
  CoordinatorRosterOptions m_options;
  std::map<NodeId, Known> m_known;
};

} // namespace turmericdyke
