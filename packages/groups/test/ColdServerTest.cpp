#include <string>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "turmericdyke/Feed"
#include "turmericdyke/Groups"

using namespace turmericdyke;

namespace {

const Instant Start = absl::UnixEpoch() + absl::Hours(1);
const Instant Long = Start - absl::Minutes(5);
constexpr absl::Duration ColdStart = absl::Seconds(3);
/// The platform's interval between two announcements.
constexpr absl::Duration Interval = absl::Milliseconds(1200);

ServiceEntry service() {
  ServiceEntry Service;
  Service.m_id = ServiceId("llm");
  Service.m_coldStart = ColdStart;
  Service.m_coldPerSecond = 17;
  return Service;
}

/// A server that announces itself to a directory.
class Announcer {
public:
  explicit Announcer(const char *Id = "s") {
    m_next.m_id = TargetId(Id);
    m_next.m_service = ServiceId("llm");
    m_next.m_address = "10.0.0.1:" + std::to_string(int{*Id});
    m_next.m_failureDomain = FailureDomainId("z");
    m_next.m_startMillis = 1;
  }
  /// States how long it stays cold, or nothing.
  AnnouncementResult announce(Instant Now, ServerDirectory &Directory,
                              std::optional<absl::Duration> ColdFor) {
    ++m_next.m_sequence;
    m_next.m_coldUntil.reset();
    if (ColdFor)
      m_next.m_coldUntil = *ColdFor > absl::ZeroDuration()
                               ? Now + *ColdFor
                               : absl::InfinitePast();
    return Directory.announce(Now, m_next);
  }
  void restart() { ++m_next.m_startMillis; }
  const TargetId &id() const { return m_next.m_id; }

private:
  ServerAnnouncement m_next;
};

/// How much longer the server is cold.
absl::Duration left(Instant Now, const ServerDirectory &Directory,
                    Instant RequestsSince = Long, const char *Id = "s") {
  return std::max(
      absl::ZeroDuration(),
      coldUntil(*Directory.find(TargetId(Id)), service(), RequestsSince) - Now);
}

constexpr absl::Duration Warm = absl::ZeroDuration();

} // namespace

// Guards against a burst that meets a server before its first statement that it
// is cold arrives.
TEST_CASE("a server that starts while requests run counts as cold, until it "
          "states otherwise in a second announcement") {
  for (std::optional<absl::Duration> First :
       {std::optional<absl::Duration>(), std::optional(Warm)}) {
    ServerDirectory Directory;
    Announcer Server;
    Server.announce(Start, Directory, First);
    CHECK(left(Start, Directory) == ColdStart);
    CHECK(left(Start, Directory, Start + absl::Seconds(1)) == Warm);
    ServiceEntry Unlimited = service();
    Unlimited.m_coldPerSecond = 0;
    CHECK(coldUntil(*Directory.find(Server.id()), Unlimited, Long) ==
          absl::InfinitePast());
    Server.announce(Start + Interval, Directory, std::nullopt);
    CHECK(left(Start + Interval, Directory) == ColdStart - Interval);
    Server.announce(Start + Interval, Directory, Warm);
    CHECK(left(Start + Interval, Directory) == Warm);
    Server.announce(Start + 2 * Interval, Directory, Warm);
    CHECK(left(Start + 2 * Interval, Directory) == Warm);
    Server.restart();
    Server.announce(Start + 2 * Interval, Directory, First);
    CHECK(left(Start + 2 * Interval, Directory) == ColdStart);
  }
}

TEST_CASE("a server is cold for as long as it states, at any time") {
  ServerDirectory Directory;
  Announcer Server;
  Server.announce(Long, Directory, Warm);
  Instant Now = Long;
  while (Now < Start) {
    Now += Interval;
    CHECK(Server.announce(Now, Directory, Warm) ==
          AnnouncementResult::Unchanged);
  }
  CHECK(left(Now, Directory) == Warm);
  CHECK(Server.announce(Now, Directory, absl::Seconds(5)) ==
        AnnouncementResult::Changed);
  CHECK(left(Now, Directory) == absl::Seconds(5));
  // The same deadline is no news, also if the announcement was a little late.
  Now += Interval;
  CHECK(
      Server.announce(Now, Directory,
                      absl::Seconds(5) - Interval + absl::Milliseconds(100)) ==
      AnnouncementResult::Unchanged);
  CHECK(Server.announce(Now, Directory, std::nullopt) ==
        AnnouncementResult::Unchanged);
  CHECK(left(Now, Directory) > absl::Seconds(3));
  CHECK(Server.announce(Now, Directory, Warm) == AnnouncementResult::Changed);
  CHECK(left(Now, Directory) == Warm);
}

