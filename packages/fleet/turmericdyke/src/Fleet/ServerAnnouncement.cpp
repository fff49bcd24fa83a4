#include "turmericdyke/src/Fleet/ServerAnnouncement.h"

namespace turmericdyke {

std::string_view nameOf(MemberState State) {
  constexpr std::string_view Names[] = {"joining", "ready", "open", "closing",
                                        "broken"};
  return Names[static_cast<std::size_t>(State)];
}

bool sameContent(const ServerAnnouncement &A, const ServerAnnouncement &B) {
  return A.m_startMillis == B.m_startMillis && A.m_service == B.m_service &&
         A.m_address == B.m_address && A.m_draining == B.m_draining &&
         A.m_group == B.m_group && A.m_model == B.m_model &&
         A.m_stagedModels == B.m_stagedModels && A.m_slots == B.m_slots;
}

} // namespace turmericdyke
