#include <doctest/doctest.h>

#include "turmericdyke/Routing"

using namespace turmericdyke;

namespace {

Instant at(int Ms) { return absl::UnixEpoch() + absl::Milliseconds(Ms); }

const ReplicaId Slow("slow");

void observeAll(StragglerTracker &Tracker, int FromMs, double SlowTime) {
  for (int Round = 0; Round < 30; ++Round) {
    Instant Now = at(FromMs + Round * 100);
    for (const char *Name : {"a", "b", "c"})
      Tracker.observe(Now, ReplicaId(Name), 0.02);
    Tracker.observe(Now, Slow, SlowTime);
  }
}

} // namespace

TEST_CASE("the weight of a slow replica is its fraction of the median speed") {
  StragglerTracker Tracker;
  observeAll(Tracker, 0, 0.05);
  CHECK(Tracker.weight(Slow) == doctest::Approx(0.4));
  CHECK(Tracker.weight(ReplicaId("a")) == 1);
}

TEST_CASE("normal differences in batch size do not reduce the weight") {
  StragglerTracker Tracker;
  observeAll(Tracker, 0, 0.024);
  CHECK(Tracker.weight(Slow) == 1);
}

TEST_CASE("a replica of weight 0 is probed once per interval and can recover") {
  StragglerTracker Tracker;
  observeAll(Tracker, 0, 0.5);
  REQUIRE(Tracker.weight(Slow) == 0);
  CHECK_FALSE(Tracker.probeDue(at(3000), Slow));
  REQUIRE(Tracker.probeDue(at(5000), Slow));
  Tracker.probeStarted(at(5000), Slow);
  CHECK_FALSE(Tracker.probeDue(at(5500), Slow));
  for (int Probe = 0; Probe < 12; ++Probe)
    Tracker.observe(at(6000 + Probe * 1000), Slow, 0.02);
  CHECK(Tracker.weight(Slow) == 1);
  CHECK_FALSE(Tracker.probeDue(at(30000), Slow));
}

TEST_CASE("with two replicas the median cannot show which one is slow") {
  StragglerTracker Tracker;
  for (int Round = 0; Round < 30; ++Round) {
    Tracker.observe(at(Round * 100), Slow, 0.5);
    Tracker.observe(at(Round * 100), ReplicaId("a"), 0.02);
  }
  CHECK(Tracker.weight(Slow) == 1);
}
