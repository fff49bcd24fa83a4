#include "turmericdyke/src/Formation/ReplicaPredicate.h"

#include <algorithm>
#include <cassert>

#include "turmericdyke/src/Formation/PlannerOptions.h"

namespace turmericdyke {

bool memberHasJoined(const Assignment &Value, std::size_t Rank,
                     const TargetView &View, Instant Now) {
  assert(Rank < Value.m_members.size() && "rank out of range");
  if (View.m_announcement == nullptr || Now - View.m_lastHeard > FreshnessBound)
    return false;
  const TargetAnnouncement &Announcement = *View.m_announcement;
  const AssignedMember &Member = Value.m_members[Rank];
  return Announcement.m_target == Member.m_target &&
         Announcement.m_host == Member.m_host &&
         Announcement.m_incarnation == Member.m_incarnation &&
         Announcement.m_fabricDomain == Value.m_fabricDomain &&
         Announcement.m_membership.m_replica == Value.m_replica &&
         Announcement.m_membership.m_generation == Value.m_generation &&
         Announcement.m_membership.m_rank == static_cast<std::int64_t>(Rank) &&
         Announcement.m_spec == Value.m_spec;
}

bool memberIsReady(const Assignment &Value, std::size_t Rank,
                   const TargetView &View, Instant Now) {
  return memberHasJoined(Value, Rank, View, Now) &&
         View.m_announcement->m_state == TargetState::Ready &&
         !Value.m_acceptedBuild.empty() &&
         View.m_announcement->m_engineBuild == Value.m_acceptedBuild;
}

bool replicaServes(const Assignment &Value, absl::Span<const TargetView> Views,
                   Instant Now) {
  assert(Views.size() == Value.m_members.size() &&
         "exactly one view per member is required");
  if (Value.m_phase != AssignmentPhase::Active || Views.empty())
    return false;
  for (std::size_t Rank = 0; Rank < Views.size(); ++Rank)
    if (!memberIsReady(Value, Rank, Views[Rank], Now))
      return false;
  return true;
}

bool replicaServes(const Assignment &Value, TargetLookup Lookup, Instant Now) {
  std::vector<TargetView> Views;
  Views.reserve(Value.m_members.size());
  for (const AssignedMember &Member : Value.m_members)
    Views.push_back(Lookup(Member.m_target));
  return replicaServes(Value, Views, Now);
}

bool isReleased(const AssignedMember &Member, const TargetView &View,
                Instant ObservingSince, Instant Now) {
  Instant Heard = std::max(View.m_lastHeard, ObservingSince);
  if (Now - Heard >= ReleaseSilence)
    return true;
  if (View.m_announcement == nullptr)
    return false;
  const TargetAnnouncement &Announcement = *View.m_announcement;
  if (Announcement.m_incarnation != Member.m_incarnation)
    return Announcement.m_incarnation > Member.m_incarnation;
  return Announcement.m_membership.m_replica.empty();
}

} // namespace turmericdyke
