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
/// Engines and nodes must compute the same value, so it must not depend on the
/// build.
std::uint64_t prefixHash(std::string_view Prefix);

/// Hashes of the prefixes of 256, 512, 1024, ... bytes of a prompt, at most 8.
/// Because the lengths double, the cost stays below two passes over 32 KiB.
std::vector<std::uint64_t> prefixHashes(std::string_view Prompt);

struct PrefixIndexOptions {
  std::size_t m_maxReplicas = 2048;
  /// Hashes kept per replica; the least recently written are evicted first.
  std::size_t m_maxHashes = 2048;
};

/// Estimated content of the prefix cache of each replica, derived from the
/// cache events of the engines and the prompts that this node sent. A gap in
/// the sequence numbers of the events means that evictions may have been
/// missed, so all entries of that replica are discarded.
class PrefixIndex {
public:
  explicit PrefixIndex(PrefixIndexOptions Options = {});

  /// Applies events of one incarnation of the engine, ordered by sequence
  /// number. Events that were already applied are ignored.
  void apply(const ReplicaId &Replica, std::uint64_t Incarnation,
             absl::Span<const CacheEvent> Events);
  /// Records that this node sent a prompt with these prefixes.
  void sent(const ReplicaId &Replica, absl::Span<const std::uint64_t> Hashes);
  void forget(const ReplicaId &Replica);

  /// Estimated fraction of the prefixes that are cached, in [0, 1]. Counts from
  /// the shortest prefix and stops at the first one that is not cached.
  double cachedFraction(const ReplicaId &Replica,
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
    std::list<std::uint64_t> m_recentHashes;
    absl::flat_hash_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        m_hashes;
  };

  Replica &replica(const ReplicaId &Id);
  void evictReplica();
  void insert(Replica &R, std::uint64_t Hash);
  static void erase(Replica &R, std::uint64_t Hash);
  static void clear(Replica &R);
  void applyEvent(Replica &R, const CacheEvent &Event);

  PrefixIndexOptions m_options;
  std::uint64_t m_useCounter = 0;
  absl::flat_hash_map<ReplicaId, Replica> m_replicas;
};

} // namespace turmericdyke
