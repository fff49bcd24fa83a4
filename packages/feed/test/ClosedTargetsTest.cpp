#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "FeedFixture.h"

using namespace turmericdyke;

// Guards against requests at servers of an evacuated failure domain after a
// change of the leader: a new leader knows within a second that they are
// closed, but may need seconds until its list is complete.
TEST_CASE("a new leader ends closed targets before its list is complete") {
  FeedPublisher Old;
  FeedPublisher New;
  FeedFollower Follower(NodeId("entry"), {NodeId("leader")});
  Old.setTargets(Start, {target("a"), target("b")});
  ask(Follower, Start, Old, context(1, true));
  REQUIRE(Follower.targets().size() == 2);
  New.setTargets(Start, {}, {TargetId("a"), TargetId("unknown")});
  FeedChange Change =
      ask(Follower, Start + absl::Seconds(1), New, context(2, false));
  CHECK(Change.m_ended == std::vector<TargetId>{TargetId("a")});
  CHECK(Follower.targets().size() == 1);
  // Repeating the list is no change that would be sent again.
  std::uint64_t Sequence = New.sequence();
  New.setTargets(Start, {}, {TargetId("a"), TargetId("unknown")});
  CHECK(New.sequence() == Sequence);
  // The evacuation has ended.
  New.setTargets(Start, {target("a")});
  Change = ask(Follower, Start + absl::Seconds(2), New, context(2, false));
  CHECK(Change.m_ended.empty());
  CHECK(Change.m_listed == std::vector<TargetId>{TargetId("a")});
}

TEST_CASE("a relay passes on that targets of an earlier term are closed") {
  FeedPublisher Old;
  FeedPublisher Leader;
  FeedPublisher Mirror;
  FeedRelay Relay(NodeId("relay"));
  FeedFollower Follower(NodeId("entry"), {NodeId("leader")});
  Old.setTargets(Start, {target("a"), target("b")});
  ask(Follower, Start, Old, context(1, true));
  Leader.setTargets(Start, {}, {TargetId("a")});
  Instant Now = Start + absl::Seconds(1);
  Relay.receive(
      Now, Leader.respond(Now, Relay.request(Now, Mirror), context(2, false)),
      Mirror);
  FeedContext Relayed;
  Relayed.m_routingVersion = 7;
  Relayed.m_routingDocument = &Document;
  Relay.fillContext(Now, Relayed);
  CHECK(ask(Follower, Now, Mirror, Relayed).m_ended ==
        std::vector<TargetId>{TargetId("a")});
}
