#include <algorithm>

#include <doctest/doctest.h>

#include "SimCoordinators.h"
#include "absl/random/distributions.h"

namespace turmericdyke {
namespace {

using test::SimCoordinators;

constexpr std::size_t Voters = 5;
constexpr std::size_t ToleratedLosses = 2;
constexpr absl::Duration RecoveryBound = absl::Seconds(12);
/// How long after its start a coordinator still counts as lost.
constexpr absl::Duration CatchUp = absl::Seconds(4);
constexpr absl::Duration Downtime = absl::Seconds(3);

CoordinatorRosterOptions fiveVoters() {
  CoordinatorRosterOptions Options;
  Options.m_voters = Voters;
  Options.m_replaceAfter = CatchUp / 2;
  return Options;
}

absl::Duration uniform(SimCoordinators &Sim, absl::Duration From,
                       absl::Duration To) {
  return From + (To - From) * absl::Uniform(Sim.random(), 0.0, 1.0);
}

/// Coordinators that run, in random order.
std::vector<std::size_t> shuffledRunning(SimCoordinators &Sim) {
  std::vector<std::size_t> Running;
  for (std::size_t At = 0; At < Sim.size(); ++At)
    if (Sim.isUp(At))
      Running.push_back(At);
  std::shuffle(Running.begin(), Running.end(), Sim.random());
  return Running;
}

enum class Others { Stay, LosePower };

/// `Count` running coordinators lose their disks at once and return with empty
/// ones. Returns whether the acknowledged change is readable in time.
bool survivesLostDisks(SimCoordinators &Sim, std::size_t Count,
                       Others Rest = Others::Stay) {
  std::vector<std::size_t> Down = shuffledRunning(Sim);
  for (std::size_t At = 0; At < Count; ++At)
    Sim.loseDisk(Down[At]);
  if (Rest == Others::Stay)
    Down.resize(Count);
  for (std::size_t At : Down)
    Sim.kill(At);
  Sim.run(Downtime);
  for (std::size_t At : Down)
    Sim.restart(At);
  Sim.run(RecoveryBound);
  return Sim.holdsAcknowledged();
}

/// One coordinator is lost and another one starts at another address. Returns
/// after `Wait` has passed since then.
void replaceOne(SimCoordinators &Sim, absl::Duration Wait) {
  std::size_t Lost = shuffledRunning(Sim).front();
  std::vector<std::size_t> Seeds = shuffledRunning(Sim);
  Seeds.resize(3);
  Sim.kill(Lost);
  Sim.run(uniform(Sim, absl::ZeroDuration(), absl::Seconds(2)));
  Sim.add(Seeds);
  Sim.run(Wait);
}

} // namespace

TEST_CASE("a replaced coordinator leaves the voter set, so that two later "
          "losses of disks are borne") {
  for (unsigned Seed = 1; Seed <= 10; ++Seed) {
    CAPTURE(Seed);
    SimCoordinators Sim(5, fiveVoters(), Seed);
    Sim.run(absl::Seconds(5));
    Sim.kill(4);
    Sim.run(absl::Seconds(1));
    Sim.add({0, 1, 4});
    Sim.run(absl::Seconds(28));
    CHECK(Sim.voters() == std::vector<std::size_t>{0, 1, 2, 3, 5});
    REQUIRE(Sim.write(absl::Seconds(4)));
    for (std::size_t Lost : {0, 1}) {
      Sim.kill(Lost);
      Sim.loseDisk(Lost);
    }
    Sim.run(absl::Seconds(3));
    Sim.restart(0);
    Sim.restart(1);
    Sim.run(RecoveryBound);
    CHECK(Sim.holdsAcknowledged());
  }
}

TEST_CASE("a replacement is over when its successor no longer counts as lost, "
          "so that two disks may be lost again") {
  for (unsigned Seed = 1; Seed <= 60; ++Seed) {
    CAPTURE(Seed);
    SimCoordinators Sim(Voters, fiveVoters(), Seed);
    Sim.run(absl::Seconds(5));
    REQUIRE(Sim.write(absl::Seconds(4)));
    replaceOne(Sim, CatchUp);
    CHECK(survivesLostDisks(Sim, ToleratedLosses));
  }
}

TEST_CASE("a coordinator that stops after its successor has started hands its "
          "vote over, so that two disks may be lost at once") {
  for (unsigned Seed = 1; Seed <= 60; ++Seed) {
    CAPTURE(Seed);
    SimCoordinators Sim(Voters, fiveVoters(), Seed);
    Sim.run(absl::Seconds(5));
    REQUIRE(Sim.write(absl::Seconds(4)));
    Sim.add({0, 1, 2});
    Sim.run(CatchUp);
    Sim.stop(Seed % Voters);
    CHECK(survivesLostDisks(Sim, ToleratedLosses));
  }
}

TEST_CASE("coordinators without disk vote again when all other seeds are lost, "
          "so that two more losses are borne") {
  SimCoordinators Sim(Voters, fiveVoters(), 1);
  Sim.run(absl::Seconds(5));
  Sim.kill(2);
  Sim.run(absl::Seconds(1));
  Sim.add({0, 1, 2});
  Sim.run(CatchUp);
  for (std::size_t Seed : {0, 1}) {
    Sim.kill(Seed);
    Sim.loseDisk(Seed);
  }
  Sim.run(Downtime);
  Sim.restart(0);
  Sim.restart(1);
  Sim.run(CatchUp);
  REQUIRE(Sim.write(absl::Seconds(4)));
  CHECK(survivesLostDisks(Sim, ToleratedLosses));
}

TEST_CASE("an acknowledged change is kept if two disks are lost after a "
          "replacement while all others lose power") {
  for (unsigned Seed = 1; Seed <= 60; ++Seed) {
    CAPTURE(Seed);
    SimCoordinators Sim(Voters, fiveVoters(), Seed);
    Sim.run(absl::Seconds(5));
    replaceOne(Sim, CatchUp);
    REQUIRE(Sim.write(absl::Seconds(4)));
    CHECK(survivesLostDisks(Sim, ToleratedLosses, Others::LosePower));
  }
}

TEST_CASE("a second disk may be lost at any moment of a replacement") {
  for (unsigned Seed = 1; Seed <= 120; ++Seed) {
    CAPTURE(Seed);
    SimCoordinators Sim(Voters, fiveVoters(), Seed);
    Sim.run(absl::Seconds(5));
    REQUIRE(Sim.write(absl::Seconds(4)));
    replaceOne(Sim, uniform(Sim, absl::ZeroDuration(), CatchUp));
    CHECK(survivesLostDisks(Sim, 1));
  }
}

} // namespace turmericdyke
