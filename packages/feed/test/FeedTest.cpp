#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "FeedFixture.h"

using namespace turmericdyke;

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
      Publisher.setTargets(Start, List);
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
  Old.setTargets(Start, {target("a"), target("b")});
  Follower.receive(Start,
                   Old.respond(Start, dueRequest(Follower, Start), context(1)));
  CHECK(Follower.targets().size() == 2);
  Instant Later = Start + absl::Seconds(1);
  FeedPublisher New;
  New.setTargets(Start, {target("b"), target("c")});
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
  Publisher.respond(Start, One, context(1));
  // Uses are encoded again after 25 ms.
  Instant Later = Start + absl::Milliseconds(30);
  FeedFollower Follower(NodeId("two"), {NodeId("leader")});
  FeedUpdate First = Publisher.respond(
      Start, Follower.tick(Start).front().m_request, context(1));
  Follower.receive(Start, First);
  FeedRequest Two =
      Follower.tick(Start + absl::Milliseconds(300), {{TargetId("t"), 2}})
          .front()
          .m_request;
  REQUIRE(Two.m_uses.size() == 1);
  Publisher.respond(Later, One, context(1));
  Later = Start + absl::Milliseconds(300);
  FeedUpdate Update = Publisher.respond(Later, Two, context(1));
  Follower.receive(Later, Update);
  CHECK(Follower.requestsOfOthers(TargetId("t")) == 3);
  CHECK(Update.m_entries == 2);
  One.m_stopping = true;
  Publisher.respond(Later, One, context(1));
  CHECK(Publisher.entryNodes(Later) == 1);
  CHECK(Publisher.entryNodes(Later + absl::Seconds(3)) == 0);
}

namespace {

/// A log in which every node but `Silent` responds and has caught up.
ReplicationStatus replication(std::vector<NodeId> Voters,
                              const std::vector<NodeId> &Silent,
                              std::vector<NodeId> Others = {}) {
  ReplicationStatus Status;
  Status.m_voters = Voters;
  for (std::vector<NodeId> *Nodes : {&Voters, &Others})
    for (const NodeId &Node : *Nodes)
      if (std::count(Silent.begin(), Silent.end(), Node) == 0)
        Status.m_responding.push_back(Node);
  Status.m_caughtUp = Status.m_responding;
  return Status;
}

} // namespace

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
  ReplicationStatus Status = replication(Voters, {NodeId("c")}, {NodeId("d")});
  CHECK(Roster.desiredVoters(Later, Status) == Voters);
  Roster.heardFrom(Later, NodeId("d"));
  std::vector<NodeId> Desired = Roster.desiredVoters(Later, Status);
  CHECK(std::count(Desired.begin(), Desired.end(), NodeId("c")) == 0);
  CHECK(std::count(Desired.begin(), Desired.end(), NodeId("d")) == 1);
  CHECK(Roster.desiredVoters(Later,
                             replication(Voters, {NodeId("c"), NodeId("d")},
                                         {NodeId("d")})) == Voters);
  Instant BeforeTimeout = Start + absl::Seconds(1);
  CoordinatorRoster Unchanged(NodeId("a"), Options);
  Unchanged.heardFrom(Start, NodeId("b"));
  Unchanged.heardFrom(Start, NodeId("c"));
  Unchanged.heardFrom(BeforeTimeout, NodeId("d"));
  CHECK(Unchanged.desiredVoters(BeforeTimeout, Status) == Voters);
}

TEST_CASE("a voter that responds to heartbeats is kept although its messages "
          "are late") {
  CoordinatorRosterOptions Options;
  CoordinatorRoster Roster(NodeId("a"), Options);
  std::vector<NodeId> Voters = {NodeId("a"), NodeId("b"), NodeId("c")};
  Instant Later = Start + absl::Seconds(10);
  Roster.heardFrom(Start, NodeId("b"));
  Roster.heardFrom(Start, NodeId("c"));
  Roster.heardFrom(Later, NodeId("d"));
  CHECK(Roster.desiredVoters(Later, replication(Voters, {}, {NodeId("d")})) ==
        Voters);
}

TEST_CASE("a list of coordinators tells whether its sender is about to stop, "
          "and one of an earlier version does not") {
  RosterMessage Message;
  Message.m_leaving = true;
  nlohmann::json Encoded = toJson(Message);
  CHECK(parseRosterMessage(Encoded).value().m_leaving);
  Encoded.erase("leaving");
  CHECK_FALSE(parseRosterMessage(Encoded).value().m_leaving);
}

