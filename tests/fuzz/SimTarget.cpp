#include "SimTarget.h"

namespace turmericdyke::fuzz {

namespace {

constexpr absl::Duration LoadTime = absl::Seconds(1);

} // namespace

bool SimTarget::follow(Instant Now, const Order &Received, bool ChecksFences) {
  if (Received.m_incarnation != m_announcement.m_incarnation ||
      m_announcement.m_state == TargetState::Leaving ||
      (ChecksFences &&
       Received.m_fencingToken < m_announcement.m_highestFencingToken))
    return false;
  m_announcement.m_highestFencingToken =
      std::max(m_announcement.m_highestFencingToken, Received.m_fencingToken);
  if (Received.m_kind == OrderKind::Drain) {
    m_announcement.m_state = TargetState::Draining;
    return true;
  }
  if (Received.m_kind == OrderKind::Release) {
    m_announcement.m_membership = {};
    m_announcement.m_state = TargetState::Idle;
    return true;
  }
  bool HasWeights = m_announcement.m_spec == Received.m_spec &&
                    m_announcement.m_state == TargetState::Ready;
  m_announcement.m_spec = Received.m_spec;
  m_announcement.m_membership = Received.m_membership;
  if (HasWeights)
    return true;
  m_announcement.m_state = TargetState::Loading;
  m_loadedAt = Now + LoadTime;
  return true;
}

void SimTarget::tick(Instant Now) {
  if (m_announcement.m_state == TargetState::Loading && Now >= m_loadedAt)
    m_announcement.m_state = TargetState::Ready;
}

TargetAnnouncement SimTarget::announce() {
  ++m_announcement.m_sequence;
  return m_announcement;
}

void SimTarget::restart() {
  ++m_announcement.m_incarnation;
  m_announcement.m_highestFencingToken = 0;
  m_announcement.m_membership = {};
  m_announcement.m_spec = {};
  m_announcement.m_state = m_announcement.m_kind == TargetKind::Service
                               ? TargetState::Ready
                               : TargetState::Idle;
  m_leavingSince = absl::InfiniteFuture();
  m_highestAccepted = 0;
}

void SimTarget::leave(Instant Now) {
  if (m_announcement.m_state == TargetState::Leaving)
    return;
  m_announcement.m_state = TargetState::Leaving;
  m_leavingSince = Now;
}

void SimTarget::onAnnounced(Instant Now, const TargetAnnouncement &Said) {
  m_lastHeard = Now;
  if (Said.m_state == TargetState::Ready)
    m_confirmations[{Said.m_membership.m_replica,
                     Said.m_membership.m_generation}] = {
        Said.m_incarnation, Said.m_membership, Said.m_spec, Now};
}

Instant SimTarget::confirmedAt(const Assignment &Value,
                               std::size_t Rank) const {
  auto Found = m_confirmations.find({Value.m_replica, Value.m_generation});
  if (Found == m_confirmations.end())
    return absl::InfinitePast();
  const Confirmation &Said = Found->second;
  bool Same = Said.m_incarnation == Value.m_members[Rank].m_incarnation &&
              Said.m_membership.m_rank == static_cast<std::int64_t>(Rank) &&
              Said.m_spec == Value.m_spec;
  return Same ? Said.m_at : absl::InfinitePast();
}

} // namespace turmericdyke::fuzz
