#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <fmt/format.h>

#include "turmericdyke/Feed"

using namespace turmericdyke;

namespace {

const Instant Start = absl::UnixEpoch() + absl::Hours(1);
const std::string Document = "routes";

FeedFacts facts(std::uint64_t Term, bool Complete = true) {
  FeedFacts Made;
  Made.m_term = Term;
  Made.m_leader = NodeId("leader");
  Made.m_leads = true;
  Made.m_complete = Complete;
  Made.m_routingVersion = 7;
  Made.m_routingDocument = &Document;
  return Made;
}

ServingTarget target(const std::string &Id, std::uint64_t Generation = 1) {
  ServingTarget Made;
  Made.m_id = TargetId(Id);
  Made.m_service = ServiceId("llm");
  Made.m_address = "10.0.0.1:80";
  Made.m_generation = Generation;
  return Made;
}

FeedRequest requestOf(FeedFollower &Follower, Instant Now) {
  std::vector<FeedFollower::Asking> Due = Follower.tick(Now);
  REQUIRE_FALSE(Due.empty());
  return Due.front().m_request;
}

} // namespace

// Guards against a node that serves what has ended, or does not know what is
// new: after any changes and any lost updates, one answered request brings the
// follower to the leader's list.
TEST_CASE("a follower reaches the leader's list whatever was lost") {
  CHECK(rc::check("deltas", [](const std::vector<std::uint8_t> &Draws) {
    FeedPublisher Publisher;
    FeedFollower Follower(NodeId("entry"), {NodeId("leader")});
    Instant Now = Start;
    std::map<std::string, std::uint64_t> Present;
    for (std::uint8_t Draw : Draws) {
      Now += absl::Milliseconds(300);
      std::string Id = fmt::format("t{}", Draw % 5);
      if (Draw % 3 == 0)
        Present.erase(Id);
      else
        Present[Id] = Draw;
      std::vector<ServingTarget> List;
      List.reserve(Present.size());
      for (const auto &[Name, Generation] : Present)
        List.push_back(target(Name, Generation));
      Publisher.setTargets(List);
      bool Lost = Draw % 4 == 0;
      for (auto &[Node, Update] : Publisher.pushes(Now, facts(1)))
        if (!Lost)
          Follower.receive(Now, Update);
      if (Draw % 2 == 0) {
        FeedRequest Request = Follower.tick(Now).front().m_request;
        Follower.receive(Now, Publisher.answer(Now, Request, facts(1)));
        RC_ASSERT(Follower.targets().size() == Present.size());
        for (const auto &[Name, Generation] : Present)
          RC_ASSERT(Follower.targets().at(TargetId(Name)).m_generation ==
                    Generation);
      }
    }
  }));
}

// Guards against an outage at each change of the leader: until the new one has
// heard of all servers, what the old one listed stays in use.
TEST_CASE("a new leader's incomplete list adds, its complete list replaces") {
  FeedPublisher Old;
  FeedFollower Follower(NodeId("entry"), {NodeId("leader")});
  Old.setTargets({target("a"), target("b")});
  Follower.receive(Start,
                   Old.answer(Start, requestOf(Follower, Start), facts(1)));
  CHECK(Follower.targets().size() == 2);
  Instant Later = Start + absl::Seconds(1);
  FeedPublisher New;
  New.setTargets({target("b"), target("c")});
  Follower.receive(
      Later, New.answer(Later, requestOf(Follower, Later), facts(2, false)));
  CHECK(Follower.targets().size() == 3);
  Later += absl::Seconds(1);
  FeedChange Change = Follower.receive(
      Later, New.answer(Later, requestOf(Follower, Later), facts(2)));
  CHECK(Change.m_ended == std::vector<TargetId>{TargetId("a")});
  CHECK(Follower.targets().size() == 2);
}

// Guards against a key that works on after it was taken away: an answer proves
// freshness from the send of its request, not from its arrival.
TEST_CASE("the lease counts from the request, and an old leader gives none") {
  FeedPublisher Publisher;
  FeedFollower Follower(NodeId("entry"), {NodeId("leader")});
  FeedRequest Request = requestOf(Follower, Start);
  FeedUpdate Update = Publisher.answer(Start, Request, facts(3));
  Instant Late = Start + absl::Seconds(2);
  Follower.receive(Late, Update);
  CHECK(Follower.leaseUntil() == Start + absl::Seconds(4));
  FeedFacts Stale = facts(2);
  Follower.receive(Late + absl::Seconds(1),
                   Publisher.answer(Late + absl::Seconds(1),
                                    requestOf(Follower, Late), Stale));
  CHECK(Follower.leaseUntil() == Start + absl::Seconds(4));
  FeedFacts Deposed = facts(3);
  Deposed.m_leads = false;
  FeedUpdate Hint = Publisher.answer(Late, Request, Deposed);
  CHECK_FALSE(Hint.m_leads);
  CHECK(Hint.m_targets.empty());
}

TEST_CASE("the routing document is sent until it is in force") {
  FeedPublisher Publisher;
  FeedFollower Follower(NodeId("entry"), {NodeId("leader")});
  FeedChange First = Follower.receive(
      Start, Publisher.answer(Start, requestOf(Follower, Start), facts(1)));
  REQUIRE(First.m_routingDocument);
  CHECK(First.m_routingVersion == 7);
  // It could not be read, so it is asked for again.
  Instant Later = Start + absl::Seconds(1);
  FeedChange Second = Follower.receive(
      Later, Publisher.answer(Later, requestOf(Follower, Later), facts(1)));
  CHECK(Second.m_routingDocument);
  Follower.routingInForce(7);
  Later += absl::Seconds(1);
  FeedChange Third = Follower.receive(
      Later, Publisher.answer(Later, requestOf(Follower, Later), facts(1)));
  CHECK_FALSE(Third.m_routingDocument);
}