TEST_CASE("a lost voter is given up without a replacement while the set is "
          "larger than desired") {
  CoordinatorRosterOptions Options;
  Options.m_voters = 3;
  CoordinatorRoster Roster(NodeId("a"), Options);
  std::vector<NodeId> Voters = {NodeId("a"), NodeId("b"), NodeId("c"),
                                NodeId("d")};
  for (const NodeId &Node : Voters)
    Roster.heardFrom(Start, Node);
  Instant Later = Start + absl::Seconds(10);
  Roster.heardFrom(Later, NodeId("c"));
  Roster.heardFrom(Later, NodeId("d"));
  CHECK(Roster.desiredVoters(Later, replication(Voters, {NodeId("b")})) ==
        std::vector<NodeId>{NodeId("a"), NodeId("c"), NodeId("d")});
}

TEST_CASE("the voter set grows to the desired size") {
  CoordinatorRosterOptions Options;
  Options.m_voters = 5;
  CoordinatorRoster Roster(NodeId("a"), Options);
  Roster.heardFrom(Start, NodeId("b"));
  Roster.discovered(Start, NodeId("never-heard"));
  CHECK(Roster
            .desiredVoters(Start,
                           replication({NodeId("a")}, {},
                                       {NodeId("b"), NodeId("never-heard")}))
            .size() == 2);
}

namespace {

FeedContext relayContext(const FeedRelay &Relay, Instant Now,
                         std::uint64_t RoutingVersion = 7) {
  FeedContext Value;
  Value.m_routingVersion = RoutingVersion;
  Value.m_routingDocument = &Document;
  Relay.fillContext(Now, Value);
  return Value;
}

/// One request of a relay to the leader and its response.
void sync(FeedRelay &Relay, FeedPublisher &Mirror, FeedPublisher &Leader,
          Instant Sent, Instant Answered, const FeedContext &Context) {
  FeedRequest Request = Relay.request(Sent, Mirror);
  Relay.receive(Answered, Leader.respond(Answered, Request, Context), Mirror);
}

} // namespace

// Guards against an entry node that goes back to an older list, or misses the
// removal of a target, as it moves between coordinators that know different
// states of the same term.
TEST_CASE("a follower that moves between relays never goes back and never "
          "keeps an ended target") {
  CHECK(rc::check("relays", [](const std::vector<std::uint8_t> &Draws) {
    FeedPublisher Leader;
    FeedPublisher Mirrors[2];
    FeedRelay Relays[2] = {FeedRelay(NodeId("r0")), FeedRelay(NodeId("r1"))};
    FeedFollower Follower(NodeId("entry"), {NodeId("leader")});
    Instant Now = Start;
    std::map<std::string, std::uint64_t> Present;
    std::vector<std::map<std::string, std::uint64_t>> States = {Present};
    std::size_t Shown = 0;
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
      Leader.setTargets(Start, List);
      States.push_back(Present);
      std::size_t Updated = Draw % 2;
      sync(Relays[Updated], Mirrors[Updated], Leader, Now, Now, context(1));
      std::size_t Asked = (Draw / 2) % 2;
      if (!Relays[Asked].isFresh(Now) && Asked != Updated)
        continue;
      FeedRequest Request = Follower.tick(Now).front().m_request;
      Follower.receive(
          Now, Mirrors[Asked].respond(Now, Request,
                                      relayContext(Relays[Asked], Now)));
      // The follower holds one of the leader's states, not older than before.
      std::map<std::string, std::uint64_t> Held;
      for (const auto &[Target, Value] : Follower.targets())
        Held[Target.str()] = Value.m_generation;
      std::size_t At = States.size();
      while (At > Shown && States[At - 1] != Held)
        --At;
      RC_ASSERT(At > Shown || States[Shown] == Held);
      Shown = At > Shown ? At - 1 : Shown;
    }
  }));
}

