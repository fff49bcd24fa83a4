#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "turmericdyke/Declaration"
#include "turmericdyke/src/Control/ControlState.h"
#include "turmericdyke/src/Coordinator/DepartureRecords.h"
#include "turmericdyke/src/Coordinator/SuspectRecords.h"

namespace turmericdyke {

namespace {

const absl::Time Begin = absl::FromUnixSeconds(1'800'000'000);

/// A state that has applied the command as it is in the log.
ControlState stateWith(const MarkSuspects &Command) {
  ControlState State(&parseDeclarationJson);
  (void)State.apply(1, Tick{Begin});
  (void)State.applyEncoded(2, encodeCommand(Command));
  return State;
}

} // namespace

// Guards against a server that a new leader lists again after it has withdrawn.
TEST_CASE("a withdrawal covers the server's life and earlier ones, not the "
          "next, and outlives a snapshot") {
  const TargetId Gone("i-1");
  ControlState State =
      stateWith(departureCommand(Departure::Withdrawn, {{{Gone, 1000}}}));
  ControlState Restored =
      ControlState::restore(State.snapshot(), &parseDeclarationJson).value();
  for (const ControlState *Each : {&State, &Restored}) {
    CHECK(isWithdrawn(*Each, {Gone, 1000}));
    CHECK(isWithdrawn(*Each, {Gone, 999}));
    CHECK_FALSE(isWithdrawn(*Each, {Gone, 1001}));
    CHECK(wasWithdrawn(*Each, Gone));
    for (const char *Other : {"i-0", "i-2", "i-11", ""})
      CHECK_FALSE(wasWithdrawn(*Each, TargetId(Other)));
  }
}

// Guards against a server that a new leader lists as ready again after it has
// announced that it drains (review/8), and against its streams being given up
// as those of a server that has withdrawn.
TEST_CASE("a drain covers the server's life and earlier ones, and is no "
          "withdrawal") {
  const TargetId Leaving("i-1");
  ControlState State =
      stateWith(departureCommand(Departure::Draining, {{{Leaving, 1000}}}));
  ControlState Restored =
      ControlState::restore(State.snapshot(), &parseDeclarationJson).value();
  for (const ControlState *Each : {&State, &Restored}) {
    CHECK(isDraining(*Each, {Leaving, 1000}));
    CHECK(isDraining(*Each, {Leaving, 999}));
    CHECK_FALSE(isDraining(*Each, {Leaving, 1001}));
    CHECK_FALSE(isDraining(*Each, {TargetId("i-2"), 1000}));
    CHECK_FALSE(wasWithdrawn(*Each, Leaving));
  }
}

// Guards against entry nodes that use a server of an earlier term: a leader
// that has not heard from it knows it from its record only.
TEST_CASE("recent departures name the servers whose identifiers fit") {
  ControlState State = stateWith(
      departureCommand(Departure::Draining, {{{TargetId("i-1"), 7}}}));
  (void)State.apply(3, Tick{Begin + absl::Minutes(2)});
  (void)State.applyEncoded(
      4, encodeCommand(departureCommand(
             Departure::Withdrawn, {{{TargetId(std::string(26, 'a')), 8},
                                     {TargetId(std::string(27, 'b')), 9}}})));
  CHECK(State.ignoredCommands() == 0);
  CHECK(isWithdrawn(State, {TargetId(std::string(27, 'b')), 9}));
  std::vector<ServerIncarnation> Recent =
      recentDepartures(State, absl::Minutes(1));
  REQUIRE(Recent.size() == 1);
  CHECK(Recent.front().m_id == TargetId(std::string(26, 'a')));
  CHECK(Recent.front().m_startMillis == 8);
  CHECK(recentDepartures(State, absl::Minutes(3)).size() == 2);
}

TEST_CASE("withdrawals expire, and are no suspect requests") {
  ControlState State = stateWith(
      departureCommand(Departure::Withdrawn, {{{TargetId("i-1"), 1000}}}));
  CHECK(suspectLists(State, {}).m_version == 0);
  (void)State.apply(3, Tick{Begin + absl::Minutes(59)});
  CHECK(wasWithdrawn(State, TargetId("i-1")));
  (void)State.apply(4, Tick{Begin + absl::Minutes(61)});
  CHECK_FALSE(wasWithdrawn(State, TargetId("i-1")));
}

// Guards against a fleet that is taken away at once, and against identifiers
// that make the command unreadable: it would be committed and then ignored.
TEST_CASE("a command holds many withdrawals, whatever the identifiers") {
  std::vector<ServerIncarnation> Servers;
  Servers.reserve(1024);
  for (int At = 0; At < 1024; ++At)
    Servers.push_back({TargetId(std::string(200, 'x') + std::to_string(At)),
                       1'800'000'000'000});
  ControlState State =
      stateWith(departureCommand(Departure::Withdrawn, Servers));
  CHECK(State.ignoredCommands() == 0);
  CHECK(std::all_of(Servers.begin(), Servers.end(),
                    [&State](const ServerIncarnation &Server) {
                      return isWithdrawn(State, Server);
                    }));
}

// Guards against a record that a build without withdrawals leaves out: the
// states of old and new builds would differ from then on.
TEST_CASE("a departure is written as a command that earlier versions apply") {
  std::string Bytes = encodeCommand(
      departureCommand(Departure::Withdrawn, {{{TargetId("i-1"), 1000}}}));
  CHECK(Bytes.find("mark_suspects") != std::string::npos);
}

} // namespace turmericdyke
