#include "turmericdyke/src/Coordinator/ClusterMembers.h"

#include <utility>

#include "turmericdyke/src/Feed/CoordinatorRoster.h"
#include "turmericdyke/src/Node/ControlCore.h"

namespace turmericdyke {

namespace internal {
namespace {

ReplicationStatus replicationStatus(const Raft &Log) {
  ReplicationStatus Status;
  for (const Voter &Member : Log.voters().m_voters)
    Status.m_voters.push_back(Member.m_node);
  for (const PeerStatus &Peer : Log.peers()) {
    if (Peer.m_responds)
      Status.m_responding.push_back(Peer.m_node);
    if (Peer.m_caughtUp)
      Status.m_caughtUp.push_back(Peer.m_node);
  }
  return Status;
}

} // namespace
} // namespace internal

VoterPlan updateClusterMembers(Instant Now, CoordinatorRoster &Roster,
                               ControlCore &Core) {
  ReplicationStatus Status = internal::replicationStatus(Core.raft());
  for (const NodeId &Voter : Status.m_voters)
    Roster.discovered(Now, Voter);
  std::vector<NodeId> Wanted = Roster.desiredVoters(Now, Status);
  Core.setClusterMembers(Roster.others(), Wanted);
  Roster.expire(Now, Status.m_voters);
  return {std::move(Status.m_voters), std::move(Wanted)};
}

bool mayHandVoteOver(Instant Now, const CoordinatorRoster &Roster,
                     const ControlCore &Core) {
  return Core.raft().isVoter() &&
         Roster.canSpareVote(Now,
                             internal::replicationStatus(Core.raft()).m_voters);
}

} // namespace turmericdyke
