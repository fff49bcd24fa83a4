#pragma once

#include <cstdint>
#include <map>
#include <set>
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
  /// is available. It becomes a candidate again when it returns, so a mistake
  /// costs two changes of the voter set.
  absl::Duration m_replaceAfter = absl::Seconds(2);
  /// A coordinator that was silent for this long is not a candidate.
  absl::Duration m_silentAfter = absl::Seconds(3);
  absl::Duration m_announceInterval = absl::Seconds(1);
  /// A non-voter is removed after being silent for this long.
  absl::Duration m_forgetAfter = absl::Seconds(60);
};

/// What the leader of the replicated log knows of the other coordinators.
struct ReplicationStatus {
  std::vector<NodeId> m_voters;
  /// Nodes that acknowledge heartbeats.
  std::vector<NodeId> m_responding;
  /// Nodes that have enough of the log to vote.
  std::vector<NodeId> m_caughtUp;
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
  /// Records whether another coordinator is about to stop, so that its vote is
  /// handed over while it still takes part.
  void setLeaving(const NodeId &Node, bool Leaving);
  /// Records that this node is about to stop, and makes it known at once.
  void leave(Instant Now);
  bool isLeaving() const { return m_leaving.contains(m_self); }

  /// All other coordinators, heard from or only listed by others.
  std::vector<NodeId> others() const;
  /// How long a coordinator has not been heard from: 0 for this node, infinite
  /// for an unknown one.
  absl::Duration silence(Instant Now, const NodeId &Node) const;
  /// The coordinators that this node has heard from lately, itself included.
  std::vector<NodeId> live(Instant Now) const;
  /// The voter set that a leader should move to from the current one. A lost
  /// voter is given up for another coordinator, and without one if the set is
  /// larger than desired: an extra lost voter raises the majority. The same
  /// holds for a voter that is about to stop. Only coordinators that stay,
  /// respond and have caught up are added.
  std::vector<NodeId> desiredVoters(Instant Now,
                                    const ReplicationStatus &Status) const;
  /// Whether this node's vote is not needed: there are more voters than
  /// desired, or a coordinator without a vote could take it over.
  bool canSpareVote(Instant Now, absl::Span<const NodeId> Voters) const;
  /// Whether this node should tell the others now whom it knows: once a second,
  /// and soon after it has learned of a coordinator. The next message is due
  /// after that.
  bool announcementDue(Instant Now);
  /// Removes coordinators that are neither voters nor heard from.
  void expire(Instant Now, absl::Span<const NodeId> Voters);

private:
  struct KnownNode {
    Instant m_discovered;
    Instant m_lastHeard = absl::InfinitePast();
  };
  bool isLost(Instant Now, const NodeId &Voter,
              const ReplicationStatus &Status) const;
  /// The voters to give up if possible, lost ones first.
  std::vector<NodeId> replaceable(Instant Now,
                                  const ReplicationStatus &Status) const;
  std::vector<NodeId> candidates(Instant Now,
                                 const ReplicationStatus &Status) const;

  NodeId m_self;
  CoordinatorRosterOptions m_options;
  std::map<NodeId, KnownNode> m_known;
  std::set<NodeId> m_leaving;
  Instant m_nextAnnouncement = absl::InfinitePast();
  CoordinatorDomains m_domains;
};

} // namespace turmericdyke
