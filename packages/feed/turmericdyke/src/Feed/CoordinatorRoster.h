#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "absl/types/span.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Feed/FeedAssignment.h"

namespace turmericdyke {

struct CoordinatorRosterOptions {
  /// Desired number of voters: twice the number of tolerated host losses, plus
  /// one.
  std::size_t m_voters = 3;
  /// A voter that was silent for this long is replaced if another coordinator
  /// is available. Restarts and freezes of a few seconds must not change the
  /// voter set.
  absl::Duration m_replaceAfter = absl::Seconds(6);
  /// A coordinator that was silent for this long is not a candidate.
  absl::Duration m_silentAfter = absl::Seconds(3);
  /// A non-voter is removed after being silent for this long.
  absl::Duration m_forgetAfter = absl::Seconds(60);
};

/// The coordinators known to this node, discovered through the seeds and from
/// each other, and the voters that the replicated log should have.
class CoordinatorRoster {
public:
  CoordinatorRoster(NodeId Self, CoordinatorRosterOptions Options);

  /// Records where a coordinator runs.
  void setDomain(const NodeId &Node, const FailureDomainId &Domain);
  const CoordinatorDomains &domains() const { return m_domains; }
  /// Records a message from a coordinator.
  void heardFrom(Instant Now, const NodeId &From);
  /// Records that another coordinator listed this one.
  void discovered(Instant Now, const NodeId &Node);
  void addSeeds(Instant Now, absl::Span<const NodeId> Seeds);

  /// All other coordinators, heard from or only listed by others.
  std::vector<NodeId> others() const;
  /// How long a coordinator has not been heard from: 0 for this node, infinite
  /// for an unknown one.
  absl::Duration silence(Instant Now, const NodeId &Node) const;
  /// The coordinators that this node has heard from lately, itself included.
  std::vector<NodeId> live(Instant Now) const;
  /// The voter set that a leader should move to from the current one. A lost
  /// voter is given up for another coordinator, and without one if the set is
  /// larger than desired: an extra lost voter raises the majority.
  std::vector<NodeId> desiredVoters(Instant Now,
                                    absl::Span<const NodeId> Voters) const;
  /// Removes coordinators that are neither voters nor heard from.
  void expire(Instant Now, absl::Span<const NodeId> Voters);

private:
  struct KnownNode {
    Instant m_discovered;
    Instant m_lastHeard = absl::InfinitePast();
  };

  NodeId m_self;
  CoordinatorRosterOptions m_options;
  std::map<NodeId, KnownNode> m_known;
  CoordinatorDomains m_domains;
};

} // namespace turmericdyke
