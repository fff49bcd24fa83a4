#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "FeedFixture.h"

using namespace turmericdyke;

namespace {

constexpr absl::Duration Interval = absl::Milliseconds(250);
/// Longer than a node that is heard from is silent.
constexpr absl::Duration Silence = absl::Milliseconds(2100);

const TargetId Leaving("a");
const std::vector<ServingTarget> Before = {target("a"), target("b")};
const std::vector<ServingTarget> After = {target("b")};

FeedFollower follower(const std::string &Name) {
  return FeedFollower(NodeId(Name), {NodeId("leader")});
}

/// A node that follows the leader and holds its newest state.
FeedFollower joined(const std::string &Name, Instant Now,
                    FeedPublisher &Publisher, const FeedContext &Context) {
  FeedFollower Follower = follower(Name);
  ask(Follower, Now - Interval, Publisher, Context);
  ask(Follower, Now, Publisher, Context);
  return Follower;
}

bool lists(const FeedFollower &Follower) {
  return Follower.targets().contains(Leaving);
}

/// A leader and a relay that serves one entry node.
struct RelayedFeed {
  FeedPublisher m_leader;
  FeedPublisher m_mirror;
  FeedRelay m_relay{NodeId("relay")};
  FeedFollower m_follower = follower("entry");

  void relay(Instant Now) {
    m_relay.receive(
        Now, m_leader.respond(Now, m_relay.request(Now, m_mirror), context()),
        m_mirror);
  }
  void askRelay(Instant Now) {
    FeedContext Context;
    Context.m_routingVersion = 7;
    Context.m_routingDocument = &Document;
    m_relay.fillContext(Now, Context);
    ask(m_follower, Now, m_mirror, Context);
  }
};

} // namespace

// Guards against requests at a server after its departure was acknowledged: the
// leader that acknowledges it may be lost at once, so that no entry node hears
// of the departure until another one leads (review/8).
TEST_CASE("a target is in use until each entry node has confirmed its "
          "removal") {
  FeedPublisher Publisher;
  Instant Now = Start;
  Publisher.setTargets(Now, Before);
  FeedFollower A = joined("entry-a", Now, Publisher, context());
  FeedFollower B = joined("entry-b", Now, Publisher, context());
  CHECK_FALSE(Publisher.isOutOfUse(Now, Leaving));
  Publisher.setTargets(Now, After);
  CHECK_FALSE(Publisher.isOutOfUse(Now, Leaving));
  for (FeedFollower *Node : {&A, &B}) {
    // The response may be lost; only the next request shows that it was not.
    Now += Interval;
    ask(*Node, Now, Publisher, context());
    CHECK_FALSE(lists(*Node));
    CHECK_FALSE(Publisher.isOutOfUse(Now, Leaving));
    Now += Interval;
    ask(*Node, Now, Publisher, context());
  }
  CHECK(Publisher.isOutOfUse(Now, Leaving));
  // A next life of the server is in use again.
  Publisher.setTargets(Now, Before);
  CHECK_FALSE(Publisher.isOutOfUse(Now, Leaving));
}

TEST_CASE("a target that was never listed is out of use once its end is "
          "confirmed") {
  FeedPublisher Publisher;
  Publisher.setTargets(Start, After);
  FeedFollower Follower = joined("entry", Start, Publisher, context());
  CHECK_FALSE(Publisher.isOutOfUse(Start, Leaving));
  Publisher.setTargets(Start, After, {Leaving});
  for (Instant Now : {Start + Interval, Start + 2 * Interval}) {
    CHECK_FALSE(Publisher.isOutOfUse(Now, Leaving));
    ask(Follower, Now, Publisher, context());
  }
  CHECK(Publisher.isOutOfUse(Start + 2 * Interval, Leaving));
}

// Guards against servers that wait for the usual interval of the feed.
TEST_CASE("an entry node confirms a removal at once when it is asked to") {
  FeedPublisher Publisher;
  Publisher.setTargets(Start, Before);
  FeedFollower Follower = joined("entry", Start, Publisher, context());
  Instant Now = Start + Interval / 2;
  Publisher.setTargets(Now, After);
  Publisher.requestConfirmation(Leaving);
  std::map<NodeId, FeedUpdate> Updates =
      Publisher.pendingUpdates(Now, context());
  REQUIRE(Updates.size() == 1);
  Follower.receive(Now, Updates.begin()->second);
  REQUIRE(Follower.nextTick() <= Now);
  ask(Follower, Now, Publisher, context());
  CHECK(Publisher.isOutOfUse(Now, Leaving));
  // Nothing is left to be confirmed.
  CHECK(Follower.nextTick() > Now);
}

// Guards against requests without pause while the members that coordinators
// know of differ.
TEST_CASE(
    "an entry node whose sources name each other asks at a bounded rate") {
  FeedFollower Follower = follower("entry");
  std::size_t Requests = 0;
  Instant Now = Start;
  for (; Now < Start + absl::Seconds(1); Now += absl::Milliseconds(2)) {
    std::vector<FeedFollower::OutgoingRequest> Due = Follower.tick(Now);
    Requests += Due.size();
    if (Due.empty())
      continue;
    FeedUpdate Answer;
    Answer.m_term = 1;
    Answer.m_leads = true;
    Answer.m_leader = NodeId("leader");
    Answer.m_source = NodeId(
        Due.front().m_coordinator == NodeId("leader") ? "relay" : "leader");
    Follower.receive(Now, Answer);
  }
  // Four usual requests, and one in each pause.
  CHECK(Requests <= 4 + 20 + 1);
}

