#pragma once

#include <cstdint>
#include <map>

#include "turmericdyke/src/Fleet/DirectoryMessage.h"

namespace turmericdyke {

class DirectoryCopy;

/// Collects announcements of servers at a coordinator that does not lead, for
/// one message to the leader. A server whose state the leader already knows is
/// only named, so that the leader's work follows the changes and not the number
/// of servers.
class AnnouncementRelay {
public:
  /// Adds an announcement. `Copy` is the copy of the leader's directory.
  void add(const ServerAnnouncement &Announcement, const DirectoryCopy &Copy);
  /// Whether a server's state has changed. The leader should know soon.
  bool hasChanges() const { return !m_changed.empty(); }
  bool empty() const { return m_changed.empty() && m_unchanged.empty(); }
  /// Returns what was added since the last call.
  AnnouncementBatch take();
  void clear();

private:
  std::uint64_t m_term = 0;
  std::map<TargetId, ServerAnnouncement> m_changed;
  std::map<TargetId, ServerHeard> m_unchanged;
};

} // namespace turmericdyke
