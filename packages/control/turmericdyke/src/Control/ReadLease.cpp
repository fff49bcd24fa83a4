#include "turmericdyke/src/Control/ReadLease.h"

#include <algorithm>
#include <utility>

namespace turmericdyke {

std::optional<ReadLeaseGrant>
grantReadLease(const ReadLeaseRequest &Request,
               const ReadLeaseLeaderState &Leader) {
  if (!Leader.m_holdsLeaderLease || !Leader.m_committedInTerm)
    return std::nullopt;
  return ReadLeaseGrant{Request.m_node, Request.m_incarnation,
                        Request.m_sentAtMicros, Leader.m_term,
                        Leader.m_commitIndex};
}

ReadLease::ReadLease(NodeId Node, std::uint64_t Incarnation,
                     std::uint64_t AppliedIndex)
    : m_node(std::move(Node)), m_incarnation(Incarnation),
      m_appliedIndex(AppliedIndex) {}

void ReadLease::dropExpired(Instant Now) {
  while (!m_unanswered.empty() && m_unanswered.front() + ReadLeaseLength <= Now)
    m_unanswered.pop_front();
  while (!m_pendingGrants.empty() &&
         m_pendingGrants.front().m_sentAt + ReadLeaseLength <= Now)
    m_pendingGrants.pop_front();
}

std::optional<ReadLeaseRequest> ReadLease::tick(Instant Now) {
  if (Now < m_lastSent + ReadLeaseInterval)
    return std::nullopt;
  dropExpired(Now);
  // The request carries microseconds. Keeping a finer time than the one sent
  // would extend the lease.
  std::int64_t Micros = absl::ToUnixMicros(Now);
  m_lastSent = Now;
  m_unanswered.push_back(absl::FromUnixMicros(Micros));
  return ReadLeaseRequest{m_node, m_incarnation, Micros};
}

bool ReadLease::receive(Instant Now, const ReadLeaseGrant &Grant) {
  dropExpired(Now);
  if (Grant.m_node != m_node || Grant.m_incarnation != m_incarnation)
    return false;
  if (Grant.m_term < m_highestTerm)
    return false;
  Instant SentAt = absl::FromUnixMicros(Grant.m_sentAtMicros);
  auto Request = std::find(m_unanswered.begin(), m_unanswered.end(), SentAt);
  if (Request == m_unanswered.end())
    return false;
  m_unanswered.erase(Request);
  m_highestTerm = Grant.m_term;
  if (Grant.m_commitIndex <= m_appliedIndex) {
    m_validUntil = std::max(m_validUntil, SentAt + ReadLeaseLength);
    return true;
  }
  m_pendingGrants.push_back({SentAt, Grant.m_commitIndex});
  std::sort(m_pendingGrants.begin(), m_pendingGrants.end(),
            [](const PendingGrant &A, const PendingGrant &B) {
              return A.m_sentAt < B.m_sentAt;
            });
  return true;
}

void ReadLease::applied(std::uint64_t Index) {
  m_appliedIndex = std::max(m_appliedIndex, Index);
  auto Usable = [this](const PendingGrant &Grant) {
    return Grant.m_commitIndex <= m_appliedIndex;
  };
  for (const PendingGrant &Grant : m_pendingGrants)
    if (Usable(Grant))
      m_validUntil = std::max(m_validUntil, Grant.m_sentAt + ReadLeaseLength);
  std::erase_if(m_pendingGrants, Usable);
}

} // namespace turmericdyke