TEST_CASE("an entry node that has fallen silent does not hold up a departure, "
          "but one that returns does") {
  FeedPublisher Publisher;
  Publisher.setTargets(Start, Before);
  FeedFollower Follower = joined("entry", Start, Publisher, context());
  Publisher.setTargets(Start, After);
  CHECK_FALSE(Publisher.isOutOfUse(Start + Silence / 2, Leaving));
  Instant Now = Start + Silence;
  CHECK(Publisher.isOutOfUse(Now, Leaving));
  FeedRequest Returned = dueRequest(Follower, Now);
  FeedUpdate Answer = Publisher.respond(Now, Returned, context());
  CHECK_FALSE(Publisher.isOutOfUse(Now, Leaving));
  Follower.receive(Now, Answer);
  Now += Interval;
  ask(Follower, Now, Publisher, context());
  CHECK(Publisher.isOutOfUse(Now, Leaving));
}

// Guards against a node that has only just found the leader: it holds targets
// before it follows.
TEST_CASE("an entry node that was sent targets on its first request counts") {
  FeedPublisher Publisher;
  FeedFollower Follower = follower("entry");
  Publisher.setTargets(Start, Before);
  ask(Follower, Start, Publisher, context());
  REQUIRE(lists(Follower));
  Publisher.setTargets(Start, After);
  CHECK_FALSE(Publisher.isOutOfUse(Start, Leaving));
}

// Guards against departures that are never acknowledged beside an entry node
// that is heard from but hears nothing: its lease ends, and it serves nobody.
TEST_CASE("an entry node that receives nothing holds up a departure until its "
          "lease ends") {
  FeedPublisher Publisher;
  Publisher.setTargets(Start, Before);
  FeedFollower Follower = joined("entry", Start, Publisher, context());
  Publisher.setTargets(Start, After);
  Instant Now = Start + Interval;
  for (; Now < Follower.leaseUntil(); Now += Interval) {
    CHECK_FALSE(Publisher.isOutOfUse(Now, Leaving));
    (void)Publisher.respond(Now, dueRequest(Follower, Now), context());
  }
  CHECK(lists(Follower));
  CHECK(Publisher.isOutOfUse(Now, Leaving));
}

TEST_CASE("an entry node that follows another term has confirmed nothing") {
  FeedPublisher Old;
  FeedPublisher Publisher;
  for (int Change = 0; Change < 5; ++Change)
    Old.setTargets(Start, Change % 2 == 0 ? Before : After);
  FeedFollower Follower = joined("entry", Start, Old, context(1));
  Publisher.setTargets(Start, {}, {Leaving});
  for (Instant Now : {Start + Interval, Start + 2 * Interval}) {
    FeedRequest Request = dueRequest(Follower, Now);
    bool Held = Request.m_term == 2;
    FeedUpdate Answer = Publisher.respond(Now, Request, context(2));
    CHECK(Publisher.isOutOfUse(Now, Leaving) == Held);
    Follower.receive(Now, Answer);
  }
}

// Guards against an acknowledgement that only the relays stand behind.
TEST_CASE("a relay confirms a removal once its entry nodes have") {
  RelayedFeed Feed;
  Feed.m_leader.setTargets(Start, Before);
  Instant Now = Start;
  for (; Now < Start + absl::Seconds(2); Now += Interval) {
    Feed.relay(Now);
    Feed.askRelay(Now);
  }
  REQUIRE(lists(Feed.m_follower));
  Feed.m_leader.setTargets(Now, After);
  Feed.m_leader.requestConfirmation(Leaving);
  for (int Round = 0; Round < 3; ++Round) {
    Feed.relay(Now);
    CHECK_FALSE(Feed.m_leader.isOutOfUse(Now, Leaving));
  }
  Feed.askRelay(Now);
  CHECK_FALSE(lists(Feed.m_follower));
  // The relay passes on that the entry node is to confirm at once.
  CHECK(Feed.m_follower.nextTick() <= Now);
  Feed.relay(Now);
  CHECK_FALSE(Feed.m_leader.isOutOfUse(Now, Leaving));
  Feed.askRelay(Now);
  Feed.relay(Now);
  CHECK(Feed.m_leader.isOutOfUse(Now, Leaving));
}

TEST_CASE("a relay confirms nothing before its entry nodes have returned to "
          "it") {
  RelayedFeed Feed;
  Feed.m_leader.setTargets(Start, After, {Leaving});
  // So many that relays serve a part of them.
  for (std::int64_t Node = 0; Node <= MaxEntryNodesOfLeader; ++Node) {
    FeedRequest Request;
    Request.m_node = NodeId("entry-" + std::to_string(Node));
    Request.m_term = 1;
    Request.m_sequence = Feed.m_leader.sequence();
    (void)Feed.m_leader.respond(Start, Request, context());
  }
  Instant Now = Start;
  for (; Now < Start + absl::Seconds(1); Now += Interval) {
    Feed.relay(Now);
    CHECK_FALSE(Feed.m_leader.isOutOfUse(Now, Leaving));
  }
  Feed.relay(Now);
  CHECK(Feed.m_leader.isOutOfUse(Now, Leaving));
}

TEST_CASE("a relay of an earlier version counts with the state that it "
          "holds") {
  FeedRequest Request;
  Request.m_node = NodeId("relay");
  Request.m_relay = true;
  Request.m_sequence = 7;
  Request.m_delivered = 3;
  nlohmann::json Encoded = toJson(Request);
  CHECK(parseFeedRequest(Encoded).value().m_delivered == 3);
  Encoded.erase("delivered");
  CHECK(parseFeedRequest(Encoded).value().m_delivered == 7);
}
