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

/// The leader's record of a server.
struct ServerCopy {
  ServerAnnouncement m_announcement;
  /// The model that this instance of the server was last ready with.
  std::string m_modelInMemory;
  /// From when the server counts as started, on the clock of this process; see
  /// `ServerRecord`. In the infinite past if it does not matter.
  Instant m_countsAsStarted = absl::InfinitePast();
};

/// Sent by the leader to a coordinator that may succeed it: the changes to the
/// list of servers.
struct DirectoryUpdate {
  /// Maximum number of entries in one message; a longer list is sent in parts.
  static constexpr std::size_t MaxEntries = 512;

  std::uint64_t m_term = 0;
  /// The update turns the state at sequence `m_from` into the state at
  /// `m_sequence`; `m_from` 0 stands for the empty state.
  std::uint64_t m_from = 0;
  std::uint64_t m_sequence = 0;
  /// The leader knows all live servers.
  bool m_complete = false;
  /// Requests have been served; from then on loads from the weight store are
  /// limited.
  bool m_trafficSeen = false;
  std::vector<ServerCopy> m_servers;
  std::vector<TargetId> m_removed;
  /// The instant that times of the message count from; see `setClock`.
  Instant m_now = absl::UnixEpoch();
  /// Entries of a received message that were left out because they are
  /// malformed. Not sent.
  std::size_t m_malformed = 0;
};

/// A server announced itself without a change of its state.
struct ServerHeard {
  TargetId m_id;
  std::int64_t m_startMillis = 0;
  std::uint64_t m_sequence = 0;
};

/// Sent by a coordinator to the leader: the announcements that it has received
/// since the last message.
struct AnnouncementBatch {
  /// The term of the leader whose directory `m_unchanged` was compared with.
  std::uint64_t m_term = 0;
  std::vector<ServerAnnouncement> m_changed;
  std::vector<ServerHeard> m_unchanged;
  /// The instant that times of the message count from; see `setClock`.
  Instant m_now = absl::UnixEpoch();
  /// Entries of a received message that were left out because they are
  /// malformed. Not sent.
  std::size_t m_malformed = 0;
};

/// Instants of two hosts must not be compared, so messages state them as times
/// from `m_now`. The sender sets that to its present time before it encodes the
/// message. The receiver calls this with its own present time after it has
/// parsed the message, which makes its instants those of the receiver's clock.
void setClock(DirectoryUpdate &Message, Instant Now);
void setClock(AnnouncementBatch &Message, Instant Now);

nlohmann::json toJson(const DirectoryUpdate &Message);
nlohmann::json toJson(const AnnouncementBatch &Message);

/// Reads the message. Unknown fields are ignored; wrong types and lists of more
/// than 1024 entries are errors. A malformed server is left out and counted, so
/// that it does not keep the others from being known.
Result<DirectoryUpdate, FleetError>
parseDirectoryUpdate(const nlohmann::json &Value);
Result<AnnouncementBatch, FleetError>
parseAnnouncementBatch(const nlohmann::json &Value);

} // namespace turmericdyke
