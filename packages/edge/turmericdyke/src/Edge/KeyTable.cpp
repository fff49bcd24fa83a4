#include "turmericdyke/src/Edge/KeyTable.h"

#include "turmericdyke/src/Base/Bytes.h"
#include "turmericdyke/src/Declaration/Declaration.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr std::size_t KeyShards = 8;

} // namespace
} // namespace internal

KeyTable::KeyTable(const Declaration &Source) {
  for (const auto &[Id, Owner] : Source.m_customers)
    for (const std::string &Text : Owner.m_keyHashes)
      if (std::optional<KeyHash> Hash = KeyHash::parse(Text))
        m_entries.push_back({*Hash, Id});
  for (std::size_t Index = 0; Index < internal::KeyShards; ++Index)
    m_shards.push_back(std::make_unique<Shard>());
}

KeyTable::Shard &KeyTable::shardOf(const std::string &Digest) const {
  return *m_shards[static_cast<unsigned char>(Digest[0]) % m_shards.size()];
}

std::optional<CustomerId> KeyTable::findCustomer(std::string_view Key) const {
  std::string Digest = sha256(Key);
  Shard &KeyShard = shardOf(Digest);
  {
    absl::MutexLock Lock(&KeyShard.m_lock);
    auto Found = KeyShard.m_found.find(Digest);
    if (Found != KeyShard.m_found.end())
      return Found->second;
  }
  // Tries all hashes even after a match, so that the duration does not reveal
  // the customer.
  std::optional<CustomerId> Customer;
  for (const Entry &Candidate : m_entries)
    if (Candidate.m_hash.matches(Key))
      Customer = Candidate.m_customer;
  if (Customer) {
    absl::MutexLock Lock(&KeyShard.m_lock);
    KeyShard.m_found[Digest] = *Customer;
  }
  return Customer;
}

} // namespace turmericdyke
