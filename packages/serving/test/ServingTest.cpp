#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "absl/random/random.h"
#include "turmericdyke/Catalog"
#include "turmericdyke/Serving"

using namespace turmericdyke;

namespace {

const Instant Start = absl::UnixEpoch() + absl::Hours(1);

AttemptFacts facts(AttemptEnding Ending, RouteKind Kind, bool Resumable) {
  AttemptFacts Made;
  Made.m_ending = Ending;
  Made.m_kind = Kind;
  Made.m_resumable = Resumable;
  Made.m_attempts = 1;
  Made.m_maxAttempts = 2;
  Made.m_deadline = Start + absl::Seconds(5);
  return Made;
}

ServingTarget target(const char *Id, std::int64_t Slots) {
  ServingTarget Made;
  Made.m_id = TargetId(Id);
  Made.m_slots = Slots;
  return Made;
}

} // namespace

// Guards against a joined answer with a gap or a doubled event: whatever the
// cuts between reads, only whole events are passed on, in order, and the
// identifier is that of the last one passed on.
TEST_CASE("only whole events pass, however the bytes are cut") {
  CHECK(rc::check("relay", [](const std::vector<std::uint8_t> &Cuts) {
    std::string Stream;
    for (int Id = 1; Id <= 8; ++Id)
      Stream += "id: " + std::to_string(Id) + "\ndata: x\n\n";
    EventRelay Relay;
    std::string Passed;
    std::size_t At = 0;
    for (std::uint8_t Cut : Cuts) {
      std::size_t Size = std::min<std::size_t>(Cut, Stream.size() - At);
      Passed += Relay.feed(std::string_view(Stream).substr(At, Size));
      At += Size;
      RC_ASSERT((Passed.empty() || Passed.substr(Passed.size() - 2) == "\n\n"));
      RC_ASSERT(Passed == Stream.substr(0, Passed.size()));
      std::string Last = "id: " + Relay.lastId().value_or("0") + "\n";
      RC_ASSERT((Passed.empty() || Passed.rfind("id: ") == Passed.rfind(Last)));
    }
  }));
}

