#include <doctest/doctest.h>

#include "SimCoordinators.h"

namespace turmericdyke {
namespace {

using test::SimCoordinators;

constexpr absl::Duration RecoveryBound = absl::Seconds(12);

CoordinatorRosterOptions fiveVoters() {
  CoordinatorRosterOptions Options;
  Options.m_voters = 5;
  return Options;
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

} // namespace turmericdyke
