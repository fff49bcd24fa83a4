#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Fleet/FleetError.h"
#include "turmericdyke/src/Fleet/ServerAnnouncement.h"

namespace turmericdyke {

/// A server as the leader knows it.
struct ServerCopy {
  ServerAnnouncement m_said;
  /// The model that this life of the server was last ready with.
  std::string m_modelInMemory;
};

/// From the leader to a coordinator that may succeed it: what has changed in
/// the list of servers.
struct DirectoryUpdate {
  /// Entries of one message; a longer list is told in parts.
  static constexpr std::size_t MaxEntries = 512;

  std::uint64_t m_term = 0;
  /// The update leads from one sequence to another. 0 means from nothing.
  std::uint64_t m_from = 0;
  std::uint64_t m_sequence = 0;
  /// The leader has heard of all servers that live.
  bool m_complete = false;
  /// Requests have run: loads from the weight store are limited from then on.
  bool m_trafficSeen = false;
  std::vector<ServerCopy> m_servers;
  std::vector<TargetId> m_removed;
};

nlohmann::json toJson(const DirectoryUpdate &Message);

/// Reads the message. Unknown fields are ignored; wrong types, missing names
/// and lists of more than 1024 entries are errors.
Result<DirectoryUpdate, FleetError>
parseDirectoryUpdate(const nlohmann::json &Value);

} // namespace turmericdyke