// Guards against all servers being limited after a restart of all coordinators:
// the new leader hears each of them for the first time.
TEST_CASE("servers that a leader without a list hears first are cold only if "
          "they say so") {
  ServerDirectory Directory;
  Announcer Server;
  Server.announce(Start, Directory, Warm);
  CHECK(left(Start, Directory, requestsSince(Start, {false, false, false})) ==
        Warm);
  Instant Settled = Start + absl::Seconds(3);
  CHECK(left(Settled, Directory,
             requestsSince(Settled, {false, false, true})) == Warm);
  Announcer Cold("t");
  Cold.announce(Start, Directory, absl::Seconds(2));
  CHECK(left(Start, Directory, requestsSince(Start, {false, false, false}),
             "t") == absl::Seconds(2));
  Announcer Later("u");
  Later.announce(Settled + Interval, Directory, Warm);
  CHECK(left(Settled + Interval, Directory,
             requestsSince(Settled, {false, false, true}), "u") == ColdStart);
  CHECK(requestsSince(Start, {true, false, false}) == Start);
  CHECK(requestsSince(Start, {false, true, false}) == absl::InfinitePast());
}

// Guards against a server that became cold while it was cut off from the
// coordinators.
TEST_CASE("a server counts as started when it is heard again after a silence") {
  ServerDirectory Directory;
  Announcer Server;
  Server.announce(Long, Directory, Warm);
  Server.announce(Long + absl::Milliseconds(2900), Directory, Warm);
  CHECK(left(Long + absl::Milliseconds(2900), Directory, Long - ColdStart) ==
        absl::Milliseconds(0));
  for (bool Probe : {false, true}) {
    Instant Back = Start + (Probe ? absl::Seconds(30) : absl::ZeroDuration());
    std::uint64_t Before = Directory.sequence();
    if (Probe)
      Directory.probeAnswered(Back, Server.id());
    else
      Server.announce(Back, Directory, Warm);
    CHECK(left(Back, Directory) == ColdStart);
    // The successor of the leader must know.
    CHECK(Directory.sequence() > Before);
    Server.announce(Back + Interval, Directory, Warm);
    CHECK(left(Back + Interval, Directory) == Warm);
  }
}

TEST_CASE(
    "servers of a failure domain that is used again count as cold, unless "
    "they state otherwise later") {
  ServerDirectory Directory;
  Announcer Server;
  Server.announce(Long, Directory, Warm);
  for (Instant Now = Long; Now < Start; Now += Interval)
    Server.announce(Now, Directory, Warm);
  Directory.countAsStarted(FailureDomainId("other"), Start);
  CHECK(left(Start, Directory) == Warm);
  Directory.countAsStarted(FailureDomainId("z"), Start);
  CHECK(left(Start, Directory) == ColdStart);
  // It may have been sent before the order reached the entry nodes.
  Server.announce(Start + absl::Milliseconds(100), Directory, Warm);
  CHECK(left(Start + absl::Seconds(1), Directory) == absl::Seconds(2));
  Server.announce(Start + Interval, Directory, Warm);
  CHECK(left(Start + Interval, Directory) == Warm);
}

// Guards against a change of the leader that frees cold servers, and against
// instants of one host that are compared with those of another.
TEST_CASE("a successor on another clock inherits how long servers are cold") {
  constexpr absl::Duration Ahead = absl::Hours(77);
  ServerDirectory Directory;
  Announcer Stating("s");
  Announcer Started("t");
  Announcer Old("u");
  Old.announce(Start - absl::Seconds(1), Directory, Warm);
  Old.announce(Start - absl::Seconds(1) + Interval, Directory, Warm);
  Stating.announce(Start, Directory, absl::Seconds(9));
  Started.announce(Start, Directory, std::nullopt);
  DirectoryUpdate Update = Directory.changesSince(0);
  Update.m_term = 1;
  Update.m_now = Start + absl::Seconds(1);
  auto Read = parseDirectoryUpdate(toJson(Update));
  REQUIRE(Read);
  Instant Now = Update.m_now + Ahead;
  setClock(Read.value(), Now);
  DirectoryCopy Copy;
  REQUIRE(Copy.receive(Read.value()));
  ServerDirectory Successor;
  Successor.inherit(Now, Copy.servers());
  CHECK(left(Now, Successor, Long, "s") == absl::Seconds(8));
  CHECK(left(Now, Successor, Long, "t") == absl::Seconds(2));
  CHECK(left(Now, Successor, Long, "u") == Warm);
}

// Guards against older builds, whose messages do not state the fields.
TEST_CASE("a copy without the fields says nothing of cold servers") {
  ServerDirectory Directory;
  Announcer Server;
  Server.announce(Start, Directory, absl::Seconds(9));
  nlohmann::json Json = toJson(Directory.changesSince(0));
  Json["servers"][0].erase("cold_us");
  Json["servers"][0].erase("counts_as_started_us");
  auto Read = parseDirectoryUpdate(Json);
  REQUIRE(Read);
  REQUIRE(Read.value().m_servers.size() == 1);
  CHECK_FALSE(Read.value().m_servers[0].m_announcement.m_coldUntil);
  CHECK(Read.value().m_servers[0].m_countsAsStarted == absl::InfinitePast());
}

