#include <doctest/doctest.h>

#include "SimCoordinators.h"

namespace turmericdyke {
namespace {

using test::SimCoordinators;

constexpr std::size_t Coordinators = 5;
/// The users' bound on the acknowledgement of a change.
constexpr absl::Duration AckBound = absl::Seconds(4);
constexpr absl::Duration Downtime = absl::Seconds(2);
constexpr std::size_t DocumentBytes = 16 * 1024;
constexpr int Changes = 600;

CoordinatorRosterOptions rosterOptions() {
  CoordinatorRosterOptions Options;
  Options.m_voters = Coordinators;
  return Options;
}

/// The coordinators take many changes and then start all at once.
void restartAfterChanges(SimCoordinators &Sim) {
  Sim.setDocumentBytes(DocumentBytes);
  for (int At = 0; At < Changes; ++At)
    REQUIRE(Sim.write(absl::Seconds(10)));
  for (std::size_t At = 0; At < Coordinators; ++At)
    Sim.kill(At);
  Sim.run(Downtime);
  for (std::size_t At = 0; At < Coordinators; ++At)
    Sim.restart(At);
}

} // namespace

TEST_CASE("coordinators that apply a long log after a restart keep their "
          "leader and take changes in time") {
  for (unsigned Seed = 1; Seed <= 3; ++Seed) {
    SimCoordinators Sim(Coordinators, rosterOptions(), Seed);
    restartAfterChanges(Sim);
    Sim.setApplyCost(absl::Milliseconds(160));
    std::size_t Before = Sim.elections();
    INFO("seed ", Seed);
    CHECK(Sim.write(AckBound));
    CHECK(Sim.holdsAcknowledged());
    CHECK(Sim.elections() - Before <= 2);
  }
}

} // namespace turmericdyke
