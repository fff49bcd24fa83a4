#include "turmericdyke/src/Groups/EvacuatedDomains.h"

#include <algorithm>

#include "turmericdyke/src/Fleet/ServerAnnouncement.h"

namespace turmericdyke {

std::vector<FailureDomainId> EvacuatedDomains::update(
    Instant Now, const std::map<FailureDomainId, EvacuationRecord> &Records) {
  std::vector<FailureDomainId> Changed;
  // A snapshot of a coordinator without evacuations has no records.
  for (const auto &[Id, Known] : m_domains)
    if (Known.m_record.m_inForce && Records.count(Id) == 0)
      Changed.push_back(Id);
  for (const FailureDomainId &Id : Changed)
    m_domains[Id] = {EvacuationRecord{}, Now};
  for (const auto &[Id, Record] : Records) {
    auto [Known, New] = m_domains.try_emplace(Id);
    if (!New && Known->second.m_record == Record)
      continue;
    Known->second = {Record, Now};
    Changed.push_back(Id);
  }
  return Changed;
}

bool EvacuatedDomains::contains(const FailureDomainId &Domain) const {
  auto Found = m_domains.find(Domain);
  return Found != m_domains.end() && Found->second.m_record.m_inForce;
}

bool EvacuatedDomains::mayUse(const ServerAnnouncement &Server) const {
  return !contains(Server.m_failureDomain);
}

std::optional<Instant>
EvacuatedDomains::endedAt(const FailureDomainId &Domain) const {
  auto Found = m_domains.find(Domain);
  if (Found == m_domains.end() || Found->second.m_record.m_inForce)
    return std::nullopt;
  return Found->second.m_changed;
}

std::size_t EvacuatedDomains::size() const {
  return static_cast<std::size_t>(
      std::count_if(m_domains.begin(), m_domains.end(), [](const auto &Entry) {
        return Entry.second.m_record.m_inForce;
      }));
}

} // namespace turmericdyke
