#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "turmericdyke/Feed"

using namespace turmericdyke;

namespace {

const Instant Start = absl::UnixEpoch() + absl::Hours(1);

ServingTarget coldTarget() {
  ServingTarget Value;
  Value.m_id = TargetId("i");
  Value.m_service = ServiceId("s");
  Value.m_address = "10.0.0.1:80";
  Value.m_generation = 3;
  Value.m_coldPerSecond = 15.25;
  Value.m_coldLent = true;
  return Value;
}

FeedContext context() {
  static const std::string Document = "x";
  FeedContext Context;
  Context.m_term = 1;
  Context.m_leader = NodeId("leader");
  Context.m_leads = true;
  Context.m_routingDocument = &Document;
  return Context;
}

/// What an entry node reads of an update.
FeedUpdate sent(const FeedUpdate &Update) {
  auto Read = parseFeedUpdate(toJson(Update));
  REQUIRE(Read);
  return Read.value();
}

} // namespace

// Guards against a limit that is lost on its way to the entry nodes.
TEST_CASE("the rate of a cold target and its grants reach an entry node, and "
          "the grants count from when it asked") {
  FeedPublisher Publisher;
  Publisher.setTargets(Start, {coldTarget()});
  Publisher.coldGrants().setTargets(Start, {coldTarget()});
  FeedFollower Follower(NodeId("entry"), {NodeId("leader")});
  Follower.receive(
      Start, sent(Publisher.respond(Start, Follower.tick(Start)[0].m_request,
                                    context())));
  CHECK(Follower.targets().at(TargetId("i")) == coldTarget());
  Instant Asked = Start + absl::Seconds(1);
  FeedRequest Request = Follower.tick(Asked)[0].m_request;
  Instant Arrived = Asked + absl::Milliseconds(30);
  FeedUpdate Update = sent(Publisher.respond(Arrived, Request, context()));
  REQUIRE(Update.m_coldGrants.size() == 1);
  CHECK(Update.m_coldGrants[0].m_generation == 3);
  FeedChange Change = Follower.receive(Arrived, Update);
  CHECK(Change.m_coldGrants.size() == 1);
  CHECK(Change.m_coldGrantsUntil == Asked + ColdGrantLifetime);
}

// Guards against a limit that a newer build reads into a message of an older
// one, and against a published rate that closes a target.
TEST_CASE(
    "a target without the field, or with a rate of nothing, has no limit") {
  FeedUpdate Update;
  Update.m_targets = {coldTarget()};
  nlohmann::json Json = toJson(Update);
  Json["targets"][0].erase("c");
  Json["targets"][0].erase("l");
  auto Read = parseFeedUpdate(Json);
  REQUIRE(Read);
  CHECK_FALSE(Read.value().m_targets.at(0).m_coldPerSecond);
  CHECK_FALSE(Read.value().m_targets.at(0).m_coldLent);
  CHECK(Read.value().m_coldGrants.empty());
  for (double Rate : {0.0, -1.0}) {
    Json["targets"][0]["c"] = Rate;
    CHECK_FALSE(parseFeedUpdate(Json).value().m_targets.at(0).m_coldPerSecond);
  }
}

// Guards against a grant that nobody uses or that two coordinators give.
TEST_CASE("only a leader that is the source of a node grants") {
  FeedPublisher Publisher;
  Publisher.setTargets(Start, {coldTarget()});
  Publisher.coldGrants().setTargets(Start, {coldTarget()});
  FeedRequest Request;
  Request.m_node = NodeId("entry");
  Request.m_sentAtMicros = absl::ToUnixMicros(Start);
  Request.m_modelRequests = 10;
  FeedContext Relay = context();
  Relay.m_leads = false;
  Relay.m_relays = true;
  CHECK(Publisher.respond(Start, Request, Relay).m_coldGrants.empty());
  Request.m_follows = false;
  CHECK(Publisher.respond(Start, Request, context()).m_coldGrants.empty());
  Request.m_follows = true;
  Request.m_relay = true;
  CHECK(Publisher.respond(Start, Request, context()).m_coldGrants.empty());
  CHECK(Publisher.hasRelays());
  Request.m_relay = false;
  CHECK(Publisher.respond(Start, Request, context()).m_coldGrants.size() == 1);
  CHECK_FALSE(Publisher.hasRelays());
}
