#include "turmericdyke/src/Routing/PrefixIndex.h"

#include <algorithm>
#include <cassert>
#include <string>

#include "turmericdyke/src/Base/Bytes.h"

namespace turmericdyke {

namespace {

constexpr std::size_t MinPrefixBytes = 256;
constexpr std::size_t MaxPrefixes = 8;

} // namespace

std::uint64_t prefixHash(std::string_view Prefix) {
  std::string Digest = sha256(Prefix);
  std::uint64_t Hash = 0;
  for (std::size_t Index = 0; Index < sizeof(Hash); ++Index)
    Hash = Hash << 8 | static_cast<unsigned char>(Digest[Index]);
  return Hash;
}

std::vector<std::uint64_t> prefixHashes(std::string_view Prompt) {
  std::vector<std::uint64_t> Hashes;
  std::size_t Length = MinPrefixBytes;
  while (Length <= Prompt.size() && Hashes.size() < MaxPrefixes) {
    Hashes.push_back(prefixHash(Prompt.substr(0, Length)));
    Length *= 2;
  }
  return Hashes;
}

PrefixIndex::PrefixIndex(PrefixIndexOptions Options) : m_options(Options) {
  assert(Options.m_maxReplicas > 0 && Options.m_maxHashes > 0 &&
         "the limits must be positive");
}

void PrefixIndex::apply(const ReplicaId &Id, std::uint64_t Incarnation,
                        absl::Span<const CacheEvent> Events) {
  Replica &R = replica(Id);
  if (Incarnation < R.m_incarnation)
    return;
  if (Incarnation > R.m_incarnation) {
    clear(R);
    R.m_incarnation = Incarnation;
    R.m_hasSequence = false;
  }
  for (const CacheEvent &Event : Events)
    applyEvent(R, Event);
}

void PrefixIndex::sent(const ReplicaId &Id,
                       absl::Span<const std::uint64_t> Hashes) {
  Replica &R = replica(Id);
  for (std::uint64_t Hash : Hashes)
    insert(R, Hash);
}

void PrefixIndex::forget(const ReplicaId &Id) { m_replicas.erase(Id); }

double
PrefixIndex::cachedFraction(const ReplicaId &Id,
                            absl::Span<const std::uint64_t> Hashes) const {
  auto Found = m_replicas.find(Id);
  if (Found == m_replicas.end() || Hashes.empty())
    return 0;
  std::size_t Depth = 0;
  while (Depth < Hashes.size() &&
         Found->second.m_hashes.contains(Hashes[Depth]))
    ++Depth;
  return static_cast<double>(Depth) / static_cast<double>(Hashes.size());
}

std::size_t PrefixIndex::size(const ReplicaId &Id) const {
  auto Found = m_replicas.find(Id);
  return Found == m_replicas.end() ? 0 : Found->second.m_hashes.size();
}

PrefixIndex::Replica &PrefixIndex::replica(const ReplicaId &Id) {
  auto Found = m_replicas.find(Id);
  if (Found == m_replicas.end()) {
    if (m_replicas.size() >= m_options.m_maxReplicas)
      evictReplica();
    Found = m_replicas.try_emplace(Id).first;
  }
  Found->second.m_lastUse = ++m_useCounter;
  return Found->second;
}

void PrefixIndex::evictReplica() {
  auto Oldest = std::min_element(
      m_replicas.begin(), m_replicas.end(), [](const auto &A, const auto &B) {
        return A.second.m_lastUse < B.second.m_lastUse;
      });
  m_replicas.erase(Oldest);
}

void PrefixIndex::insert(Replica &R, std::uint64_t Hash) {
  erase(R, Hash);
  R.m_recentHashes.push_front(Hash);
  R.m_hashes[Hash] = R.m_recentHashes.begin();
  if (R.m_recentHashes.size() > m_options.m_maxHashes)
    erase(R, R.m_recentHashes.back());
}

void PrefixIndex::erase(Replica &R, std::uint64_t Hash) {
  auto Found = R.m_hashes.find(Hash);
  if (Found == R.m_hashes.end())
    return;
  R.m_recentHashes.erase(Found->second);
  R.m_hashes.erase(Found);
}

void PrefixIndex::clear(Replica &R) {
  R.m_recentHashes.clear();
  R.m_hashes.clear();
}

void PrefixIndex::applyEvent(Replica &R, const CacheEvent &Event) {
  if (R.m_hasSequence && Event.m_sequence <= R.m_lastSequence)
    return;
  if (R.m_hasSequence && Event.m_sequence != R.m_lastSequence + 1)
    clear(R);
  R.m_hasSequence = true;
  R.m_lastSequence = Event.m_sequence;
  if (Event.m_evicted)
    erase(R, Event.m_prefixHash);
  else
    insert(R, Event.m_prefixHash);
}

} // namespace turmericdyke