// Guards against targets that go on crashing where entry nodes follow a relay.
TEST_CASE(
    "a relay passes on crash reports, and suspect lists once to each node") {
  FeedRelay Relay(NodeId("relay"));
  FeedPublisher Mirror;
  FeedRequest Reporting;
  Reporting.m_node = NodeId("entry");
  Reporting.m_crashes = {{TargetId("t"), 7, true, {1, 2}}};
  Reporting.m_progress = {{3, 7}};
  Relay.collect(Start, Reporting);
  FeedRequest Relayed =
      parseFeedRequest(toJson(Relay.request(Start, Mirror))).value();
  REQUIRE(Relayed.m_crashes.size() == 1);
  CHECK(Relayed.m_crashes[0].m_generation == 7);
  CHECK(Relayed.m_crashes[0].m_began);
  CHECK(Relayed.m_crashes[0].m_keys == std::vector<SuspectKey>{1, 2});
  CHECK(Relayed.m_progress == std::vector<KeyProgress>{{3, 7}});
  CHECK(Relay.request(Start, Mirror).m_crashes.empty());

  SuspectLists Lists{9, {1}, {2}};
  FeedContext Leading = context(3);
  Leading.m_suspects = &Lists;
  FeedPublisher Leader;
  sync(Relay, Mirror, Leader, Start, Start, Leading);
  FeedContext Relaying = relayContext(Relay, Start);
  FeedUpdate Update =
      parseFeedUpdate(toJson(Mirror.respond(Start, Reporting, Relaying)))
          .value();
  REQUIRE(Update.m_suspects);
  CHECK(Update.m_suspects->m_refused == std::vector<SuspectKey>{2});
  CHECK(Mirror.pendingUpdates(Start, Relaying).empty());
  Reporting.m_suspectsVersion = Update.m_suspects->m_version;
  CHECK_FALSE(Mirror.respond(Start, Reporting, Relaying).m_suspects);
}

// Guards against demand that is lost, or counted twice, where entry nodes
// follow a relay, and against sums that overflow.
TEST_CASE("a relay sums arrivals by model and reports them once") {
  FeedRelay Relay(NodeId("relay"));
  FeedPublisher Mirror;
  FeedRequest Reporting;
  Reporting.m_node = NodeId("entry");
  Reporting.m_arrivals = {{ServiceId("llm"), "large", 1, 700, 60},
                          {ServiceId("llm"), "small", 2, 900, 80}};
  Relay.collect(Start, Reporting);
  Reporting.m_node = NodeId("other");
  Reporting.m_arrivals = {{ServiceId("llm"), "small", 3, INT64_MAX, -5}};
  Relay.collect(Start, Reporting);
  Relay.collect(Start, Reporting);
  FeedRequest Relayed =
      parseFeedRequest(toJson(Relay.request(Start, Mirror))).value();
  REQUIRE(Relayed.m_arrivals.size() == 2);
  CHECK(Relayed.m_arrivals[0] ==
        ModelArrivals{ServiceId("llm"), "large", 1, 700, 60});
  CHECK(Relayed.m_arrivals[1].m_requests == 8);
  CHECK(Relayed.m_arrivals[1].m_promptTokens > 0);
  CHECK(Relayed.m_arrivals[1].m_outputTokens == 80);
  CHECK(Relay.request(Start, Mirror).m_arrivals.empty());
}

// Guards against a revoked key that is accepted through a relay which was cut
// off from the leader: the lease is as short as the relay's knowledge is old.
TEST_CASE("a lease through a relay starts with the relay's own confirmation") {
  FeedPublisher Leader;
  FeedPublisher Mirror;
  FeedRelay Relay(NodeId("relay"));
  sync(Relay, Mirror, Leader, Start, Start + absl::Milliseconds(40),
       context(3));
  FeedFollower Follower(NodeId("entry"), {NodeId("relay")});
  Instant Asked = Start + absl::Milliseconds(500);
  FeedRequest Request = dueRequest(Follower, Asked);
  Request.m_routingVersion = 7;
  Instant Answered = Asked + absl::Milliseconds(100);
  FeedUpdate Update =
      Mirror.respond(Answered, Request, relayContext(Relay, Answered));
  Follower.receive(Answered, Update);
  CHECK(Follower.leaseUntil() <= Start + absl::Seconds(4));
  CHECK(Follower.leaseUntil() >= Start + absl::Milliseconds(3800));
  // A relay that lacks the document which the leader has confirmed gives none.
  Request.m_routingVersion = 6;
  CHECK(Mirror.respond(Answered, Request, relayContext(Relay, Answered, 6))
            .m_echoMicros == 0);
  CHECK_FALSE(Relay.isFresh(Start + absl::Seconds(1)));
}

// Guards against entry nodes that believe a busy target idle, because a relay
// reports only the requests of its own entry nodes, or counts them twice.
TEST_CASE("uses are summed over all coordinators, the asking node excluded") {
  FeedPublisher Leader;
  FeedPublisher Mirrors[2];
  FeedRelay Relays[2] = {FeedRelay(NodeId("r0")), FeedRelay(NodeId("r1"))};
  FeedFollower Followers[2] = {FeedFollower(NodeId("e0"), {NodeId("r0")}),
                               FeedFollower(NodeId("e1"), {NodeId("r1")})};
  Instant Now = Start;
  for (int Round = 0; Round < 5; ++Round) {
    Now += absl::Milliseconds(300);
    for (std::size_t At = 0; At < 2; ++At) {
      auto Due = Followers[At].tick(Now, {{TargetId("t"), At == 0 ? 3 : 5}});
      FeedRequest Request = Due.front().m_request;
      if (Relays[At].isFresh(Now))
        Followers[At].receive(
            Now,
            Mirrors[At].respond(Now, Request, relayContext(Relays[At], Now)));
      sync(Relays[At], Mirrors[At], Leader, Now, Now, context(1));
    }
  }
  CHECK(Followers[0].requestsOfOthers(TargetId("t")) == 5);
  CHECK(Followers[1].requestsOfOthers(TargetId("t")) == 3);
  CHECK(Followers[0].entryNodes() == 2);
}

