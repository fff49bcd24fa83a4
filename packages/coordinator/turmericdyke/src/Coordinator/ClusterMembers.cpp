#include "turmericdyke/src/Coordinator/ClusterMembers.h"

#include "turmericdyke/src/Feed/CoordinatorRoster.h"
#include "turmericdyke/src/Node/ControlCore.h"

namespace turmericdyke {

VoterPlan updateClusterMembers(Instant Now, CoordinatorRoster &Roster,
                               ControlCore &Core) {
  VoterPlan Plan;
  for (const Voter &Member : Core.raft().voters().m_voters) {
    Plan.m_voters.push_back(Member.m_node);
    Roster.discovered(Now, Member.m_node);
  }
  Plan.m_wanted = Roster.desiredVoters(Now, Plan.m_voters);
  Core.setClusterMembers(Roster.others(), Plan.m_wanted);
  Roster.expire(Now, Plan.m_voters);
  return Plan;
}

} // namespace turmericdyke
