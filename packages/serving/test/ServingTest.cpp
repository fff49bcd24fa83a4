#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "absl/random/random.h"
#include "turmericdyke/Catalog"
#include "turmericdyke/Serving"

using namespace turmericdyke;

namespace {

const Instant Start = absl::UnixEpoch() + absl::Hours(1);

AttemptSummary summary(AttemptOutcome Outcome, RouteKind Kind, bool Resumable) {
  AttemptSummary Value;
  Value.m_outcome = Outcome;
  Value.m_kind = Kind;
  Value.m_resumable = Resumable;
  Value.m_attempts = 1;
  Value.m_maxAttempts = 2;
  Value.m_deadline = Start + absl::Seconds(5);
  return Value;
}

ServingTarget target(const char *Id, std::int64_t Slots) {
  ServingTarget Value;
  Value.m_id = TargetId(Id);
  Value.m_slots = Slots;
  return Value;
}

} // namespace

// Guards against a resumed stream with a missing or duplicate event: however
// the bytes are split between reads, only complete events are forwarded, in
// order, and the identifier is that of the last one forwarded.
TEST_CASE("only complete events are forwarded, however the bytes are split") {
  CHECK(rc::check("relay", [](const std::vector<std::uint8_t> &Cuts) {
    std::string Stream;
    for (int Id = 1; Id <= 8; ++Id)
      Stream += "id: " + std::to_string(Id) + "\ndata: x\n\n";
    EventRelay Relay;
    std::string Forwarded;
    std::size_t At = 0;
    for (std::uint8_t Cut : Cuts) {
      std::size_t Size = std::min<std::size_t>(Cut, Stream.size() - At);
      Forwarded += Relay.feed(std::string_view(Stream).substr(At, Size));
      At += Size;
      RC_ASSERT((Forwarded.empty() ||
                 Forwarded.substr(Forwarded.size() - 2) == "\n\n"));
      RC_ASSERT(Forwarded == Stream.substr(0, Forwarded.size()));
      std::string Last = "id: " + Relay.lastId().value_or("0") + "\n";
      RC_ASSERT((Forwarded.empty() ||
                 Forwarded.rfind("id: ") == Forwarded.rfind(Last)));
    }
  }));
}

