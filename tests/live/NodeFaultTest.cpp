#include <doctest/doctest.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

#include <fmt/format.h>

#include "Oracle.h"
#include "absl/time/clock.h"

using namespace turmericdyke;

namespace {

constexpr absl::Duration LeaderLease = absl::Milliseconds(800);
constexpr absl::Duration ReadLease = absl::Seconds(3);
/// Time within which bytes that a relay has already read may still arrive.
constexpr absl::Duration RelayDelay = absl::Milliseconds(200);
constexpr std::size_t Learner = 4;

/// Waits for `Count` more complete answers to background callers.
bool servesMore(const LiveLoad &Load, std::size_t Count) {
  std::size_t Goal = Load.answered() + Count;
  return eventually(LongTimeout, [&] { return Load.answered() >= Goal; });
}

bool hasRun(const LiveCluster &Cluster, const std::string &Text) {
  for (const auto &Target : Cluster.targets())
    for (const StandInRun &Run : Target->runs())
      if (Run.m_text == Text)
        return true;
  return false;
}

std::future<CallerRecord> startChat(const LiveCluster &Cluster,
                                    std::size_t Node, const std::string &Text,
                                    int Tokens) {
  return std::async(std::launch::async, [&Cluster, Node, Text, Tokens] {
    return sendChat(Cluster, Node, Text, Tokens, absl::Seconds(30));
  });
}

int linesWith(const std::string &Path, const std::string &Text) {
  std::ifstream File(Path);
  int Count = 0;
  for (std::string Line; std::getline(File, Line);)
    Count += Line.find(Text) != std::string::npos ? 1 : 0;
  return Count;
}

void restart(LiveCluster &Cluster, LiveLoad &Load, std::size_t Node) {
  Load.recordStart(Node);
  Cluster.node(Node).start();
}

} // namespace

// Guards against losing changes, once-only records and assignments with the
// leader, and against a restarted voter that has lost entries it acknowledged.
TEST_CASE("the leader is killed and restarted") {
  LiveCluster Cluster;
  REQUIRE(Cluster.form());
  LiveLoad Load(Cluster);
  REQUIRE(servesMore(Load, 20));
  std::optional<std::size_t> Leader = Cluster.waitForLeader();
  REQUIRE(Leader);
  Cluster.node(*Leader).kill();
  REQUIRE(Cluster.waitForLeader(*Leader));
  REQUIRE(servesMore(Load, 20));
  restart(Cluster, Load, *Leader);
  REQUIRE(eventually(LongTimeout, [&] { return Cluster.ready(*Leader); }));
  REQUIRE(servesMore(Load, 20));
  checkScenario(Cluster, Load);
}

// Guards against once-only calls that run twice after the node that sent them
// is lost, and against a learner that serves before it has caught up.
TEST_CASE(
    "a learner is killed with calls in flight and restarts without state") {
  LiveCluster Cluster;
  REQUIRE(Cluster.form());
  LiveLoad Load(Cluster);
  REQUIRE(servesMore(Load, 20));
  auto Open = startChat(Cluster, Learner, "open-at-the-kill", 2000);
  REQUIRE(eventually(LongTimeout,
                     [&] { return hasRun(Cluster, "open-at-the-kill"); }));
  auto Call = std::async(std::launch::async, [&] {
    return sendCall(Cluster, Learner, "called-at-the-kill");
  });
  REQUIRE(eventually(LongTimeout, [&] {
    return hasRun(Cluster, callBody("called-at-the-kill"));
  }));
  Cluster.node(Learner).kill();
  CHECK_FALSE(Open.get().m_complete);
  Load.addCall(Call.get());
  for (std::size_t Node = 0; Node < VoterCount; ++Node) {
    CallerRecord Resent = sendCall(Cluster, Node, "called-at-the-kill");
    CHECK((Resent.m_complete || Resent.m_outcome == "may_have_run"));
    Load.addCall(Resent);
  }
  REQUIRE(servesMore(Load, 20));
  restart(Cluster, Load, Learner);
  REQUIRE(eventually(LongTimeout, [&] { return Cluster.ready(Learner); }));
  REQUIRE(servesMore(Load, 20));
  checkScenario(Cluster, Load);
}

// Guards against a leader that still acts as leader, and a node that accepts
// work under an old revision, after a pause longer than both leases.
TEST_CASE("the leader is paused for 6 s") {
  LiveCluster Cluster;
  REQUIRE(Cluster.form());
  LiveLoad Load(Cluster);
  REQUIRE(servesMore(Load, 20));
  std::optional<std::size_t> Leader = Cluster.waitForLeader();
  REQUIRE(Leader);
  std::optional<Json> Declared = Cluster.get(*Leader, "/v1/declaration");
  REQUIRE(Declared);
  std::uint64_t Base = (*Declared)["revision"];
  Cluster.node(*Leader).signal(SIGSTOP);
  Instant Continue = monotonicNow() + absl::Seconds(6);
  auto Chat = startChat(Cluster, *Leader, "sent-to-paused", 10);
  auto Late = std::async(std::launch::async, [&] {
    Load.resolveChange("sent-to-paused", Base, 90, *Leader);
  });
  bool Replaced = Cluster.waitForLeader(*Leader).has_value();
  absl::SleepFor(Continue - monotonicNow());
  Cluster.node(*Leader).signal(SIGCONT);
  REQUIRE(Replaced);
  CallerRecord Record = Chat.get();
  CHECK((Record.m_complete || Record.m_outcome == "not_run"));
  Load.addChat(Record);
  Late.get();
  for (const ChangeRecord &Outcome : Load.changes())
    if (Outcome.m_changeId == "sent-to-paused")
      CHECK(Outcome.m_result == "conflict");
  REQUIRE(eventually(LongTimeout, [&] { return Cluster.ready(*Leader); }));
  REQUIRE(servesMore(Load, 20));
  checkScenario(Cluster, Load);
}

