#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/types/span.h"
#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Fleet/TargetAnnouncement.h"

namespace turmericdyke {

/// Hash of a prompt prefix: the first 8 bytes of its SHA-256, big endian.
/// Engines and nodes compute it alike, so it must not depend on the build.
std::uint64_t prefixHash(std::string_view Prefix);

/// Hashes of the prefixes of 256, 512, 1024, ... bytes of a prompt, at most 8.
/// Doubling lengths keep the cost below two passes over 32 KiB.
std::vector<std::uint64_t> prefixHashes(std::string_view Prompt);

struct PrefixIndexOptions {
  std::size_t m_maxReplicas = 2048;
  /// Hashes kept per replica; the least recently written go first.
  std::size_t m_maxHashes = 2048;
};

/// What each replica is believed to have in its prefix cache. Hints come from
/// the engine's events and from prompts this node sent. A gap in the event
/// numbers means that evictions may have been missed, so all hints of that
/// replica are discarded.
class PrefixIndex {
public:
  explicit PrefixIndex(PrefixIndexOptions Options = {});

  /// Applies events of one start of the engine, in the order of their numbers.
  /// Events that were already applied are ignored.
  void apply(const ReplicaId &Replica, std::uint64_t Incarnation,
             absl::Span<const CacheEvent> Events);
  /// Notes that this node sent a prompt with these prefixes.
  void sent(const ReplicaId &Replica, absl::Span<const std::uint64_t> Hashes);
  void forget(const ReplicaId &Replica);

  /// Part of the prefixes, counted from the shortest, that are believed to be
  /// cached, in [0, 1].
  double hit(const ReplicaId &Replica,
             absl::Span<const std::uint64_t> Hashes) const;
  std::size_t size(const ReplicaId &Replica) const;
  std::size_t replicas() const { return m_replicas.size(); }

private:
  struct Replica {
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_lastSequence = 0;
    bool m_hasSequence = false;
    std::uint64_t m_lastUse = 0;
    /// Most recently written first.
    std::list<std::uint64_t> m_order;
    absl::flat_hash_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        m_hashes;
  };

  Replica &replica(const ReplicaId &Id);
  void evictReplica();
  void insert(Replica &R, std::uint64_t Hash);
  static void erase(Replica &R, std::uint64_t Hash);
  static void clear(Replica &R);
  void applyOne(Replica &R, const CacheEvent &Event);

  PrefixIndexOptions m_options;
  std::uint64_t m_uses = 0;
  absl::flat_hash_map<ReplicaId, Replica> m_replicas;
};

} // namespace turmericdyke
