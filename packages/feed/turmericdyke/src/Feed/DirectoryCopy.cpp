#include "turmericdyke/src/Feed/DirectoryCopy.h"

namespace turmericdyke {

bool DirectoryCopy::receive(const DirectoryUpdate &Update) {
  if (Update.m_term < m_term)
    return false;
  bool NewTerm = Update.m_term > m_term;
  // Messages may be lost or reordered.
  if (NewTerm ? Update.m_from > 0
              : Update.m_from > m_sequence || Update.m_sequence < m_sequence)
    return false;
  if (Update.m_from == 0)
    m_servers.clear();
  m_term = Update.m_term;
  m_sequence = Update.m_sequence;
  m_complete = Update.m_complete;
  m_trafficSeen = m_trafficSeen || Update.m_trafficSeen;
  for (const ServerCopy &Copy : Update.m_servers)
    m_servers[Copy.m_announcement.m_id] = Copy;
  for (const TargetId &Id : Update.m_removed)
    m_servers.erase(Id);
  return true;
}

std::vector<ServerCopy> DirectoryCopy::servers() const {
  std::vector<ServerCopy> Copies;
  for (const auto &[Id, Copy] : m_servers)
    Copies.push_back(Copy);
  return Copies;
}

const ServerCopy *DirectoryCopy::find(const TargetId &Id) const {
  auto Found = m_servers.find(Id);
  return Found == m_servers.end() ? nullptr : &Found->second;
}

} // namespace turmericdyke