// Guards against two leaders that both commit, an isolated node that accepts
// work after its read lease has expired, and streams that are aborted when the
// lease expires.
TEST_CASE("the leader is isolated while its connections stay open") {
  LiveCluster Cluster(true);
  REQUIRE(Cluster.form());
  LiveLoad Load(Cluster);
  REQUIRE(servesMore(Load, 20));
  std::optional<std::size_t> Leader = Cluster.waitForLeader();
  REQUIRE(Leader);
  auto Open = startChat(Cluster, *Leader, "open-at-the-cut", 1000);
  REQUIRE(eventually(LongTimeout,
                     [&] { return hasRun(Cluster, "open-at-the-cut"); }));
  Cluster.isolate(*Leader, true);
  // A leader grants itself read leases while it holds its leader lease. During
  // that time no other leader can commit.
  Instant LeaseOver = monotonicNow() + LeaderLease + ReadLease + RelayDelay;
  REQUIRE(Cluster.waitForLeader(*Leader));
  absl::SleepFor(LeaseOver - monotonicNow());
  CHECK_FALSE(Cluster.ready(*Leader));
  for (int Number = 0; Number < 5; ++Number) {
    CallerRecord Record = sendChat(
        Cluster, *Leader, fmt::format("sent-to-cut-off-{}", Number), 10);
    CHECK(Record.m_status == 503);
    CHECK(Record.m_outcome == "not_run");
    Load.addChat(Record);
  }
  CallerRecord Complete = Open.get();
  CHECK(Complete.m_complete);
  Load.addChat(Complete);
  Cluster.isolate(*Leader, false);
  REQUIRE(eventually(LongTimeout, [&] { return Cluster.ready(*Leader); }));
  REQUIRE(servesMore(Load, 20));
  checkScenario(Cluster, Load);
}

// Guards against a voter that votes under its old identity after losing its
// log, and against one that never becomes a voter again.
TEST_CASE("a voter loses its data directory and becomes a voter again") {
  LiveCluster Cluster;
  REQUIRE(Cluster.form());
  LiveLoad Load(Cluster);
  REQUIRE(servesMore(Load, 20));
  std::optional<std::size_t> Leader = Cluster.waitForLeader();
  REQUIRE(Leader);
  std::size_t Lost = (*Leader + 1) % VoterCount;
  std::size_t Third = (*Leader + 2) % VoterCount;
  Cluster.node(Lost).kill();
  REQUIRE(Cluster.waitForLeader() == Leader);
  std::filesystem::remove_all(Cluster.dataDirectory(Lost));
  int Joined = linesWith(Cluster.node(*Leader).log(), "voters_committed");
  restart(Cluster, Load, Lost);
  // One change removes the old identity, the next adds the new one.
  REQUIRE(eventually(LongTimeout, [&] {
    return linesWith(Cluster.node(*Leader).log(), "voters_committed") >=
               Joined + 2 &&
           Cluster.ready(Lost);
  }));
  CHECK(linesWith(Cluster.node(Lost).log(), "joining_as_learner") == 1);
  // Now a majority needs the voter that rejoined.
  Cluster.node(Third).kill();
  REQUIRE(Cluster.waitForLeader());
  restart(Cluster, Load, Third);
  REQUIRE(eventually(LongTimeout, [&] { return Cluster.ready(Third); }));
  checkScenario(Cluster, Load);
}

// Guards against a stop that aborts requests, refuses those that the load
// balancer sends during the notice period, or ends with an error.
TEST_CASE("a node is stopped under load") {
  LiveCluster Cluster;
  REQUIRE(Cluster.form());
  LiveLoad Load(Cluster);
  REQUIRE(servesMore(Load, 20));
  std::optional<std::size_t> Leader = Cluster.waitForLeader();
  REQUIRE(Leader);
  auto Open = startChat(Cluster, *Leader, "open-at-the-stop", 1400);
  REQUIRE(eventually(LongTimeout,
                     [&] { return hasRun(Cluster, "open-at-the-stop"); }));
  Instant Stop = monotonicNow();
  Cluster.node(*Leader).signal(SIGTERM);
  CHECK(eventually(BalancerNotice, [&] { return !Cluster.ready(*Leader); }));
  CHECK(Cluster.node(*Leader).waitForExit(absl::ZeroDuration()) ==
        std::nullopt);
  CHECK(Cluster.node(*Leader).waitForExit(LongTimeout) == 0);
  CallerRecord Complete = Open.get();
  CHECK(Complete.m_complete);
  Load.addChat(Complete);
  REQUIRE(Cluster.waitForLeader(*Leader));
  REQUIRE(servesMore(Load, 20));
  checkScenario(Cluster, Load);
  std::vector<CallerRecord> Sent = Load.chats();
  for (const CallerRecord &Call : Load.calls())
    Sent.push_back(Call);
  int DuringNotice = 0;
  for (const CallerRecord &Record : Sent) {
    // Uses only half of the notice period, so that the request has time to
    // arrive.
    if (Record.m_node != *Leader || Record.m_sent > Stop + BalancerNotice / 2)
      continue;
    DuringNotice += Record.m_sent > Stop ? 1 : 0;
    CHECK_MESSAGE(Record.m_status != 0, Record.m_text, " was cut off");
  }
  CHECK(DuringNotice > 0);
}