TEST_CASE("a resumed stream drops a partial event") {
  EventRelay Relay;
  CHECK(Relay.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK_FALSE(Relay.atBoundary());
  Relay.dropPartial();
  CHECK(Relay.feed("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  CHECK(Relay.lastId() == "2");
  CHECK(Relay.events() == 2);
}

// Guards against an operation that runs twice: a request that may have run is
// sent to another target only if its route kind allows it.
TEST_CASE("a request that may have run is retried only if its kind allows it") {
  CHECK(rc::check("decisions", [](std::uint8_t OutcomeDraw,
                                  std::uint8_t KindDraw, bool Resumable,
                                  bool RanBefore) {
    auto Outcome = static_cast<AttemptOutcome>(OutcomeDraw % 6);
    auto Kind = static_cast<RouteKind>(KindDraw % 3);
    AttemptSummary Input = summary(Outcome, Kind, Resumable);
    Input.m_mayHaveRun = RanBefore;
    SharedRetryBudget Budget;
    RetryDecision Next = decideRetry(Start, Input, Budget);
    bool Safe = Kind == RouteKind::Idempotent ||
                (Kind == RouteKind::Stream && Resumable);
    bool MayHaveRun = RanBefore || (Outcome != AttemptOutcome::NotSent &&
                                    Outcome != AttemptOutcome::StatedNotRun);
    if (Next == RetryDecision::Retry)
      RC_ASSERT(Safe || !MayHaveRun);
    if (Next == RetryDecision::RefuseNotRun)
      RC_ASSERT(!MayHaveRun);
    if (Outcome == AttemptOutcome::Answered)
      RC_ASSERT(Next == RetryDecision::Forward);
  }));
}

TEST_CASE("retries stop at the route's limit, at the deadline and without "
          "budget") {
  AttemptSummary Input =
      summary(AttemptOutcome::NotSent, RouteKind::Idempotent, false);
  SharedRetryBudget Budget;
  CHECK(decideRetry(Start, Input, Budget) == RetryDecision::Retry);
  Input.m_attempts = 2;
  CHECK(decideRetry(Start, Input, Budget) == RetryDecision::RefuseNotRun);
  Input.m_attempts = 1;
  Input.m_deadline = Start;
  CHECK(decideRetry(Start, Input, Budget) == RetryDecision::RefuseNotRun);
  Input.m_deadline = absl::InfiniteFuture();
  while (Budget.tryTake(Start)) {
  }
  CHECK(decideRetry(Start, Input, Budget) == RetryDecision::RefuseNotRun);
}

TEST_CASE("a target's error is forwarded if the request cannot be retried") {
  SharedRetryBudget Budget;
  CHECK(decideRetry(Start,
                    summary(AttemptOutcome::FailureAnswered,
                            RouteKind::AtMostOnce, false),
                    Budget) == RetryDecision::Forward);
  CHECK(decideRetry(Start,
                    summary(AttemptOutcome::Lost, RouteKind::AtMostOnce, false),
                    Budget) == RetryDecision::FailMayHaveRun);
}

// Guards against an outage that multiplies the load: in any window, the retries
// of all nodes stay within ratio and slack, however the load is distributed.
TEST_CASE("retries of all nodes stay within the shared budget") {
  CHECK(rc::check("budget", [](const std::vector<std::uint8_t> &Draws) {
    constexpr int Nodes = 3;
    SharedRetryBudgetOptions Options;
    Options.m_slack = 30;
    std::vector<SharedRetryBudget> Budgets(Nodes, SharedRetryBudget(Options));
    for (SharedRetryBudget &NodeBudget : Budgets)
      NodeBudget.setNodes(Nodes);
    Instant Now = Start;
    std::vector<std::pair<Instant, bool>> Events;
    for (std::uint8_t Draw : Draws) {
      Now += absl::Milliseconds(Draw);
      SharedRetryBudget &NodeBudget = Budgets[Draw % Nodes];
      if (Draw % 4 == 0) {
        NodeBudget.onRequest(Now);
        Events.emplace_back(Now, false);
      }
      for (int Try = 0; Try < 20; ++Try)
        if (NodeBudget.tryTake(Now))
          Events.emplace_back(Now, true);
      double Retries = 0;
      double Requests = 0;
      for (const auto &[When, IsRetry] : Events) {
        bool Inside = Now - When <= Options.m_window;
        Retries += Inside && IsRetry ? 1 : 0;
        Requests += Inside && !IsRetry ? 1 : 0;
      }
      RC_ASSERT(Retries <= Options.m_ratio * Requests + Options.m_slack);
    }
  }));
}

TEST_CASE("a failed target is avoided with exponential backoff, then tried") {
  TargetHealth Health;
  TargetId Id("a");
  Health.recordFailure(Start, Id);
  CHECK(Health.isAvoided(Start + absl::Milliseconds(400), Id));
  Instant Later = Start + absl::Milliseconds(600);
  CHECK_FALSE(Health.isAvoided(Later, Id));
  Health.recordFailure(Later, Id);
  CHECK(Health.isAvoided(Later + absl::Milliseconds(900), Id));
  Health.recordSuccess(Id);
  CHECK_FALSE(Health.isAvoided(Later, Id));
}

// Guards against overloading one target while another has capacity, and against
// queueing at a full one.
TEST_CASE(
    "requests go to a target with capacity, and nowhere if there is none") {
  ServingTarget A = target("a", 4);
  ServingTarget B = target("b", 4);
  PlacementOption First;
  First.m_target = &A;
  First.m_ownRequests = 5;
  PlacementOption Second;
  Second.m_target = &B;
  Second.m_ownRequests = 1;
  absl::BitGen Random;
  PlacementDecision Chosen = place({First, Second}, {}, Random);
  CHECK(Chosen.m_outcome == PlacementOutcome::Placed);
  CHECK(Chosen.m_index == 1);
  Second.m_otherRequests = 4;
  CHECK(place({First, Second}, {}, Random).m_outcome ==
        PlacementOutcome::AllFull);
  CHECK(place({}, {}, Random).m_outcome == PlacementOutcome::NoTarget);
}

TEST_CASE("a target that failed is used only if no other is left") {
  ServingTarget A = target("a", 4);
  ServingTarget B = target("b", 4);
  PlacementOption Bad;
  Bad.m_target = &A;
  Bad.m_avoided = true;
  PlacementOption Good;
  Good.m_target = &B;
  Good.m_ownRequests = 3;
  absl::BitGen Random;
  for (int Try = 0; Try < 20; ++Try)
    CHECK(place({Bad, Good}, {}, Random).m_index == 1);
  CHECK(place({Bad}, {}, Random).m_outcome == PlacementOutcome::Placed);
}

// Guards against sending requests to a group that has lost a member: its
// streams stop long before its announcements are missed.
TEST_CASE("a target whose streams are all silent is reported, then abandoned") {
  StallDetector Detector;
  TargetId Id("a");
  Detector.streamStarted(Start, Id);
  Instant Later = Start + absl::Milliseconds(500);
  CHECK(Detector.stalled(Later).empty());
  Detector.streamProgressed(Later, Id, true);
  CHECK(Detector.stalled(Start + absl::Milliseconds(700)).empty());
  // A new stream at the target does not hide the silence.
  Detector.streamStarted(Later + absl::Milliseconds(600), Id);
  Later += absl::Milliseconds(650);
  auto Stalls = Detector.stalled(Later);
  REQUIRE(Stalls.size() == 1);
  CHECK(Stalls[0].m_target == Id);
  CHECK_FALSE(Stalls[0].m_abandon);
  CHECK(Detector.stalled(Later + absl::Milliseconds(100)).empty());
  Stalls = Detector.stalled(Later + absl::Milliseconds(600));
  REQUIRE(Stalls.size() == 1);
  CHECK(Stalls[0].m_abandon);
  Detector.streamEnded(Id, true);
  Detector.streamEnded(Id, false);
  CHECK(Detector.stalled(Later + absl::Seconds(5)).empty());
  CHECK_FALSE(Detector.hasStreams());
}

// Guards against new requests to a group in the second between the loss of a
// member and its detection.
TEST_CASE("a target whose active streams stop gets no new requests") {
  StallDetector Detector;
  TargetId Id("a");
  Detector.streamStarted(Start, Id);
  // Processing a prompt takes some hundred ms before the first event.
  CHECK_FALSE(Detector.isQuiet(Start + absl::Milliseconds(400), Id));
  Instant Now = Start + absl::Milliseconds(400);
  Detector.streamProgressed(Now, Id, true);
  CHECK_FALSE(Detector.isQuiet(Now + absl::Milliseconds(100), Id));
  CHECK(Detector.isQuiet(Now + absl::Milliseconds(200), Id));
  auto Stalls = Detector.stalled(Now + absl::Milliseconds(400));
  REQUIRE(Stalls.size() == 1);
  CHECK_FALSE(Stalls[0].m_silent);
  Stalls = Detector.stalled(Now + absl::Milliseconds(650));
  REQUIRE(Stalls.size() == 1);
  CHECK(Stalls[0].m_silent);

  ServingTarget Dead = target("a", 4);
  ServingTarget Sound = target("b", 4);
  PlacementOption Quiet;
  Quiet.m_target = &Dead;
  Quiet.m_quiet = true;
  PlacementOption Busy;
  Busy.m_target = &Sound;
  Busy.m_ownRequests = 4;
  absl::BitGen Random;
  for (int Try = 0; Try < 20; ++Try)
    CHECK(place({Quiet, Busy}, {}, Random).m_index == 1);
  Busy.m_ownRequests = 5;
  CHECK(place({Quiet, Busy}, {}, Random).m_index == 0);
}

// Guards against cutting off streams of a target that leaves gracefully: it
// accepts no new requests and finishes the running ones.
TEST_CASE("a target closed to new requests keeps its active streams") {
  StallDetector Detector;
  TargetId Id("a");
  Detector.streamStarted(Start, Id);
  Detector.closedToNew(Id);
  Instant Now = Start;
  for (int Event = 0; Event < 40; ++Event) {
    Now += absl::Milliseconds(100);
    Detector.streamProgressed(Now, Id, Event == 0);
    CHECK(Detector.stalled(Now).empty());
  }
  auto Stalls = Detector.stalled(Now + absl::Milliseconds(450));
  REQUIRE(Stalls.size() == 1);
  CHECK(Stalls[0].m_abandon);
}

// Guards against streams that leave a sound target while it reads their
// prompts, because it was closed to new requests earlier and its old streams
// have not ended since.
TEST_CASE("a target that is open to new requests again may read prompts") {
  StallDetector Detector;
  TargetId Id("a");
  Detector.streamStarted(Start, Id, absl::Seconds(2));
  Detector.closedToNew(Id);
  Detector.openedToNew(Id);
  CHECK(Detector.stalled(Start + absl::Seconds(1)).empty());
  Detector.closedToNew(Id);
  CHECK_FALSE(Detector.stalled(Start + absl::Seconds(1)).empty());
}

// Guards against callers that retry before a restarted system can serve them,
// and then give up.
TEST_CASE("after a start callers retry when the system has recovered") {
  absl::BitGen Random;
  RetryAfterInput Input;
  Input.m_cause = RetryAfterCause::NotInformed;
  Input.m_everInformed = false;
  for (int Draw = 0; Draw < 100; ++Draw) {
    Input.m_uptime = absl::Milliseconds(100);
    CHECK(retryAfter(Input, Random) >= absl::Milliseconds(1900));
    Input.m_uptime = absl::Seconds(1);
    CHECK(retryAfter(Input, Random) >= absl::Seconds(1));
    CHECK(retryAfter(Input, Random) <= absl::Milliseconds(1400));
  }
}

// Guards against many callers that retry at the same moment under peak load.
TEST_CASE("retries after full targets are jittered beyond the mean run time") {
  absl::BitGen Random;
  RetryAfterInput Input;
  Input.m_meanRunTime = absl::Seconds(1);
  absl::Duration Shortest = absl::InfiniteDuration();
  absl::Duration Longest = absl::ZeroDuration();
  for (int Draw = 0; Draw < 1000; ++Draw) {
    absl::Duration Time = retryAfter(Input, Random);
    Shortest = std::min(Shortest, Time);
    Longest = std::max(Longest, Time);
  }
  CHECK(Shortest >= Input.m_meanRunTime);
  CHECK(Longest - Shortest >= absl::Milliseconds(300));
}

// Guards against a long prompt that is cut off while its target still reads it:
// a node whose only stream at the target has sent nothing yet took the target
// for stalled after 1.2 s, moved the stream and had the prompt read again.
TEST_CASE("a target that reads a long prompt is not abandoned") {
  EngineCosts Engine;
  Engine.m_slots = 14;
  Engine.m_stepsPerPass = 8;
  Engine.m_stepTime = absl::Microseconds(7800);
  Engine.m_stepTimePerRequest = absl::Microseconds(95);
  Engine.m_prefillTokensPerSecond = 45'900;
  Engine.m_prefillTimePerMillionPairs = absl::Microseconds(433);
  Engine.m_prefillChunk = 2048;
  EngineModel Model;
  absl::Duration Short = longestFirstEvent(Engine, Model, 700);
  absl::Duration Long = longestFirstEvent(Engine, Model, 20'000);
  CHECK(Short < absl::Milliseconds(600));
  CHECK(Long > absl::Seconds(2));
  StallDetector Stalls;
  TargetId Target("t");
  Stalls.streamStarted(Start, Target, Long);
  CHECK(Stalls.stalled(Start + absl::Milliseconds(1500)).empty());
  std::vector<StallDetector::Stall> Late =
      Stalls.stalled(Start + Long + absl::Milliseconds(10));
  REQUIRE(Late.size() == 1);
  CHECK(Late.front().m_abandon);
  // Once events flow, silence counts as before.
  StallDetector Flowing;
  Flowing.streamStarted(Start, Target, Long);
  Flowing.streamProgressed(Start + absl::Milliseconds(100), Target, true);
  std::vector<StallDetector::Stall> Stalled =
      Flowing.stalled(Start + absl::Milliseconds(1400));
  REQUIRE(Stalled.size() == 1);
  CHECK(Stalled.front().m_abandon);
}

// Guards against a large fleet that never retries: the slack of 672 shared by
// 295 nodes is less than one retry a node, so every stream whose group broke
// failed. A burst at all nodes must stay within the limit of the window all the
// same.
TEST_CASE("each of several hundred nodes can retry within the shared budget") {
  SharedRetryBudgetOptions Options;
  Options.m_ratio = 0.2;
  Options.m_slack = 672;
  constexpr int Nodes = 295;
  std::vector<SharedRetryBudget> Budgets(Nodes, SharedRetryBudget(Options));
  int Requests = 0;
  int Retries = 0;
  for (int Tenth = 0; Tenth < 100; ++Tenth) {
    Instant Now = Start + Tenth * absl::Milliseconds(100);
    for (SharedRetryBudget &Budget : Budgets) {
      Budget.setNodes(Nodes);
      if (Tenth % 3 == 0) {
        Budget.onRequest(Now);
        ++Requests;
      }
      bool Taken = Budget.tryTake(Now);
      CHECK((Tenth > 0 || Taken));
      Retries += Taken ? 1 : 0;
    }
  }
  CHECK(Retries <= 0.2 * Requests + 672);
}
