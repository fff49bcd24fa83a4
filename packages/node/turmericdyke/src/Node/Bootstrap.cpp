#include "turmericdyke/src/Node/Bootstrap.h"

#include <utility>

namespace turmericdyke {

namespace internal {
namespace {

constexpr absl::Duration BootstrapInterval = absl::Milliseconds(200);

} // namespace
} // namespace internal

Bootstrap::Bootstrap(NodeId Self, std::string Identity,
                     std::vector<NodeId> Voters, bool MayForm)
    : m_self(std::move(Self)), m_identity(std::move(Identity)),
      m_voters(std::move(Voters)), m_mustJoin(!MayForm) {
  m_identities[m_self] = m_identity;
  propose();
}

std::vector<AddressedMessage> Bootstrap::tick(Instant Now) {
  std::vector<AddressedMessage> Messages;
  if (Now < m_nextSend)
    return Messages;
  m_nextSend = Now + internal::BootstrapInterval;
  for (const NodeId &Voter : m_voters)
    if (Voter != m_self)
      Messages.push_back(
          {Voter, "", BootstrapMessage{m_identity, false, m_proposal}});
  return Messages;
}

void Bootstrap::receive(const NodeId &From, const BootstrapMessage &Message) {
  if (m_agreedVoters || m_mustJoin)
    return;
  if (!Message.m_formed) {
    m_identities[From] = Message.m_identity;
    m_proposals[From] = Message.m_voters;
    propose();
    return;
  }
  if (Message.m_voters.contains({m_self, m_identity}))
    m_agreedVoters = Message.m_voters;
  else
    m_mustJoin = true;
}

void Bootstrap::propose() {
  VoterSet Set;
  for (const NodeId &Voter : m_voters) {
    auto Known = m_identities.find(Voter);
    if (Known == m_identities.end())
      return;
    Set.m_voters.push_back({Voter, Known->second});
  }
  if (std::optional<VoterSet> Normalized = normalizedVoterSet(std::move(Set)))
    m_proposal = std::move(*Normalized);
  m_proposals[m_self] = m_proposal;
  adoptIfAgreed();
}

void Bootstrap::adoptIfAgreed() {
  for (const NodeId &Voter : m_voters)
    if (m_proposals[Voter] != m_proposal)
      return;
  m_agreedVoters = m_proposal;
}

} // namespace turmericdyke
