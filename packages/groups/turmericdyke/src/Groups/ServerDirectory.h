#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/types/span.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Base/SoundSilence.h"
#include "turmericdyke/src/Fleet/DirectoryMessage.h"
#include "turmericdyke/src/Fleet/ServerAnnouncement.h"

namespace turmericdyke {

/// How a probe of a server failed.
enum class ProbeFailure {
  /// A connection was established, but no response came.
  Unanswered,
  /// No connection was established: the host is dark or cut off.
  Unreachable,
  /// The host refused the connection: no process listens there.
  Refused
};

/// The newest announcement of a server, and when it arrived.
struct ServerRecord {
  /// Consecutive failed probes before a server can count as lost. A single
  /// probe may be lost in the network.
  static constexpr int LostAfterFailures = 2;

  ServerAnnouncement m_announcement;
  Instant m_lastHeard = absl::InfinitePast();
  /// The model that this incarnation was last ready with. It stays in memory,
  /// so the server can be ready with it again at once, but a server that is in
  /// no group does not report it.
  std::string m_modelInMemory;
  /// Consecutive failed probes since the last sign of life.
  int m_failedProbes = 0;
  /// When the first of these was sent.
  Instant m_unansweredSince = absl::InfiniteFuture();
  /// Since the last sign of life a probe was refused, or found the host
  /// unreachable.
  bool m_refused = false;
  bool m_unreachable = false;
  /// Known only from an earlier leader: this node has not heard from the server
  /// yet.
  bool m_inherited = false;
  /// Until when this instance of the server stays cold, by its own statements.
  Instant m_coldUntil = absl::InfinitePast();
  /// From when the server counts as started: it was heard from for the first
  /// time, or again after a silence, or was used again after a pause.
  Instant m_countsAsStarted = absl::InfinitePast();
  /// When the server first stated how long it stays cold, long enough after
  /// that.
  Instant m_startStatedAt = absl::InfiniteFuture();
  /// Sequence number of the directory change that last modified this record.
  std::uint64_t m_changeSequence = 0;

  /// Whether probes show that the server has failed: one was refused, or
  /// several failed and its host is unreachable, or several were unanswered for
  /// longer than a sound server may be silent. The kernel of a sound host
  /// accepts connections during such a silence.
  bool failsProbes(Instant Now) const {
    return m_refused ||
           (m_failedProbes >= LostAfterFailures &&
            (m_unreachable || Now - m_unansweredSince >= MaxSoundSilence));
  }
  /// Whether the server counts as lost: not heard for `SilentFor`, or failed by
  /// probes.
  bool isLost(Instant Now, absl::Duration SilentFor) const {
    return Now - m_lastHeard >= SilentFor || failsProbes(Now);
  }
  /// The server may have become cold at `From`, whatever it has stated so far.
  void countAsStarted(Instant From) {
    m_countsAsStarted = From;
    m_startStatedAt = absl::InfiniteFuture();
  }
  /// Takes the statement of an announcement that arrived at `Now`.
  void stateCold(Instant Now, Instant Until);
  /// Records a sign of life.
  void heard(Instant Now) {
    m_lastHeard = Now;
    m_failedProbes = 0;
    m_unansweredSince = absl::InfiniteFuture();
    m_refused = false;
    m_unreachable = false;
  }

  /// Whether the server can join a group of the model without a load from the
  /// weight store.
  bool holdsWeights(std::string_view Model) const;
};

enum class AnnouncementResult {
  /// Reports a new state.
  Changed,
  /// Repeats the known state; only shows that the server is alive.
  Unchanged,
  /// Older than the known state.
  Stale
};

/// The servers that announced themselves to this node. Announcements may arrive
/// late and out of order: the incarnation (`m_startMillis`) and then the
/// sequence number decide which is newer. If two servers announce the same
/// address, it belongs to the one that started later.
class ServerDirectory {
public:
  AnnouncementResult announce(Instant Now, const ServerAnnouncement &Value);
  /// Another coordinator heard the server repeat the state that this directory
  /// holds. Returns whether it was news of the known incarnation.
  bool confirm(Instant Now, const ServerHeard &Heard);
  /// The server is known to drain, although it has not announced this here.
  void drain(const TargetId &Id);
  /// The server announces its end: it counts as draining, and is removed once
  /// it is silent. Late announcements of the same incarnation are stale from
  /// now on. Returns whether the server was known.
  bool withdraw(Instant Now, const TargetId &Id);
  /// A server answered a probe of this node, or did not.
  void probeAnswered(Instant Now, const TargetId &Id);
  void probeFailed(Instant SentAt, const TargetId &Id, ProbeFailure Failure);
  /// Applies the response to a probe that was sent at `Asked`. Newer
  /// information takes precedence: an announcement that arrived since then, or
  /// so shortly before that the report may be older. A report of another
  /// incarnation than the known one only shows that some server uses the
  /// address.
  void applyReport(Instant Asked, Instant Now, const TargetId &Id,
                   const ServerReport &Report);
  /// Has the servers of a failure domain count as started at `From`, when
  /// requests are sent to them again after a pause. They count as cold for the
  /// time that their service states, unless they state otherwise after `From`.
  void countAsStarted(const FailureDomainId &Domain, Instant From);
  /// Removes servers that were silent for `SilentFor` and returns their
  /// identifiers.
  std::vector<TargetId> expire(Instant Now, absl::Duration SilentFor);
  void clear();
  /// Starts from the list of an earlier leader. Each server counts as heard at
  /// `Now`, so that it is probed before it is considered lost.
  void inherit(Instant Now, absl::Span<const ServerCopy> Servers);
  /// Inherited servers that have neither been heard nor found lost since.
  std::vector<TargetId> unconfirmed(Instant Now,
                                    absl::Duration SilentFor) const;

  /// Number of the newest change. Hearing from a server without a change of its
  /// state does not count.
  std::uint64_t sequence() const { return m_sequence; }
  /// The oldest changes after `Sequence`, up to the limit of one message. 0
  /// requests the whole directory.
  DirectoryUpdate changesSince(std::uint64_t Sequence) const;

  /// Null if the server is unknown or was removed.
  const ServerRecord *find(const TargetId &Id) const;
  const std::map<TargetId, ServerRecord> &all() const { return m_servers; }

private:
  struct Withdrawn {
    std::int64_t m_startMillis = 0;
    Instant m_withdrawnAt;
  };

  /// Whether this incarnation of the server, or a later one, has withdrawn.
  bool isWithdrawn(const TargetId &Id, std::int64_t StartMillis) const;
  bool isStale(const ServerAnnouncement &Value) const;
  void claimAddress(const ServerAnnouncement &Value);
  /// Records a sign of life. After a silence the server may be another one.
  void hear(Instant Now, ServerRecord &Record);
  void erase(std::map<TargetId, ServerRecord>::iterator At);

  std::map<TargetId, ServerRecord> m_servers;
  std::map<TargetId, Withdrawn> m_withdrawn;
  std::map<std::string, TargetId> m_byAddress;
  std::uint64_t m_sequence = 0;
  /// Sequence numbers of the changes that removed servers.
  std::map<TargetId, std::uint64_t> m_removed;
};

} // namespace turmericdyke
