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
/// Time in which bytes that a relay has already read may still arrive.
constexpr absl::Duration RelayTurn = absl::Milliseconds(200);
constexpr std::size_t Learner = 4;

/// Waits for `Count` more whole answers to background callers.
bool servesMore(const LiveLoad &Load, std::size_t Count) {
  std::size_t Goal = Load.answered() + Count;
  return eventually(PatientLimit, [&] { return Load.answered() >= Goal; });
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
  Load.noteStart(Node);
  Cluster.node(Node).start();
}

} // namespace

// Guards against changes, once-only records and assignments that are lost with
// the leader, and against a restarted voter that forgets what it acknowledged.
TEST_CASE("the leader is killed and started again") {
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
  REQUIRE(eventually(PatientLimit, [&] { return Cluster.ready(*Leader); }));
  REQUIRE(servesMore(Load, 20));
  concludeScenario(Cluster, Load);
}

// Guards against once-only calls that run again after the node that made them
// is lost, and against a learner that serves before it has caught up.
TEST_CASE("a learner is killed with calls in flight and starts empty") {
  LiveCluster Cluster;
  REQUIRE(Cluster.form());
  LiveLoad Load(Cluster);
  REQUIRE(servesMore(Load, 20));
  auto Open = startChat(Cluster, Learner, "open-at-the-kill", 2000);
  REQUIRE(eventually(PatientLimit,
                     [&] { return hasRun(Cluster, "open-at-the-kill"); }));
  auto Call = std::async(std::launch::async, [&] {
    return sendCall(Cluster, Learner, "called-at-the-kill");
  });
  REQUIRE(eventually(PatientLimit, [&] {
    return hasRun(Cluster, callBody("called-at-the-kill"));
  }));
  Cluster.node(Learner).kill();
  CHECK_FALSE(Open.get().m_whole);
  Load.addCall(Call.get());
  for (std::size_t Node = 0; Node < VoterCount; ++Node) {
    CallerRecord Resent = sendCall(Cluster, Node, "called-at-the-kill");
    CHECK((Resent.m_whole || Resent.m_outcome == "may_have_run"));
    Load.addCall(Resent);
  }
  REQUIRE(servesMore(Load, 20));
  restart(Cluster, Load, Learner);
  REQUIRE(eventually(PatientLimit, [&] { return Cluster.ready(Learner); }));
  REQUIRE(servesMore(Load, 20));
  concludeScenario(Cluster, Load);
}

// Guards against a leader that acts on its old leadership, and a node that
// takes work on an old revision, after a pause longer than each lease.
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
    Load.settleChange("sent-to-paused", Base, 90, *Leader);
  });
  bool Replaced = Cluster.waitForLeader(*Leader).has_value();
  absl::SleepFor(Continue - monotonicNow());
  Cluster.node(*Leader).signal(SIGCONT);
  REQUIRE(Replaced);
  CallerRecord Told = Chat.get();
  CHECK((Told.m_whole || Told.m_outcome == "not_run"));
  Load.addChat(Told);
  Late.get();
  for (const ChangeRecord &Outcome : Load.changes())
    if (Outcome.m_changeId == "sent-to-paused")
      CHECK(Outcome.m_result == "conflict");
  REQUIRE(eventually(PatientLimit, [&] { return Cluster.ready(*Leader); }));
  REQUIRE(servesMore(Load, 20));
  concludeScenario(Cluster, Load);
}

