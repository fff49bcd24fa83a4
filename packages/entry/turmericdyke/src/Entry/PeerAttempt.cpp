#include "turmericdyke/src/Entry/PeerAttempt.h"

#include <utility>

#include "turmericdyke/src/Entry/AttemptRequest.h"
#include "turmericdyke/src/Entry/EntryServices.h"
#include "turmericdyke/src/Entry/FirstEventTime.h"
#include "turmericdyke/src/Fleet/EntryPeer.h"

namespace turmericdyke {

namespace internal {
namespace {

ServingTarget destinationOf(const EntryPeer &Peer, const ServiceId &Service) {
  ServingTarget Value;
  Value.m_id = TargetId(Peer.m_node.str());
  Value.m_service = Service;
  Value.m_address = Peer.m_relayAddress;
  Value.m_failureDomain = Peer.m_failureDomain;
  return Value;
}

} // namespace
} // namespace internal

PeerAttempt::PeerAttempt(EntryServices &Services, EntryExchange &Owner,
                         AttemptEvents &Events, const EntryPeer &Peer,
                         const ServiceId &Service)
    : EntryAttempt(Services, Owner, Events,
                   internal::destinationOf(Peer, Service)) {}

HttpFields PeerAttempt::requestFields(const AttemptRequest &Request) const {
  HttpFields Fields = m_services.m_protocol.forwardFields(
      Request.m_request, Request.m_deadline - started(), Request.m_resumeAfter);
  RelayedRequest Relayed;
  Relayed.m_from = NodeId(m_services.m_settings.m_peerAddress);
  Relayed.m_attemptsLeft = Request.m_attemptsLeft;
  Relayed.m_routingVersion = Request.m_routes.catalog().m_version;
  Relayed.m_serviceHash = serviceHash(Request.m_service);
  Fields.set(RelayHeader, relayHeaderValue(Relayed));
  return Fields;
}

void PeerAttempt::recordBegin(const AttemptRequest &Request) {
  ++m_services.m_peerUses[m_destination.m_id];
  m_stallTracked = Request.m_route.m_kind == RouteKind::Stream;
  if (m_stallTracked)
    m_services.m_peerStalls.streamStarted(started(), m_destination.m_id,
                                          firstEventTime(Request));
}

void PeerAttempt::recordProgress(Instant Now, bool First) {
  if (First)
    m_services.m_peerHealth.recordSuccess(m_destination.m_id);
  if (m_stallTracked)
    m_services.m_peerStalls.streamProgressed(Now, m_destination.m_id, First);
}

void PeerAttempt::recordRelease(bool Flowing) {
  if (std::exchange(m_stallTracked, false))
    m_services.m_peerStalls.streamEnded(m_destination.m_id, Flowing);
  if (--m_services.m_peerUses[m_destination.m_id] <= 0)
    m_services.m_peerUses.erase(m_destination.m_id);
}

void PeerAttempt::recordOutcome(Instant Now, AttemptOutcome Outcome) {
  bool Refused = Outcome == AttemptOutcome::NotSent ||
                 Outcome == AttemptOutcome::NotOffered;
  bool Broken = Outcome == AttemptOutcome::Lost && !m_stated.m_outcome &&
                !usedStaleConnection();
  if (Refused || Broken)
    m_services.m_peerHealth.recordFailure(Now, m_destination.m_id);
  else if (Outcome == AttemptOutcome::Answered)
    m_services.m_peerHealth.recordSuccess(m_destination.m_id);
  if (Outcome == AttemptOutcome::NotSent || brokeUndelivered())
    m_services.m_pool.drop(m_destination.m_address);
}

void PeerAttempt::readStatements(HttpResponseHead &Head,
                                 const ResponseInfo & /*Info*/) {
  // The HTTP server of the other node rejects by its own limits, which may be
  // older than those of this node, and states nothing.
  RelayedResponse Unstated;
  Unstated.m_outcome = RelayOutcome::MayHaveRun;
  m_stated = readRelayedResponse(Head.m_fields.find(RelayHeader).value_or(""))
                 .value_or(Unstated);
  Head.m_fields.remove(RelayHeader);
}

std::optional<AttemptOutcome> PeerAttempt::statedOutcome() const {
  if (!m_stated.m_outcome)
    return std::nullopt;
  constexpr AttemptOutcome Outcomes[] = {AttemptOutcome::NotOffered,
                                         AttemptOutcome::StatedNotRun,
                                         AttemptOutcome::Lost};
  return Outcomes[static_cast<std::size_t>(*m_stated.m_outcome)];
}

} // namespace turmericdyke
