#include "turmericdyke/src/Feed/AnnouncementRelay.h"

#include <utility>

#include "turmericdyke/src/Feed/DirectoryCopy.h"

namespace turmericdyke {

namespace internal {
namespace {

bool isNewer(const ServerAnnouncement &Value, std::int64_t StartMillis,
             std::uint64_t Sequence) {
  return std::pair(Value.m_startMillis, Value.m_sequence) >
         std::pair(StartMillis, Sequence);
}

} // namespace
} // namespace internal

void AnnouncementRelay::add(const ServerAnnouncement &Announcement,
                            const DirectoryCopy &Copy) {
  if (Copy.term() != m_term)
    clear();
  m_term = Copy.term();
  const TargetId &Id = Announcement.m_id;
  // Announcements may arrive late and out of order.
  auto Changed = m_changed.find(Id);
  if (Changed != m_changed.end() &&
      !internal::isNewer(Announcement, Changed->second.m_startMillis,
                         Changed->second.m_sequence))
    return;
  auto Unchanged = m_unchanged.find(Id);
  if (Unchanged != m_unchanged.end() &&
      !internal::isNewer(Announcement, Unchanged->second.m_startMillis,
                         Unchanged->second.m_sequence))
    return;
  const ServerCopy *Known = Copy.find(Id);
  if (Changed == m_changed.end() && Known != nullptr &&
      sameContent(Known->m_announcement, Announcement)) {
    m_unchanged[Id] = {Id, Announcement.m_startMillis, Announcement.m_sequence};
    return;
  }
  m_changed[Id] = Announcement;
  m_unchanged.erase(Id);
}

AnnouncementBatch AnnouncementRelay::take() {
  AnnouncementBatch Batch;
  Batch.m_term = m_term;
  for (const auto &[Id, Announcement] : m_changed)
    Batch.m_changed.push_back(Announcement);
  for (const auto &[Id, Heard] : m_unchanged)
    Batch.m_unchanged.push_back(Heard);
  clear();
  return Batch;
}

void AnnouncementRelay::clear() {
  m_changed.clear();
  m_unchanged.clear();
}

} // namespace turmericdyke
