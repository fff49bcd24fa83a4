#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Fleet/TargetDigest.h"

namespace turmericdyke {

struct TargetDirectoryOptions {
  NodeId m_node;
  /// Incarnation of this process, not 0.
  std::uint64_t m_incarnation = 1;
  /// A target whose last announcement is older gets no new work.
  absl::Duration m_freshFor = absl::Milliseconds(2500);
  absl::Duration m_digestInterval = absl::Milliseconds(500);
  /// Least time between two reports of changed load of one target.
  absl::Duration m_loadInterval = absl::Seconds(1);
  /// How long a silent target is remembered.
  absl::Duration m_retention = absl::Seconds(60);
  /// Targets that this node vouches for; at most `MaxDigestEntries`.
  std::size_t m_maxLocalTargets = 1024;
  std::size_t m_maxTargets = 16384;
  std::size_t m_maxNodes = 2048;
};

/// What planner and router know of a target.
struct TargetDirectoryEntry {
  std::shared_ptr<const TargetAnnouncement> m_announcement;
  /// Upper bound of the time since the target's last announcement to any node,
  /// as far as this node knows.
  absl::Duration m_age;
  /// The node that vouches for the target.
  NodeId m_reportingNode;
  /// Whether the age is within the bound for new work.
  bool m_fresh = false;
};

struct OutgoingDigest {
  NodeId m_to;
  TargetDigest m_digest;
};

enum class AnnounceOutcome { Accepted, Late, IdentityConflict, TooMany };

/// Events counted since the start.
struct TargetDirectoryCounts {
  std::uint64_t m_accepted = 0;
  /// Late or duplicated announcements and digests.
  std::uint64_t m_late = 0;
  /// Announcements of an identifier from another host or address without a
  /// higher incarnation.
  std::uint64_t m_identityConflicts = 0;
  /// The same with a higher incarnation, which is accepted.
  std::uint64_t m_moved = 0;
  std::uint64_t m_tooMany = 0;
  std::uint64_t m_gaps = 0;
};

/// Announced targets: those that announce themselves here, for which this node
/// vouches, and those that digests of other nodes name. Not thread-safe.
///
/// Clocks of hosts are not compared, and a digest may be arbitrarily late, so
/// a carried age alone bounds nothing. Each digest therefore echoes the newest
/// send time it has from its receiver; the receiver takes the digest to be as
/// old as that echo. An age is thus too high by at most one round trip and
/// never too low.
class TargetDirectory {
public:
  TargetDirectory(TargetDirectoryOptions Options, Instant Now);

  /// An announcement that a target made to this node.
  AnnounceOutcome announce(Instant Now, TargetAnnouncement Announcement);
  void receive(Instant Now, const TargetDigest &Digest);
  /// Sends digests as due; call at least every 100 ms.
  void tick(Instant Now);
  /// The nodes that get digests.
  void setPeers(absl::Span<const NodeId> Peers);
  std::vector<OutgoingDigest> takeDigests();

  /// All targets with a known age, sorted by identifier.
  std::vector<TargetDirectoryEntry> snapshot(Instant Now) const;
  std::optional<TargetDirectoryEntry> find(Instant Now,
                                           const TargetId &Target) const;
  const TargetDirectoryCounts &counts() const { return m_counts; }

private:
  struct Target {
    std::shared_ptr<const TargetAnnouncement> m_announcement;
    /// Not later than the last announcement that is known of.
    Instant m_heardAt = absl::InfinitePast();
    Instant m_touchedAt;
    NodeId m_reportingNode;
    /// Of targets that this node vouches for only.
    std::optional<std::size_t> m_slot;
    bool m_changed = false;
    bool m_loadChanged = false;
    Instant m_sentAt = absl::InfinitePast();
    std::vector<CacheEvent> m_unsentEvents;
  };
  struct Peer {
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_sequence = 0;
    bool m_synced = true;
    std::int64_t m_stampUs = 0;
    Instant m_stampAt;
    Instant m_touchedAt;
    Instant m_fullRequestedAt = absl::InfinitePast();
    Instant m_fullSentAt = absl::InfinitePast();
    std::vector<TargetId> m_slots;
  };

  AnnounceOutcome check(const Target *Known, const TargetAnnouncement &New);
  bool assignSlot(const TargetId &Id, Target &Local);
  void releaseSlot(Target &Local);
  void noteChanges(Target &Local, const TargetAnnouncement &New);
  TargetDirectoryEntry viewOf(Instant Now, const Target &Known) const;

  Peer *peerOf(Instant Now, const TargetDigest &Digest);
  Instant sentNotBefore(Instant Now, const TargetDigest &Digest) const;
  void applyEntry(Instant Now, Instant Sent, const TargetDigest &Digest,
                  const DigestEntry &Entry, Peer &From);
  void applyLoads(const TargetDigest &Digest, const Peer &From);
  void applyAges(Instant Now, Instant Sent, const TargetDigest &Digest,
                 const Peer &From);
  void requestFull(Instant Now, const NodeId &To, Peer &Of);

  TargetDigest header() const;
  DigestEntry entryOf(Instant Now, Target &Local) const;
  std::string ages(Instant Now) const;
  void sendChanges(Instant Now, bool WithAges);
  void sendFull(Instant Now, const NodeId &To, Peer &Of);
  void queue(Instant Now, const NodeId &To, TargetDigest Digest);
  void forgetSilent(Instant Now);

  TargetDirectoryOptions m_options;
  std::map<TargetId, Target> m_targets;
  /// Targets vouched for, by slot; empty identifiers are free slots.
  std::vector<TargetId> m_slots;
  std::map<NodeId, Peer> m_peers;
  std::set<NodeId> m_receivers;
  std::uint64_t m_sequence = 0;
  Instant m_nextDigest;
  std::vector<OutgoingDigest> m_digests;
  TargetDirectoryCounts m_counts;
};

} // namespace turmericdyke