// Guards against a leader whose link is full of documents that the next change
// overtakes, and against a lease for a node that lacks the newest one.
TEST_CASE("changes in quick succession are sent as one document, and an answer "
          "without it gives no lease") {
  FeedPublisher Publisher;
  FeedRequest Request;
  Request.m_node = NodeId("entry");
  Request.m_sentAtMicros = 5;
  FeedFacts Facts = facts(1);
  CHECK_FALSE(
      Publisher.answer(Start, Request, Facts).m_routingDocument.empty());
  std::size_t Documents = 0;
  Instant Now = Start;
  for (int Change = 0; Change < 50; ++Change) {
    Now += absl::Milliseconds(20);
    ++Facts.m_routingVersion;
    for (const auto &[Node, Update] : Publisher.pushes(Now, Facts))
      Documents += Update.m_routingDocument.empty() ? 0 : 1;
    FeedUpdate Answer = Publisher.answer(Now, Request, Facts);
    Documents += Answer.m_routingDocument.empty() ? 0 : 1;
    CHECK((Answer.m_echoMicros == 0) == Answer.m_routingDocument.empty());
  }
  CHECK(Documents <= 6);
  Now += absl::Milliseconds(250);
  FeedUpdate Last = Publisher.answer(Now, Request, Facts);
  CHECK(Last.m_routingVersion == Facts.m_routingVersion);
  CHECK_FALSE(Last.m_routingDocument.empty());
  CHECK(Last.m_echoMicros == 5);
}

TEST_CASE(
    "without an answer other coordinators are asked, hints are followed") {
  FeedFollower Follower(NodeId("entry"), {NodeId("a"), NodeId("b")});
  std::set<NodeId> Asked;
  for (int At = 0; At < 4; ++At)
    for (const auto &Ask : Follower.tick(Start + absl::Seconds(At)))
      Asked.insert(Ask.m_coordinator);
  CHECK(Asked == std::set<NodeId>{NodeId("a"), NodeId("b")});
  FeedUpdate Hint;
  Hint.m_term = 4;
  Hint.m_leader = NodeId("c");
  Hint.m_coordinators = {NodeId("c")};
  Follower.receive(Start + absl::Seconds(5), Hint);
  CHECK(Follower.tick(Start + absl::Seconds(6)).front().m_coordinator ==
        NodeId("c"));
}

TEST_CASE("the work of other entry nodes is told, a stopping one not counted") {
  FeedPublisher Publisher;
  FeedRequest One;
  One.m_node = NodeId("one");
  One.m_uses = {{TargetId("t"), 3}};
  FeedRequest Two;
  Two.m_node = NodeId("two");
  Two.m_uses = {{TargetId("t"), 2}};
  Publisher.answer(Start, One, facts(1));
  FeedUpdate Update = Publisher.answer(Start, Two, facts(1));
  REQUIRE(Update.m_othersUse.size() == 1);
  CHECK(Update.m_othersUse.front().m_requests == 3);
  CHECK(Update.m_entries == 2);
  One.m_stopping = true;
  Publisher.answer(Start, One, facts(1));
  CHECK(Publisher.entries(Start) == 1);
  CHECK(Publisher.entries(Start + absl::Seconds(3)) == 0);
}

// Guards against a voter set that changes at each restart, and against one that
// keeps a host that is gone.
TEST_CASE("a silent voter is replaced only when another coordinator is there") {
  CoordinatorRosterOptions Options;
  Options.m_voters = 3;
  CoordinatorRoster Roster(NodeId("a"), Options);
  std::vector<NodeId> Voters = {NodeId("a"), NodeId("b"), NodeId("c")};
  Roster.heard(Start, NodeId("b"));
  Roster.heard(Start, NodeId("c"));
  Instant Later = Start + absl::Seconds(10);
  Roster.heard(Later, NodeId("b"));
  CHECK(Roster.desiredVoters(Later, Voters) == Voters);
  Roster.heard(Later, NodeId("d"));
  std::vector<NodeId> Desired = Roster.desiredVoters(Later, Voters);
  CHECK(std::count(Desired.begin(), Desired.end(), NodeId("c")) == 0);
  CHECK(std::count(Desired.begin(), Desired.end(), NodeId("d")) == 1);
  Instant Soon = Start + absl::Seconds(3);
  CoordinatorRoster Patient(NodeId("a"), Options);
  Patient.heard(Start, NodeId("b"));
  Patient.heard(Start, NodeId("c"));
  Patient.heard(Soon, NodeId("d"));
  CHECK(Patient.desiredVoters(Soon, Voters) == Voters);
}

TEST_CASE("a roster grows to the wanted number of voters") {
  CoordinatorRosterOptions Options;
  Options.m_voters = 5;
  CoordinatorRoster Roster(NodeId("a"), Options);
  Roster.heard(Start, NodeId("b"));
  Roster.named(Start, NodeId("never-heard"));
  std::vector<NodeId> Voters = {NodeId("a")};
  CHECK(Roster.desiredVoters(Start, Voters).size() == 2);
}