// Guards against a leader whose load grows with the number of entry nodes, and
// against a fleet that follows a dead relay.
TEST_CASE(
    "many entry nodes are spread over the relays and leave a silent one") {
  NodeId Leader("leader");
  std::vector<NodeId> Coordinators = {Leader, NodeId("a"), NodeId("b"),
                                      NodeId("c"), NodeId("d")};
  std::map<NodeId, int> Counts;
  for (int At = 0; At < 300; ++At)
    ++Counts[assignedCoordinator(
        {fmt::format("10.0.{}.{}:7060", At % 5, At), FailureDomainId()}, 300,
        MaxEntryNodesOfLeader, Leader, Coordinators, {})];
  CHECK(Counts.count(Leader) == 0);
  for (const auto &[Node, Count] : Counts)
    CHECK(Count < 120);
  FailureDomainId Domain("z");
  CHECK(assignedCoordinator({"x", Domain}, 9, MaxEntryNodesOfLeader, Leader,
                            Coordinators, {}) == Leader);
  // A relay of the same failure domain comes first.
  CHECK(assignedCoordinator({"x", Domain}, 300, MaxEntryNodesOfLeader, Leader,
                            Coordinators,
                            {{NodeId("c"), Domain}}) == NodeId("c"));
  CHECK(assignedCoordinator({"x", Domain}, 300, MaxEntryNodesOfLeader, Leader,
                            Coordinators, {{Leader, Domain}}) != Leader);

  FeedFollower Follower(NodeId("entry"), {Leader});
  FeedUpdate Update;
  Update.m_term = 1;
  Update.m_leads = true;
  Update.m_leader = Leader;
  Update.m_source = NodeId("a");
  Follower.receive(Start, Update);
  CHECK(Follower.source() == NodeId("a"));
  std::set<NodeId> Asked;
  for (int At = 1; At <= 8; ++At)
    for (const auto &Ask : Follower.tick(Start + At * absl::Milliseconds(250)))
      Asked.insert(Ask.m_coordinator);
  CHECK(Asked.count(Leader) == 1);
  Instant Later = Start + absl::Seconds(2);
  Follower.receive(Later, Update);
  CHECK(Follower.source() == Leader);
  Follower.receive(Later + absl::Seconds(6), Update);
  CHECK(Follower.source() == NodeId("a"));
}

// Guards against a leader that parses every announcement of a large fleet, and
// against a change of state that is passed on as a repetition.
TEST_CASE("announcements without a change are relayed by name only") {
  DirectoryCopy Copy;
  DirectoryUpdate Known;
  Known.m_term = 2;
  Known.m_sequence = 1;
  ServerCopy Server;
  Server.m_announcement.m_id = TargetId("s");
  Server.m_announcement.m_service = ServiceId("llm");
  Server.m_announcement.m_address = "10.0.0.1:80";
  Server.m_announcement.m_sequence = 4;
  Known.m_servers.push_back(Server);
  REQUIRE(Copy.receive(Known));
  AnnouncementRelay Relay;
  ServerAnnouncement Same = Server.m_announcement;
  Same.m_sequence = 5;
  Relay.add(Same, Copy);
  AnnouncementBatch Batch = Relay.take();
  CHECK(Batch.m_term == 2);
  CHECK(Batch.m_changed.empty());
  REQUIRE(Batch.m_unchanged.size() == 1);
  CHECK(Batch.m_unchanged.front().m_sequence == 5);
  ServerAnnouncement Changed = Same;
  Changed.m_sequence = 7;
  Changed.m_model = "m";
  Relay.add(Changed, Copy);
  ServerAnnouncement Late = Same;
  Late.m_sequence = 6;
  Relay.add(Late, Copy);
  Batch = Relay.take();
  CHECK(Batch.m_unchanged.empty());
  REQUIRE(Batch.m_changed.size() == 1);
  CHECK(Batch.m_changed.front().m_sequence == 7);
  CHECK(Relay.empty());
}

