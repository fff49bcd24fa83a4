#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "turmericdyke/src/Base/KeyHash.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

struct Declaration;

/// Finds the customer of a bearer key in one revision of the declaration. Each
/// stored hash has its own salt, so the first lookup of a key must try all
/// hashes. Matching keys are then cached by their SHA-256 digest, in shards.
/// Unknown keys are not cached, so that they cannot fill memory.
class KeyTable {
public:
  explicit KeyTable(const Declaration &Source);

  std::optional<CustomerId> findCustomer(std::string_view Key) const;

private:
  struct Entry {
    KeyHash m_hash;
    CustomerId m_customer;
  };
  struct Shard {
    absl::Mutex m_lock;
    absl::flat_hash_map<std::string, CustomerId>
        m_found ABSL_GUARDED_BY(m_lock);
  };

  Shard &shardOf(const std::string &Digest) const;

  std::vector<Entry> m_entries;
  std::vector<std::unique_ptr<Shard>> m_shards;
};

} // namespace turmericdyke