// Guards against two leaders that both commit, a cut-off node that takes work
// after its read lease, and open streams that end with the lease.
TEST_CASE("the leader is cut off by connections that pass no bytes") {
  LiveCluster Cluster(true);
  REQUIRE(Cluster.form());
  LiveLoad Load(Cluster);
  REQUIRE(servesMore(Load, 20));
  std::optional<std::size_t> Leader = Cluster.waitForLeader();
  REQUIRE(Leader);
  auto Open = startChat(Cluster, *Leader, "open-at-the-cut", 1000);
  REQUIRE(eventually(PatientLimit,
                     [&] { return hasRun(Cluster, "open-at-the-cut"); }));
  Cluster.isolate(*Leader, true);
  // A leader grants itself read leases while it holds its leader lease. No
  // other leader can commit in that time.
  Instant LeaseOver = monotonicNow() + LeaderLease + ReadLease + RelayTurn;
  REQUIRE(Cluster.waitForLeader(*Leader));
  absl::SleepFor(LeaseOver - monotonicNow());
  CHECK_FALSE(Cluster.ready(*Leader));
  for (int Number = 0; Number < 5; ++Number) {
    CallerRecord Told = sendChat(Cluster, *Leader,
                                 fmt::format("sent-to-cut-off-{}", Number), 10);
    CHECK(Told.m_status == 503);
    CHECK(Told.m_outcome == "not_run");
    Load.addChat(Told);
  }
  CallerRecord Whole = Open.get();
  CHECK(Whole.m_whole);
  Load.addChat(Whole);
  Cluster.isolate(*Leader, false);
  REQUIRE(eventually(PatientLimit, [&] { return Cluster.ready(*Leader); }));
  REQUIRE(servesMore(Load, 20));
  concludeScenario(Cluster, Load);
}

// Guards against a voter that counts under its old identity without its log,
// and against one that never counts again.
TEST_CASE("a voter loses its data directory and votes again") {
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
  REQUIRE(eventually(PatientLimit, [&] {
    return linesWith(Cluster.node(*Leader).log(), "voters_committed") >=
               Joined + 2 &&
           Cluster.ready(Lost);
  }));
  CHECK(linesWith(Cluster.node(Lost).log(), "joining_as_learner") == 1);
  // Now a majority needs the voter that came back.
  Cluster.node(Third).kill();
  REQUIRE(Cluster.waitForLeader());
  restart(Cluster, Load, Third);
  REQUIRE(eventually(PatientLimit, [&] { return Cluster.ready(Third); }));
  concludeScenario(Cluster, Load);
}

// Guards against a stop that cuts off requests, refuses those that the
// balancer sends during its notice period, or ends with an error.
TEST_CASE("a node is stopped under load") {
  LiveCluster Cluster;
  REQUIRE(Cluster.form());
  LiveLoad Load(Cluster);
  REQUIRE(servesMore(Load, 20));
  std::optional<std::size_t> Leader = Cluster.waitForLeader();
  REQUIRE(Leader);
  auto Open = startChat(Cluster, *Leader, "open-at-the-stop", 1400);
  REQUIRE(eventually(PatientLimit,
                     [&] { return hasRun(Cluster, "open-at-the-stop"); }));
  Instant Stop = monotonicNow();
  Cluster.node(*Leader).signal(SIGTERM);
  CHECK(eventually(BalancerNotice, [&] { return !Cluster.ready(*Leader); }));
  CHECK(Cluster.node(*Leader).waitForExit(absl::ZeroDuration()) ==
        std::nullopt);
  CHECK(Cluster.node(*Leader).waitForExit(PatientLimit) == 0);
  CallerRecord Whole = Open.get();
  CHECK(Whole.m_whole);
  Load.addChat(Whole);
  REQUIRE(Cluster.waitForLeader(*Leader));
  REQUIRE(servesMore(Load, 20));
  concludeScenario(Cluster, Load);
  std::vector<CallerRecord> Sent = Load.chats();
  for (const CallerRecord &Call : Load.calls())
    Sent.push_back(Call);
  int DuringNotice = 0;
  for (const CallerRecord &Told : Sent) {
    // Half of the notice leaves time for the request to arrive.
    if (Told.m_node != *Leader || Told.m_sent > Stop + BalancerNotice / 2)
      continue;
    DuringNotice += Told.m_sent > Stop ? 1 : 0;
    CHECK_MESSAGE(Told.m_status != 0, Told.m_text, " was cut off");
  }
  CHECK(DuringNotice > 0);
}