// Guards against a node that two coordinators count after it asked a second one
// for help: the sum was twice the number of nodes, which halved the budget for
// retries and moved all nodes back and forth between leader and relays.
TEST_CASE("a coordinator that is only asked for help does not count the node") {
  FeedPublisher Publisher;
  FeedFollower Follower(NodeId("entry"), {NodeId("leader"), NodeId("other")});
  Publisher.setTargets(Start, {target("a")});
  Follower.receive(
      Start, Publisher.respond(Start, dueRequest(Follower, Start), context(1)));
  // The other coordinators are asked in turn; the first one is the source.
  Instant Later = Start + absl::Seconds(1);
  Follower.tick(Later);
  Later += absl::Milliseconds(300);
  std::vector<FeedFollower::OutgoingRequest> Due = Follower.tick(Later);
  REQUIRE(Due.size() == 2);
  FeedPublisher Other;
  Other.setTargets(Start, {target("a")});
  FeedUpdate Help = Other.respond(Later, Due.back().m_request, context(1));
  CHECK(Help.m_leads);
  CHECK(Other.entryNodes(Later) == 0);
  Publisher.respond(Later, Due.front().m_request, context(1));
  CHECK(Publisher.entryNodes(Later) == 1);
}

TEST_CASE("a limit keeps its newest statement, whatever the order of reports") {
  LimitRecords Records;
  Instant Now = absl::UnixEpoch() + absl::Hours(1);
  TargetLimit Named{TargetId("t"), 5, 3.0, 100'000};
  CHECK(Records.record(Now, Named));
  std::uint64_t Version = Records.version();
  // Older than what is known, of an earlier instance, or nearly equal.
  CHECK_FALSE(Records.record(Now, {TargetId("t"), 5, 9.0, 200'000}));
  CHECK_FALSE(Records.record(Now, {TargetId("t"), 4, 9.0, 0}));
  CHECK_FALSE(Records.record(Now, {TargetId("t"), 5, 3.01, 0}));
  CHECK(Records.version() == Version);
  CHECK(Records.record(Now + absl::Seconds(1), {TargetId("t"), 5, 1.0, 0}));
  CHECK(Records.limitOf(TargetId("t"), 5) == 1.0);
  CHECK(Records.record(Now + absl::Seconds(2),
                       {TargetId("t"), 5, std::nullopt, 0}));
  CHECK_FALSE(Records.limitOf(TargetId("t"), 5));
  CHECK(Records.list(Now + absl::Seconds(2)).m_limits.size() == 1);
  Records.expire(Now + absl::Seconds(9), absl::Seconds(5));
  CHECK(Records.version() == 0);
}

TEST_CASE(
    "the number of nodes that share a limit falls only when the leases of "
    "silent nodes have ended, also after a change of the leader") {
  FeedFollowerOptions Options;
  FeedFollower Follower(NodeId("entry"), {NodeId("leader")}, Options);
  Instant Now = absl::UnixEpoch() + absl::Hours(1);
  auto Receive = [&](std::uint64_t Term, std::int64_t Entries) {
    FeedUpdate Update;
    Update.m_term = Term;
    Update.m_leader = NodeId("leader");
    Update.m_leads = true;
    Update.m_entries = Entries;
    (void)Follower.receive(Now, Update);
    return Follower.possibleEntryNodes();
  };
  CHECK(Receive(1, 9) == 9);
  Now += absl::Seconds(1);
  CHECK(Receive(2, 1) == 9);
  CHECK(Receive(2, 10) == 10);
  Now += Options.m_lease;
  CHECK(Receive(2, 4) == 10);
  Now += absl::Seconds(1);
  CHECK(Receive(2, 4) == 4);
}

TEST_CASE(
    "the limits that many nodes report through a relay fit in a message") {
  FeedRelay Relay(NodeId("relay"));
  FeedPublisher Publisher;
  Instant Now = absl::UnixEpoch() + absl::Hours(1);
  FeedRequest Report;
  for (std::size_t At = 0; At < 200; ++At)
    Report.m_limits.push_back(
        {TargetId("t" + std::to_string(At)), 1, 2.0, 1000});
  for (int Node = 0; Node < 300; ++Node)
    Relay.collect(Now, Report);
  CHECK(Relay.request(Now, Publisher).m_limits.size() == 200);
  CHECK(Relay.request(Now, Publisher).m_limits.empty());
  LimitRecords Records;
  for (std::size_t At = 0; At < 2 * MaxTargetLimits; ++At)
    (void)Records.record(Now, {TargetId("t" + std::to_string(At)), 1, 2.0, 0});
  CHECK(Records.list(Now).m_limits.size() == MaxTargetLimits);
}
