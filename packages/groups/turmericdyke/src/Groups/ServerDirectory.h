#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/types/span.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Fleet/DirectoryMessage.h"
#include "turmericdyke/src/Fleet/ServerAnnouncement.h"

namespace turmericdyke {

/// The newest announcement of a server, and when it arrived.
struct ServerRecord {
  /// Failed questions in a row that show that a server is gone: one may be lost
  /// on the way.
  static constexpr int EnoughFailures = 2;

  ServerAnnouncement m_said;
  Instant m_lastHeard = absl::InfinitePast();
  /// The model that this life was last ready with. It stays in memory: the
  /// server can be ready with it again at once, but does not say so while it is
  /// in no group.
  std::string m_modelInMemory;
  /// Questions in a row that it did not answer, since it was last heard.
  int m_unanswered = 0;
  /// Known from an earlier leader only: the server has said nothing to this
  /// node yet.
  bool m_inherited = false;
  /// The change of the directory that this record has from.
  std::uint64_t m_changed = 0;

  /// Whether it counts as gone: silent for `SilentFor`, or asked in vain.
  bool isLost(Instant Now, absl::Duration SilentFor) const {
    return Now - m_lastHeard >= SilentFor || m_unanswered >= EnoughFailures;
  }

  /// Whether it can join a group of the model without a load from the weight
  /// store.
  bool holdsWeights(std::string_view Model) const;
};

enum class AnnouncementResult {
  /// Says something new beside being alive.
  Changed,
  /// Only shows that the server lives.
  Unchanged,
  /// Older than what is known.
  Stale
};

/// The servers that announced themselves to this node. Announcements arrive
/// late and crossed: the life (`m_bornMillis`) and then the sequence decide
/// which is newer, and of two servers at one address the one born later holds
/// it.
class ServerDirectory {
public:
  AnnouncementResult announce(Instant Now, const ServerAnnouncement &Value);
  /// The server says that it ends: it counts as draining, and is forgotten once
  /// it is silent. Late announcements of the same life are stale from now on.
  /// Returns whether the server was known.
  bool withdraw(Instant Now, const TargetId &Id);
  /// A server answered a question of this node, or did not. A refused
  /// connection shows at once that nobody is there.
  void answered(Instant Now, const TargetId &Id);
  void unanswered(const TargetId &Id, bool Refused);
  /// A server answered the question for its state that was sent at `Asked`.
  /// What it announced since then, or so shortly before that the report may be
  /// older, goes before. A report of another life than the known one only shows
  /// that somebody has the address.
  void reported(Instant Asked, Instant Now, const TargetId &Id,
                const ServerReport &Report);
  /// Forgets servers that were silent for `SilentFor`, and returns them.
  std::vector<TargetId> expire(Instant Now, absl::Duration SilentFor);
  void clear();
  /// Begins with what an earlier leader knew. Each server counts as heard at
  /// `Now`, so that it is asked before it is taken for lost.
  void inherit(Instant Now, absl::Span<const ServerCopy> Servers);
  /// Servers that were inherited and have not been heard or found lost since.
  std::vector<TargetId> unconfirmed(Instant Now,
                                    absl::Duration SilentFor) const;

  /// Grows with each change of what is known, but for when servers were heard.
  std::uint64_t sequence() const { return m_sequence; }
  /// The oldest changes after `Sequence`, as many as one message takes. 0 asks
  /// for everything.
  DirectoryUpdate changesSince(std::uint64_t Sequence) const;

  /// Null if the server is unknown or forgotten.
  const ServerRecord *find(const TargetId &Id) const;
  const std::map<TargetId, ServerRecord> &all() const { return m_servers; }

private:
  struct Departed {
    std::int64_t m_bornMillis = 0;
    Instant m_when;
  };

  bool isStale(const ServerAnnouncement &Value) const;
  void releaseAddress(const ServerAnnouncement &Value);
  void erase(std::map<TargetId, ServerRecord>::iterator At);

  std::map<TargetId, ServerRecord> m_servers;
  std::map<TargetId, Departed> m_departed;
  std::map<std::string, TargetId> m_byAddress;
  std::uint64_t m_sequence = 0;
  /// The changes with which servers were forgotten.
  std::map<TargetId, std::uint64_t> m_removed;
};

} // namespace turmericdyke
