#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <fmt/format.h>

#include "turmericdyke/Feed"

using namespace turmericdyke;

namespace {

const Instant Start = absl::UnixEpoch() + absl::Hours(1);
const std::string Document = "routes";

FeedContext context(std::uint64_t Term, bool Complete = true) {
  FeedContext Value;
  Value.m_term = Term;
  Value.m_leader = NodeId("leader");
  Value.m_leads = true;
  Value.m_complete = Complete;
  Value.m_routingVersion = 7;
  Value.m_routingDocument = &Document;
  return Value;
}

ServingTarget target(const std::string &Id, std::uint64_t Generation = 1) {
  ServingTarget Value;
  Value.m_id = TargetId(Id);
  Value.m_service = ServiceId("llm");
  Value.m_address = "10.0.0.1:80";
  Value.m_generation = Generation;
  return Value;
}

FeedRequest dueRequest(FeedFollower &Follower, Instant Now) {
  std::vector<FeedFollower::OutgoingRequest> Due = Follower.tick(Now);
  REQUIRE_FALSE(Due.empty());
  return Due.front().m_request;
}

} // namespace

// Guards against a node that uses ended targets or lacks new ones: after any
// changes and any lost updates, one response brings the follower to the
// leader's list.
TEST_CASE("a follower converges to the leader's list after lost updates") {
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
      for (auto &[Node, Update] : Publisher.pendingUpdates(Now, context(1)))
        if (!Lost)
          Follower.receive(Now, Update);
      if (Draw % 2 == 0) {
        FeedRequest Request = Follower.tick(Now).front().m_request;
        Follower.receive(Now, Publisher.respond(Now, Request, context(1)));
        RC_ASSERT(Follower.targets().size() == Present.size());
        for (const auto &[Name, Generation] : Present)
          RC_ASSERT(Follower.targets().at(TargetId(Name)).m_generation ==
                    Generation);
      }
    }
  }));
}

// Guards against an outage at each leader change: targets listed by the old
// leader stay in use until the new one has heard from all servers.
TEST_CASE("a new leader's incomplete list adds targets, its complete list "
          "replaces them") {
  FeedPublisher Old;
  FeedFollower Follower(NodeId("entry"), {NodeId("leader")});
  Old.setTargets({target("a"), target("b")});
  Follower.receive(Start,
                   Old.respond(Start, dueRequest(Follower, Start), context(1)));
  CHECK(Follower.targets().size() == 2);
  Instant Later = Start + absl::Seconds(1);
  FeedPublisher New;
  New.setTargets({target("b"), target("c")});
  Follower.receive(Later, New.respond(Later, dueRequest(Follower, Later),
                                      context(2, false)));
  CHECK(Follower.targets().size() == 3);
  Later += absl::Seconds(1);
  FeedChange Change = Follower.receive(
      Later, New.respond(Later, dueRequest(Follower, Later), context(2)));
  CHECK(Change.m_ended == std::vector<TargetId>{TargetId("a")});
  CHECK(Follower.targets().size() == 2);
}

// Guards against a revoked key that is still accepted: a response proves
// freshness from the time its request was sent, not from its arrival.
TEST_CASE("the lease starts with the request, and an old leader gives none") {
  FeedPublisher Publisher;
  FeedFollower Follower(NodeId("entry"), {NodeId("leader")});
  FeedRequest Request = dueRequest(Follower, Start);
  FeedUpdate Update = Publisher.respond(Start, Request, context(3));
  Instant Late = Start + absl::Seconds(2);
  Follower.receive(Late, Update);
  CHECK(Follower.leaseUntil() == Start + absl::Seconds(4));
  FeedContext Stale = context(2);
  Follower.receive(Late + absl::Seconds(1),
                   Publisher.respond(Late + absl::Seconds(1),
                                     dueRequest(Follower, Late), Stale));
  CHECK(Follower.leaseUntil() == Start + absl::Seconds(4));
  FeedContext NotLeading = context(3);
  NotLeading.m_leads = false;
  FeedUpdate Hint = Publisher.respond(Late, Request, NotLeading);
  CHECK_FALSE(Hint.m_leads);
  CHECK(Hint.m_targets.empty());
}

TEST_CASE("the routing document is sent until it is in force") {
  FeedPublisher Publisher;
  FeedFollower Follower(NodeId("entry"), {NodeId("leader")});
  FeedChange First = Follower.receive(
      Start, Publisher.respond(Start, dueRequest(Follower, Start), context(1)));
  REQUIRE(First.m_routingDocument);
  CHECK(First.m_routingVersion == 7);
  // The document could not be parsed, so it is requested again.
  Instant Later = Start + absl::Seconds(1);
  FeedChange Second = Follower.receive(
      Later, Publisher.respond(Later, dueRequest(Follower, Later), context(1)));
  CHECK(Second.m_routingDocument);
  Follower.routingApplied(7);
  Later += absl::Seconds(1);
  FeedChange Third = Follower.receive(
      Later, Publisher.respond(Later, dueRequest(Follower, Later), context(1)));
  CHECK_FALSE(Third.m_routingDocument);
}

