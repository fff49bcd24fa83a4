#include "turmericdyke/src/Http/ConnectionShare.h"

namespace turmericdyke {

void ConnectionShare::resize(std::size_t Bytes, ConnectionUse Use) {
  if (Bytes == m_bytes && Use == m_use)
    return;
  if (m_use == ConnectionUse::Incomplete)
    m_budget->m_incomplete.erase({m_bytes, this});
  if (m_use == ConnectionUse::Unread)
    m_budget->m_unread.erase({m_bytes, this});
  m_budget->m_total = m_budget->m_total - m_bytes + Bytes;
  m_bytes = Bytes;
  m_use = Use;
  if (Use == ConnectionUse::Incomplete)
    m_budget->m_incomplete.insert({Bytes, this});
  if (Use == ConnectionUse::Unread)
    m_budget->m_unread.insert({Bytes, this});
}

} // namespace turmericdyke