TEST_CASE("a resumed stream drops the part of an event that broke off") {
  EventRelay Relay;
  CHECK(Relay.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK_FALSE(Relay.atBoundary());
  Relay.dropPart();
  CHECK(Relay.feed("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  CHECK(Relay.lastId() == "2");
  CHECK(Relay.events() == 2);
}

// Guards against an operation that runs twice: once it may have run, nothing
// but a kind that may be repeated goes to another target.
TEST_CASE("what may have run is repeated only if its kind allows it") {
  CHECK(rc::check("verdicts", [](std::uint8_t EndingDraw, std::uint8_t KindDraw,
                                 bool Resumable, bool Earlier) {
    auto Ending = static_cast<AttemptEnding>(EndingDraw % 6);
    auto Kind = static_cast<RouteKind>(KindDraw % 3);
    AttemptFacts Facts = facts(Ending, Kind, Resumable);
    Facts.m_mayHaveRun = Earlier;
    RepeatAllowance Allowance;
    Verdict Next = decideAfter(Start, Facts, Allowance);
    bool Safe = Kind == RouteKind::Idempotent ||
                (Kind == RouteKind::Stream && Resumable);
    bool MayHaveRun = Earlier || (Ending != AttemptEnding::NotSent &&
                                  Ending != AttemptEnding::StatedNotRun);
    if (Next == Verdict::Repeat)
      RC_ASSERT(Safe || !MayHaveRun);
    if (Next == Verdict::RefuseNotRun)
      RC_ASSERT(!MayHaveRun);
    if (Ending == AttemptEnding::Answered)
      RC_ASSERT(Next == Verdict::HandOn);
  }));
}

TEST_CASE("attempts end at the route's number, at the deadline and without "
          "allowance") {
  AttemptFacts Facts =
      facts(AttemptEnding::NotSent, RouteKind::Idempotent, false);
  RepeatAllowance Allowance;
  CHECK(decideAfter(Start, Facts, Allowance) == Verdict::Repeat);
  Facts.m_attempts = 2;
  CHECK(decideAfter(Start, Facts, Allowance) == Verdict::RefuseNotRun);
  Facts.m_attempts = 1;
  Facts.m_deadline = Start;
  CHECK(decideAfter(Start, Facts, Allowance) == Verdict::RefuseNotRun);
  Facts.m_deadline = absl::InfiniteFuture();
  while (Allowance.tryTake(Start)) {
  }
  CHECK(decideAfter(Start, Facts, Allowance) == Verdict::RefuseNotRun);
}

TEST_CASE("a target's own failure is handed on when it cannot be repeated") {
  RepeatAllowance Allowance;
  CHECK(decideAfter(
            Start,
            facts(AttemptEnding::FailureAnswered, RouteKind::AtMostOnce, false),
            Allowance) == Verdict::HandOn);
  CHECK(decideAfter(Start,
                    facts(AttemptEnding::Lost, RouteKind::AtMostOnce, false),
                    Allowance) == Verdict::FailMayHaveRun);
}

// Guards against an outage that multiplies the load: in any window, the repeats
// of all nodes stay within the ratio and the slack, however the load is spread.
TEST_CASE("repeats of all nodes stay within the shared bound") {
  CHECK(rc::check("allowance", [](const std::vector<std::uint8_t> &Draws) {
    constexpr int Nodes = 3;
    RepeatAllowanceOptions Options;
    Options.m_slack = 30;
    std::vector<RepeatAllowance> Shares(Nodes, RepeatAllowance(Options));
    for (RepeatAllowance &Share : Shares)
      Share.setNodes(Nodes);
    Instant Now = Start;
    std::vector<std::pair<Instant, bool>> Events;
    for (std::uint8_t Draw : Draws) {
      Now += absl::Milliseconds(Draw);
      RepeatAllowance &Share = Shares[Draw % Nodes];
      if (Draw % 4 == 0) {
        Share.onRequest(Now);
        Events.emplace_back(Now, false);
      }
      for (int Try = 0; Try < 20; ++Try)
        if (Share.tryTake(Now))
          Events.emplace_back(Now, true);
      double Repeats = 0;
      double Requests = 0;
      for (const auto &[When, IsRepeat] : Events) {
        bool Inside = Now - When <= Options.m_window;
        Repeats += Inside && IsRepeat ? 1 : 0;
        Requests += Inside && !IsRepeat ? 1 : 0;
      }
      RC_ASSERT(Repeats <= Options.m_ratio * Requests + Options.m_slack);
    }
  }));
}

TEST_CASE("a failed target is avoided for longer each time, then tried") {
  TargetHealth Health;
  TargetId Id("a");
  Health.failed(Start, Id);
  CHECK(Health.avoided(Start + absl::Milliseconds(400), Id));
  Instant Later = Start + absl::Milliseconds(600);
  CHECK_FALSE(Health.avoided(Later, Id));
  Health.failed(Later, Id);
  CHECK(Health.avoided(Later + absl::Milliseconds(900), Id));
  Health.succeeded(Id);
  CHECK_FALSE(Health.avoided(Later, Id));
}

// Guards against work piled up at one target, and against a wait at a full one.
TEST_CASE("requests go where there is room, and nowhere if there is none") {
  ServingTarget A = target("a", 4);
  ServingTarget B = target("b", 4);
  PlacementOption First;
  First.m_target = &A;
  First.m_own = 5;
  PlacementOption Second;
  Second.m_target = &B;
  Second.m_own = 1;
  absl::BitGen Random;
  PlacementDecision Chosen = place({First, Second}, {}, Random);
  CHECK(Chosen.m_outcome == PlacementOutcome::Placed);
  CHECK(Chosen.m_index == 1);
  Second.m_others = 4;
  CHECK(place({First, Second}, {}, Random).m_outcome ==
        PlacementOutcome::AllFull);
  CHECK(place({}, {}, Random).m_outcome == PlacementOutcome::NoTarget);
}

TEST_CASE("a target that failed is used only if nothing else is left") {
  ServingTarget A = target("a", 4);
  ServingTarget B = target("b", 4);
  PlacementOption Bad;
  Bad.m_target = &A;
  Bad.m_avoided = true;
  PlacementOption Good;
  Good.m_target = &B;
  Good.m_own = 3;
  absl::BitGen Random;
  for (int Try = 0; Try < 20; ++Try)
    CHECK(place({Bad, Good}, {}, Random).m_index == 1);
  CHECK(place({Bad}, {}, Random).m_outcome == PlacementOutcome::Placed);
}

// Guards against requests that go on to a group that has lost a member: its
// streams fall silent long before its announcements are missed.
TEST_CASE("a target whose streams are all silent is named, then given up") {
  StallWatch Watch;
  TargetId Id("a");
  Watch.begun(Start, Id);
  Instant Later = Start + absl::Milliseconds(500);
  CHECK(Watch.stalled(Later).empty());
  Watch.progressed(Later, Id, true);
  CHECK(Watch.stalled(Start + absl::Milliseconds(700)).empty());
  // Another stream that is sent there does not hide the silence.
  Watch.begun(Later + absl::Milliseconds(600), Id);
  Later += absl::Milliseconds(650);
  auto Named = Watch.stalled(Later);
  REQUIRE(Named.size() == 1);
  CHECK(Named[0].m_target == Id);
  CHECK_FALSE(Named[0].m_abandon);
  CHECK(Watch.stalled(Later + absl::Milliseconds(100)).empty());
  Named = Watch.stalled(Later + absl::Milliseconds(600));
  REQUIRE(Named.size() == 1);
  CHECK(Named[0].m_abandon);
  Watch.ended(Id, true);
  Watch.ended(Id, false);
  CHECK(Watch.stalled(Later + absl::Seconds(5)).empty());
  CHECK_FALSE(Watch.watches());
}

// Guards against new requests that are sent to a group in the second between
// the loss of a member and its discovery.
TEST_CASE("a target whose flowing streams fall silent gets no new requests") {
  StallWatch Watch;
  TargetId Id("a");
  Watch.begun(Start, Id);
  // A prompt is read for some hundred ms before the first event.
  CHECK_FALSE(Watch.quiet(Start + absl::Milliseconds(400), Id));
  Instant Now = Start + absl::Milliseconds(400);
  Watch.progressed(Now, Id, true);
  CHECK_FALSE(Watch.quiet(Now + absl::Milliseconds(100), Id));
  CHECK(Watch.quiet(Now + absl::Milliseconds(200), Id));
  auto Named = Watch.stalled(Now + absl::Milliseconds(400));
  REQUIRE(Named.size() == 1);
  CHECK_FALSE(Named[0].m_silent);
  Named = Watch.stalled(Now + absl::Milliseconds(650));
  REQUIRE(Named.size() == 1);
  CHECK(Named[0].m_silent);

  ServingTarget Dead = target("a", 4);
  ServingTarget Sound = target("b", 4);
  PlacementOption Quiet;
  Quiet.m_target = &Dead;
  Quiet.m_quiet = true;
  PlacementOption Busy;
  Busy.m_target = &Sound;
  Busy.m_own = 4;
  absl::BitGen Random;
  for (int Try = 0; Try < 20; ++Try)
    CHECK(place({Quiet, Busy}, {}, Random).m_index == 1);
  Busy.m_own = 5;
  CHECK(place({Quiet, Busy}, {}, Random).m_index == 0);
}

// Guards against streams that are cut because their target leaves in order: it
// takes nothing new and finishes what it has.
TEST_CASE("a target closed to new requests keeps its streams while they move") {
  StallWatch Watch;
  TargetId Id("a");
  Watch.begun(Start, Id);
  Watch.closedToNew(Id);
  Instant Now = Start;
  for (int Event = 0; Event < 40; ++Event) {
    Now += absl::Milliseconds(100);
    Watch.progressed(Now, Id, Event == 0);
    CHECK(Watch.stalled(Now).empty());
  }
  auto Named = Watch.stalled(Now + absl::Milliseconds(450));
  REQUIRE(Named.size() == 1);
  CHECK(Named[0].m_abandon);
}

// Guards against callers that return to a restarted system before it can serve
// them, and, having come back once, are lost.
TEST_CASE("after a start callers return when the system is back") {
  absl::BitGen Random;
  ReturnFacts Facts;
  Facts.m_cause = ReturnCause::NotInformed;
  Facts.m_everInformed = false;
  for (int Draw = 0; Draw < 100; ++Draw) {
    Facts.m_upFor = absl::Milliseconds(100);
    CHECK(returnTime(Facts, Random) >= absl::Milliseconds(1900));
    Facts.m_upFor = absl::Seconds(1);
    CHECK(returnTime(Facts, Random) >= absl::Seconds(1));
    CHECK(returnTime(Facts, Random) <= absl::Milliseconds(1400));
  }
}

// Guards against callers that are all sent back to the same moment of a crest.
TEST_CASE("returns from full targets are spread past the present requests") {
  absl::BitGen Random;
  ReturnFacts Facts;
  Facts.m_meanRun = absl::Seconds(1);
  absl::Duration Least = absl::InfiniteDuration();
  absl::Duration Most = absl::ZeroDuration();
  for (int Draw = 0; Draw < 1000; ++Draw) {
    absl::Duration Time = returnTime(Facts, Random);
    Least = std::min(Least, Time);
    Most = std::max(Most, Time);
  }
  CHECK(Least >= Facts.m_meanRun);
  CHECK(Most - Least >= absl::Milliseconds(300));
}