// Guards against a leader whose link is full of outdated documents, and against
// a lease for a node that lacks the newest one.
TEST_CASE("rapid changes are sent as one document, and a response "
          "without it gives no lease") {
  FeedPublisher Publisher;
  FeedRequest Request;
  Request.m_node = NodeId("entry");
  Request.m_sentAtMicros = 5;
  FeedContext Context = context(1);
  CHECK_FALSE(
      Publisher.respond(Start, Request, Context).m_routingDocument.empty());
  std::size_t Documents = 0;
  Instant Now = Start;
  for (int Change = 0; Change < 50; ++Change) {
    Now += absl::Milliseconds(20);
    ++Context.m_routingVersion;
    for (const auto &[Node, Update] : Publisher.pendingUpdates(Now, Context))
      Documents += Update.m_routingDocument.empty() ? 0 : 1;
    FeedUpdate Answer = Publisher.respond(Now, Request, Context);
    Documents += Answer.m_routingDocument.empty() ? 0 : 1;
    CHECK((Answer.m_echoMicros == 0) == Answer.m_routingDocument.empty());
  }
  CHECK(Documents <= 6);
  Now += absl::Milliseconds(250);
  FeedUpdate Last = Publisher.respond(Now, Request, Context);
  CHECK(Last.m_routingVersion == Context.m_routingVersion);
  CHECK_FALSE(Last.m_routingDocument.empty());
  CHECK(Last.m_echoMicros == 5);
}

TEST_CASE(
    "without a response other coordinators are asked, hints are followed") {
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

TEST_CASE(
    "load of other entry nodes is reported, stopping ones are not counted") {
  FeedPublisher Publisher;
  FeedRequest One;
  One.m_node = NodeId("one");
  One.m_uses = {{TargetId("t"), 3}};
  FeedRequest Two;
  Two.m_node = NodeId("two");
  Two.m_uses = {{TargetId("t"), 2}};
  Publisher.respond(Start, One, context(1));
  FeedUpdate Update = Publisher.respond(Start, Two, context(1));
  REQUIRE(Update.m_othersUse.size() == 1);
  CHECK(Update.m_othersUse.front().m_requests == 3);
  CHECK(Update.m_entries == 2);
  One.m_stopping = true;
  Publisher.respond(Start, One, context(1));
  CHECK(Publisher.entryNodes(Start) == 1);
  CHECK(Publisher.entryNodes(Start + absl::Seconds(3)) == 0);
}

// Guards against a voter set that changes at each restart, and against one that
// keeps a lost host.
TEST_CASE(
    "a silent voter is replaced only if another coordinator is available") {
  CoordinatorRosterOptions Options;
  Options.m_voters = 3;
  CoordinatorRoster Roster(NodeId("a"), Options);
  std::vector<NodeId> Voters = {NodeId("a"), NodeId("b"), NodeId("c")};
  Roster.heardFrom(Start, NodeId("b"));
  Roster.heardFrom(Start, NodeId("c"));
  Instant Later = Start + absl::Seconds(10);
  Roster.heardFrom(Later, NodeId("b"));
  CHECK(Roster.desiredVoters(Later, Voters) == Voters);
  Roster.heardFrom(Later, NodeId("d"));
  std::vector<NodeId> Desired = Roster.desiredVoters(Later, Voters);
  CHECK(std::count(Desired.begin(), Desired.end(), NodeId("c")) == 0);
  CHECK(std::count(Desired.begin(), Desired.end(), NodeId("d")) == 1);
  Instant BeforeTimeout = Start + absl::Seconds(3);
  CoordinatorRoster Unchanged(NodeId("a"), Options);
  Unchanged.heardFrom(Start, NodeId("b"));
  Unchanged.heardFrom(Start, NodeId("c"));
  Unchanged.heardFrom(BeforeTimeout, NodeId("d"));
  CHECK(Unchanged.desiredVoters(BeforeTimeout, Voters) == Voters);
}

TEST_CASE("the voter set grows to the desired size") {
  CoordinatorRosterOptions Options;
  Options.m_voters = 5;
  CoordinatorRoster Roster(NodeId("a"), Options);
  Roster.heardFrom(Start, NodeId("b"));
  Roster.discovered(Start, NodeId("never-heard"));
  std::vector<NodeId> Voters = {NodeId("a")};
  CHECK(Roster.desiredVoters(Start, Voters).size() == 2);
}
