#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <memory>
#include <random>

#include "turmericdyke/Routing"

using namespace turmericdyke;

namespace {

Candidate candidate(int Number, std::int64_t Outstanding = 0) {
  Candidate C;
  C.m_replica = ReplicaId("r" + std::to_string(Number));
  C.m_load.m_outstandingShort = Outstanding;
  return C;
}

std::vector<std::unique_ptr<RoutingStrategy>> allStrategies() {
  std::vector<std::unique_ptr<RoutingStrategy>> All;
  All.push_back(std::make_unique<RoundRobin>());
  All.push_back(std::make_unique<LeastOutstanding>());
  All.push_back(std::make_unique<TwoRandomChoices>());
  All.push_back(std::make_unique<WeightedStrategy>());
  return All;
}

Candidate anyCandidate(int Number) {
  Candidate C = candidate(Number, *rc::gen::inRange(0, 20));
  C.m_slots = *rc::gen::inRange(1, 9);
  C.m_load.m_outstandingLong = *rc::gen::inRange(0, 4);
  C.m_load.m_othersLong = *rc::gen::inRange(0, 3);
  C.m_load.m_reportAge = absl::Milliseconds(*rc::gen::inRange(0, 3000));
  C.m_speedWeight = *rc::gen::element(0.0, 0.3, 1.0);
  C.m_probeDue = C.m_speedWeight < 1 && *rc::gen::arbitrary<bool>();
  C.m_cachedPrefixFraction = *rc::gen::element(0.0, 0.5, 1.0);
  return C;
}

/// Whether a strategy may choose the candidate, implemented independently of
/// the code under test.
bool mayChoose(const std::vector<Candidate> &All, std::size_t Chosen,
               const RouteRequest &Request) {
  auto IsDisallowed = [&](const Candidate &C) {
    for (const ReplicaId &Id : Request.m_excluded)
      if (Id == C.m_replica)
        return true;
    std::int64_t Room = std::max<std::int64_t>(1, C.m_slots / 2);
    std::int64_t Long = C.m_load.m_outstandingLong + C.m_load.m_othersLong;
    return Request.m_class == RequestClass::Long && Long >= Room;
  };
  if (IsDisallowed(All[Chosen]))
    return false;
  if (All[Chosen].m_speedWeight > 0)
    return true;
  bool IsProbe =
      All[Chosen].m_probeDue && Request.m_class == RequestClass::Short;
  bool Others = std::any_of(All.begin(), All.end(), [&](const Candidate &C) {
    return !IsDisallowed(C) && C.m_speedWeight > 0;
  });
  return IsProbe || !Others;
}

} // namespace

TEST_CASE("no strategy chooses a replica that is excluded or has no slot for a "
          "long request, or one of weight 0 while another is allowed") {
  CHECK(rc::check([] {
    int Count = *rc::gen::inRange(0, 7);
    std::vector<Candidate> All;
    All.reserve(static_cast<std::size_t>(Count));
    for (int Number = 0; Number < Count; ++Number)
      All.push_back(anyCandidate(Number));
    RouteRequest Request;
    Request.m_class =
        *rc::gen::element(RequestClass::Short, RequestClass::Long);
    for (const Candidate &C : All)
      if (*rc::gen::inRange(0, 4) == 0)
        Request.m_excluded.push_back(C.m_replica);
    std::mt19937_64 Random(*rc::gen::inRange(0, 1000));
    for (const auto &Strategy : allStrategies()) {
      std::optional<std::size_t> Chosen =
          Strategy->choose(absl::UnixEpoch(), All, Request, Random);
      bool AnyAllowed = false;
      for (std::size_t Index = 0; Index < All.size(); ++Index)
        AnyAllowed = AnyAllowed || mayChoose(All, Index, Request);
      RC_ASSERT(Chosen.has_value() == AnyAllowed);
      if (Chosen)
        RC_ASSERT(mayChoose(All, *Chosen, Request));
    }
  }));
}

TEST_CASE("round robin distributes requests evenly, as a baseline must") {
  std::vector<Candidate> All = {candidate(0, 9), candidate(1), candidate(2)};
  RoundRobin Strategy;
  std::mt19937_64 Random(1);
  std::array<int, 3> ChosenCount{};
  for (int Round = 0; Round < 30; ++Round)
    ++ChosenCount[*Strategy.choose(absl::UnixEpoch(), All, {}, Random)];
  CHECK(ChosenCount == std::array<int, 3>{10, 10, 10});
}

TEST_CASE("least outstanding chooses the least loaded replica") {
  std::vector<Candidate> All = {candidate(0, 4), candidate(1, 1),
                                candidate(2, 3)};
  LeastOutstanding Strategy;
  std::mt19937_64 Random(1);
  CHECK(Strategy.choose(absl::UnixEpoch(), All, {}, Random) == 1);
}

TEST_CASE("nodes with the same report do not all choose the same replica") {
  std::vector<Candidate> All;
  for (int Number = 0; Number < 10; ++Number) {
    All.push_back(candidate(Number));
    All.back().m_load.m_othersShort = Number == 0 ? 0 : 1;
    All.back().m_load.m_reportAge = absl::Milliseconds(400);
  }
  WeightedStrategy Strategy;
  std::mt19937_64 Random(7);
  int ChosenCount = 0;
  for (int Node = 0; Node < 100; ++Node)
    ChosenCount += Strategy.choose(absl::UnixEpoch(), All, {}, Random) == 0;
  CHECK(ChosenCount < 50);
}

TEST_CASE(
    "a cached prefix attracts requests only up to the limit of its bonus") {
  std::vector<Candidate> All = {candidate(0), candidate(1)};
  All[0].m_cachedPrefixFraction = 1;
  WeightedStrategy Strategy;
  std::mt19937_64 Random(7);
  auto CountChoices = [&] {
    int ChosenCount = 0;
    for (int Round = 0; Round < 100; ++Round)
      ChosenCount += Strategy.choose(absl::UnixEpoch(), All, {}, Random) == 0;
    return ChosenCount;
  };
  CHECK(CountChoices() == 100);
  All[0].m_load.m_outstandingShort = 7;
  CHECK(CountChoices() < 50);
}

TEST_CASE(
    "a straggler scores worse than an equally loaded replica, even if both "
    "are idle") {
  Candidate Slow = candidate(0);
  Slow.m_speedWeight = 0.25;
  WeightedStrategy Strategy;
  CHECK(Strategy.score(Slow, 0) > Strategy.score(candidate(1), 0));
}

TEST_CASE("a busy slow replica is not probed") {
  std::vector<Candidate> All = {candidate(0), candidate(1)};
  All[0].m_speedWeight = 0;
  All[0].m_probeDue = true;
  WeightedStrategy Strategy;
  std::mt19937_64 Random(7);
  auto Chosen = [&] {
    return Strategy.choose(absl::UnixEpoch(), All, {}, Random);
  };
  CHECK(Chosen() == 0);
  All[0].m_load.m_outstandingShort = 1;
  CHECK(Chosen() == 1);
  All[0].m_load.m_outstandingShort = 0;
  All[0].m_load.m_othersShort = All[0].m_slots;
  CHECK(Chosen() == 1);
}

TEST_CASE("a replica with an outdated report is not considered idle") {
  Candidate Old = candidate(0);
  Old.m_load.m_reportAge = absl::InfiniteDuration();
  Candidate Fresh = candidate(1);
  Fresh.m_load.m_reportAge = absl::ZeroDuration();
  WeightedStrategy Strategy;
  CHECK(Strategy.score(Old, 4) > Strategy.score(Fresh, 4));
}
