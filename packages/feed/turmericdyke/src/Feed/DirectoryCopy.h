#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "turmericdyke/src/Fleet/DirectoryMessage.h"

namespace turmericdyke {

/// A copy of the current leader's server directory, kept by a coordinator that
/// may succeed it. Updates may be lost; each one states the sequence number
/// that it starts from.
class DirectoryCopy {
public:
  /// Applies an update if it continues the held state. Returns whether it did.
  bool receive(const DirectoryUpdate &Update);

  std::uint64_t term() const { return m_term; }
  std::uint64_t sequence() const { return m_sequence; }
  /// The leader had heard from all live servers when it sent the newest update.
  bool complete() const { return m_complete; }
  bool trafficSeen() const { return m_trafficSeen; }
  std::vector<ServerCopy> servers() const;
  std::size_t size() const { return m_servers.size(); }
  /// Null if the server is not in the copy.
  const ServerCopy *find(const TargetId &Id) const;

private:
  std::uint64_t m_term = 0;
  std::uint64_t m_sequence = 0;
  bool m_complete = false;
  bool m_trafficSeen = false;
  std::map<TargetId, ServerCopy> m_servers;
};

} // namespace turmericdyke
