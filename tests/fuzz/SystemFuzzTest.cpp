#include <chrono>
#include <cstdlib>
#include <iostream>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "World.h"

using namespace turmericdyke;
using namespace turmericdyke::fuzz;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t ActionsPerRun = 10;
constexpr std::uint64_t FixedSeed = 20261204;
constexpr int CasesPerSeed = 25;

rc::Gen<Action> anyAction() {
  // Lengths in steps of 100 ms, so that shrunk cases are easy to read.
  return rc::gen::resize(
      rc::kNominalSize,
      rc::gen::build<Action>(
          rc::gen::set(
              &Action::m_kind,
              rc::gen::map(
                  rc::gen::inRange(0, static_cast<int>(ActionKind::Count)),
                  [](int Kind) { return static_cast<ActionKind>(Kind); })),
          rc::gen::set(&Action::m_where, rc::gen::inRange<std::size_t>(0, 24)),
          rc::gen::set(&Action::m_length,
                       rc::gen::map(rc::gen::inRange<std::int64_t>(1, 80),
                                    [](std::int64_t N) { return N * 100; })),
          rc::gen::set(&Action::m_ms,
                       rc::gen::map(rc::gen::inRange<std::int64_t>(0, 60),
                                    [](std::int64_t N) { return N * 100; }))));
}

struct SeedResult {
  bool m_passed = true;
  std::string m_message;
  /// The smallest failing case found.
  std::vector<Action> m_actions;
  FuzzOptions m_options;
  std::map<std::string, std::int64_t> m_counts;
};

/// Runs the cases of one seed. Shrinking ends at `ShrinkFor`, after which each
/// candidate counts as passed.
SeedResult runSeed(FuzzOptions Options, std::uint64_t Seed, int Cases,
                   std::chrono::seconds ShrinkFor) {
  SeedResult All;
  std::optional<Clock::time_point> Deadline;
  rc::detail::TestParams Params;
  Params.seed = Seed;
  Params.maxSuccess = Cases;
  Params.disableShrinking = ShrinkFor.count() == 0;
  auto Property = [&] {
    auto Actions =
        *rc::gen::container<std::vector<Action>>(ActionsPerRun, anyAction());
    Options.m_seed = *rc::gen::noShrink(
        rc::gen::resize(rc::kNominalSize, rc::gen::inRange(1, 1 << 30)));
    if (Deadline && Clock::now() > *Deadline)
      return;
    World Run(Options);
    std::string Violation = Run.run(Actions);
    for (const auto &[Name, Count] : Run.oracle().m_counts)
      All.m_counts[Name] += Count;
    if (Violation.empty())
      return;
    if (!Deadline)
      Deadline = Clock::now() + ShrinkFor;
    All.m_message = Violation;
    All.m_actions = Actions;
    All.m_options = Options;
    RC_FAIL(Violation);
  };
  auto Result = rc::detail::checkProperty(rc::detail::toProperty(Property),
                                          rc::detail::TestMetadata(), Params);
  All.m_passed = Result.is<rc::detail::SuccessResult>();
  std::ostringstream Text;
  rc::detail::printResultMessage(Result, Text);
  All.m_message += "\n" + Text.str();
  return All;
}

std::int64_t fromEnvironment(const char *Name, std::int64_t Default) {
  const char *Text = std::getenv(Name);
  return Text == nullptr ? Default : std::atoll(Text);
}

/// Seeds that are searched for a case which shows a broken guard. Any new
/// command shifts all schedules, and with 3 seeds a rare case was missed.
constexpr std::uint64_t GuardSeeds = 12;

/// Whether the oracle sees the broken guard within the fixed seeds.
bool sees(const char *Guard, FuzzOptions Options,
          std::uint64_t First = FixedSeed) {
  for (std::uint64_t Seed = First; Seed < First + GuardSeeds; ++Seed) {
    SeedResult Done =
        runSeed(Options, Seed, CasesPerSeed, std::chrono::seconds(0));
    if (!Done.m_passed) {
      std::cout << Guard << ": "
                << Done.m_message.substr(0, Done.m_message.find('\n')) << "\n";
      return true;
    }
  }
  return false;
}

} // namespace

TEST_CASE("all machines together keep the invariants under faults and recover "
          "after them") {
  auto Limit = std::chrono::seconds(fromEnvironment("FUZZ_SECONDS", 0));
  auto Seed = static_cast<std::uint64_t>(
      fromEnvironment("SEED", static_cast<std::int64_t>(FixedSeed)));
  FuzzOptions Options;
  Clock::time_point Start = Clock::now();
  std::map<std::string, std::int64_t> Counts;
  std::uint64_t Cases = 0;
  do {
    SeedResult Done =
        runSeed(Options, Seed, CasesPerSeed,
                std::chrono::seconds(fromEnvironment("FUZZ_SHRINK_SECONDS",
                                                     Limit.count() ? 120 : 5)));
    Cases += CasesPerSeed;
    for (const auto &[Name, Count] : Done.m_counts)
      Counts[Name] += Count;
    if (!Done.m_passed && fromEnvironment("FUZZ_TRACE", 0) != 0) {
      Done.m_options.m_trace = true;
      World(Done.m_options).run(Done.m_actions);
    }
    INFO(Done.m_message << "\nrepeat with: make fuzz FUZZ_SECONDS=1 SEED="
                        << Seed);
    REQUIRE(Done.m_passed);
    ++Seed;
  } while (Clock::now() - Start < Limit);
  std::cout << Cases << " cases\n";
  for (const auto &[Name, Count] : Counts)
    std::cout << Count << " " << Name << "\n";
  for (const char *Name :
       {"replica views", "assigned hosts", "history entries", "work started",
        "once-only runs", "whole answers", "not run", "changes resent",
        "changes accepted", "orders followed"}) {
    INFO("not reached: " << Name);
    CHECK(Counts[Name] > 0);
  }
}

#define SEES(NAME, ...)                                                        \
  TEST_CASE("the oracle sees a broken guard: " NAME) {                         \
    FuzzOptions Options;                                                       \
    __VA_ARGS__;                                                               \
    CHECK(sees(NAME, Options));                                                \
  }

SEES("lease check", Options.m_skipLeaseCheck = true)
SEES("lease check before each attempt", Options.m_skipRecheck = true)

// A pause must fall between the age of a view and the end of the read lease,
// at a node that has a request for a target which died: a rare case, so the
// search starts at seeds that have it.
TEST_CASE("the oracle sees a broken guard: age of the view") {
  FuzzOptions Options;
  Options.m_skipViewAge = true;
  CHECK(sees("age of the view", Options, FixedSeed + 12));
}

SEES("wait for the once-only commit", Options.m_skipCommitWait = true)
SEES("persist before sending", Options.m_skipPersist = true)
SEES("fence check of targets", Options.m_skipFenceCheck = true)
SEES("echoed attempt", Options.m_skipEchoCheck = true)
SEES("outcome of attempts", Options.m_skipOutcome = true)
SEES("newest view", Options.m_keepOldView = true)
SEES("base revision", Options.m_control.m_skipBaseCheck = true)
SEES("outcome of a resent change", Options.m_control.m_skipOutcomes = true)
SEES("once-only record", Options.m_control.m_skipOnceOnlyRecords = true)
SEES("repair", Options.m_planner.m_skipRepair = true)
SEES("one fabric domain", Options.m_planner.m_mixFabricDomains = true)
SEES("length of the leader lease", Options.m_longLease = true)
