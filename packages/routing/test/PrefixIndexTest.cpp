#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "turmericdyke/Routing"

using namespace turmericdyke;

namespace {

const ReplicaId R("r");

CacheEvent event(std::uint64_t Sequence, std::uint64_t Hash,
                 bool Evicted = false) {
  return CacheEvent{Sequence, Hash, Evicted};
}

} // namespace

TEST_CASE("the prefix hash equals the documented function, which engines "
          "implement independently") {
  // First 8 bytes of SHA-256("abc"), FIPS 180-4.
  CHECK(prefixHash("abc") == 0xba7816bf8f01cfeaull);
}

TEST_CASE("prompts with a common prefix share its hashes") {
  std::string Common(1024, 'x');
  std::vector<std::uint64_t> A = prefixHashes(Common + std::string(1024, 'a'));
  std::vector<std::uint64_t> B = prefixHashes(Common + std::string(1024, 'b'));
  REQUIRE(A.size() == 4);
  CHECK(A[2] == B[2]);
  CHECK(A[3] != B[3]);
  CHECK(prefixHashes(std::string(1 << 20, 'x')).size() == 8);
  CHECK(prefixHashes("short").empty());
}

TEST_CASE("an evicted prefix no longer counts as cached, nor does a longer "
          "prefix that starts with it") {
  PrefixIndex Index;
  Index.apply(R, 1, {event(1, 10), event(2, 20)});
  CHECK(Index.cachedFraction(R, {10, 20}) == 1);
  Index.apply(R, 1, {event(3, 10, true)});
  CHECK(Index.cachedFraction(R, {10, 20}) == 0);
}

TEST_CASE("a gap in the event sequence discards the entries of the replica, "
          "because an eviction may have been missed") {
  PrefixIndex Index;
  Index.apply(R, 1, {event(1, 10)});
  Index.apply(R, 1, {event(3, 30)});
  CHECK(Index.cachedFraction(R, {10}) == 0);
  CHECK(Index.cachedFraction(R, {30}) == 1);
}

TEST_CASE("late events and events of an earlier incarnation do not restore "
          "evicted prefixes") {
  PrefixIndex Index;
  Index.apply(R, 2, {event(1, 10), event(2, 10, true)});
  Index.apply(R, 2, {event(1, 10)});
  Index.apply(R, 1, {event(3, 10)});
  CHECK(Index.cachedFraction(R, {10}) == 0);
}

TEST_CASE("a restart of the engine clears its entries") {
  PrefixIndex Index;
  Index.apply(R, 1, {event(5, 10)});
  Index.apply(R, 2, {event(1, 20)});
  CHECK(Index.cachedFraction(R, {10}) == 0);
  CHECK(Index.cachedFraction(R, {20}) == 1);
}

TEST_CASE("memory stays bounded under arbitrary events") {
  CHECK(rc::check([](const std::vector<std::uint16_t> &Hashes) {
    PrefixIndex Index({.m_maxReplicas = 2, .m_maxHashes = 4});
    std::uint64_t Sequence = 0;
    for (std::uint16_t Hash : Hashes) {
      ReplicaId Id("r" + std::to_string(Hash % 5));
      Index.sent(Id, {Hash});
      Index.apply(Id, 1, {event(++Sequence, Hash + 1u)});
      RC_ASSERT(Index.size(Id) <= 4u);
      RC_ASSERT(Index.replicas() <= 2u);
    }
  }));
}