// Guards against a relay that hides from the leader that a server is cold, and
// against one that passes on each announcement of a cold server in full.
TEST_CASE("a relay passes on that a server is cold once") {
  DirectoryCopy Copy;
  AnnouncementRelay Relay;
  ServerAnnouncement Server;
  Server.m_id = TargetId("s");
  Server.m_service = ServiceId("llm");
  Server.m_address = "10.0.0.1:80";
  Server.m_sequence = 1;
  DirectoryUpdate Known;
  Known.m_term = 1;
  Known.m_servers.push_back({Server, ""});
  REQUIRE(Copy.receive(Known));
  Server.m_sequence = 2;
  Server.m_coldUntil = absl::InfinitePast();
  Relay.add(Server, Copy);
  CHECK_FALSE(Relay.hasChanges());
  Server.m_sequence = 3;
  Server.m_coldUntil = Start + absl::Seconds(3);
  Relay.add(Server, Copy);
  REQUIRE(Relay.hasChanges());
  AnnouncementBatch Batch = Relay.take();
  Batch.m_now = Start;
  auto Read = parseAnnouncementBatch(toJson(Batch));
  REQUIRE(Read);
  setClock(Read.value(), Start + absl::Hours(5));
  CHECK(Read.value().m_changed[0].m_coldUntil ==
        Start + absl::Hours(5) + absl::Seconds(3));
  Known.m_from = Known.m_sequence;
  ++Known.m_sequence;
  Known.m_servers[0].m_announcement = Server;
  REQUIRE(Copy.receive(Known));
  Server.m_sequence = 4;
  Server.m_coldUntil = Start + absl::Milliseconds(3020);
  Relay.add(Server, Copy);
  CHECK_FALSE(Relay.hasChanges());
}

TEST_CASE("the rate of a cold target is half of what it may get in a second, "
          "and ends some hundred ms after the server is warm") {
  ColdTargets Cold({1.5, 5});
  ServerDirectory Directory;
  Announcer Server;
  Server.announce(Start, Directory, absl::Seconds(4));
  auto Rate = [&](absl::Duration After) {
    return Cold.rate(Start + After, *Directory.find(Server.id()), service(),
                     Long);
  };
  CHECK(Rate(Warm) == (17 * 1.5 + 5) / 2);
  CHECK(Rate(absl::Milliseconds(4200)) == Rate(Warm));
  CHECK_FALSE(Rate(absl::Milliseconds(4400)));
  ServingTarget Target;
  Target.m_id = Server.id();
  Target.m_coldPerSecond = Rate(Warm);
  absl::Span<ServingTarget> Targets(&Target, 1);
  CHECK(Cold.update(Targets, false).size() == 1);
  // Equal parts and grants of one target would add up.
  CHECK(Cold.update(Targets, true).empty());
  CHECK_FALSE(Target.m_coldLent);
  Target.m_coldPerSecond.reset();
  REQUIRE(Cold.size() == 1);
  CHECK_FALSE(Cold.update(Targets, true).at(0).m_perSecond);
  Target.m_coldPerSecond = Rate(Warm);
  CHECK(Cold.update(Targets, true).size() == 1);
  CHECK(Target.m_coldLent);
}

// Guards against a head that takes a tenth of the requests for seconds while
// another member could take all.
TEST_CASE("the head of a new group is a member that is not cold") {
  CHECK(chooseHead(Start, {absl::InfinitePast()}) == 0);
  CHECK(chooseHead(Start, {Start + ColdStart, Start - ColdStart,
                           absl::InfinitePast()}) == 1);
  CHECK(chooseHead(Start, {Start + 2 * ColdStart, Start + ColdStart}) == 1);
  Catalog Routes;
  Routes.m_services.push_back(service());
  Routes.m_services[0].m_engine.emplace();
  EngineModel Model;
  Model.m_name = "m";
  Model.m_members = 3;
  Routes.m_services[0].m_engine->m_models.push_back(Model);
  for (bool Limited : {true, false}) {
    ServerDirectory Directory;
    Announcer First("a");
    Announcer Second("b");
    Announcer Third("c");
    First.announce(Start, Directory, absl::Seconds(9));
    Second.announce(Start, Directory, absl::Seconds(5));
    Third.announce(Start, Directory, Warm);
    if (!Limited)
      Routes.m_services[0].m_coldPerSecond = 0;
    GroupPlanner Planner;
    Planner.lead(1);
    GroupPlannerInput Input;
    Input.m_servers = &Directory;
    Input.m_catalog = &Routes;
    (void)Planner.step(Start, Input);
    REQUIRE(Planner.groups().size() == 1);
    CHECK(Planner.groups().begin()->second.head() ==
          TargetId(Limited ? "c" : "a"));
  }
}
