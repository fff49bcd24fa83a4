#include <limits>

#include <doctest/doctest.h>

#include "SimCoordinators.h"

namespace turmericdyke {
namespace {

using test::SimCoordinators;

constexpr std::size_t Coordinators = 5;
/// The users' bound on the acknowledgement of a change.
constexpr absl::Duration AckBound = absl::Seconds(4);
constexpr absl::Duration Downtime = absl::Seconds(2);
constexpr std::size_t DocumentBytes = std::size_t{16} * 1024;
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
    ControlCoreOptions WithoutSnapshots;
    WithoutSnapshots.m_snapshotBytes = std::numeric_limits<std::size_t>::max();
    SimCoordinators Sim(Coordinators, rosterOptions(), Seed, WithoutSnapshots);
    restartAfterChanges(Sim);
    Sim.setApplyCost(absl::Milliseconds(160));
    std::size_t Before = Sim.elections();
    INFO("seed ", Seed);
    CHECK(Sim.write(AckBound));
    CHECK(Sim.holdsAcknowledged());
    CHECK(Sim.elections() - Before <= 2);
  }
}

TEST_CASE("the log that a restart applies is bounded in bytes, whatever the "
          "size of its entries") {
  SimCoordinators Sim(Coordinators, rosterOptions(), 1);
  restartAfterChanges(Sim);
  ControlCoreOptions Limits;
  for (std::size_t At = 0; At < Coordinators; ++At)
    CHECK(Sim.logBytes(At) <= Limits.m_snapshotBytes + 2 * DocumentBytes);
  CHECK(Sim.write(AckBound));
  CHECK(Sim.holdsAcknowledged());
}

TEST_CASE("a coordinator with an empty disk gets a bounded log after many "
          "large changes") {
  SimCoordinators Sim(Coordinators, rosterOptions(), 2);
  Sim.setDocumentBytes(DocumentBytes);
  REQUIRE(Sim.write(absl::Seconds(10)));
  Sim.kill(4);
  for (int At = 0; At < Changes; ++At)
    REQUIRE(Sim.write(absl::Seconds(10)));
  Sim.loseDisk(4);
  Sim.restart(4);
  Sim.run(absl::Seconds(3));
  CHECK(Sim.logBytes(4) <=
        ControlCoreOptions().m_snapshotBytes + RaftOptions().m_retainedBytes);
  CHECK(Sim.holdsAcknowledged());
}

} // namespace turmericdyke
