#include <doctest/doctest.h>

#include "TestParser.h"
#include "turmericdyke/Control"

using namespace turmericdyke;

namespace {

const CustomerId Acme("acme");

/// A state to which commands are applied at consecutive log indexes.
struct Fixture {
  ControlState m_state{testParser};
  std::uint64_t m_index = 0;

  CommandResult apply(const Command &Value) {
    return m_state.apply(++m_index, Value);
  }
  template <class T> T applyAs(const Command &Value) {
    CommandResult Result = apply(Value);
    REQUIRE(std::holds_alternative<T>(Result));
    return std::get<T>(Result);
  }
  void advance(absl::Duration By) { apply(Tick{m_state.logTime() + By}); }
};

Assignment assignment(const char *Replica, std::uint64_t Generation,
                      std::initializer_list<const char *> Hosts) {
  Assignment Value;
  Value.m_replica = ReplicaId(Replica);
  Value.m_generation = Generation;
  for (const char *Host : Hosts)
    Value.m_members.push_back(
        {TargetId(std::string("t-") + Host), HostId(Host), 1});
  return Value;
}

BeginOnceOnly begin(const char *Key, const char *Digest = "d") {
  return {Acme, Key, Digest, NodeId("n1"), 1, AttemptId("a1"), {}};
}

FinishOnceOnly finish(const char *Key, OnceOnlyOutcome Outcome) {
  return {Acme,  Key,     NodeId("n1"), 1,      AttemptId("a1"),
          false, Outcome, 200,          "body", false};
}

BeginOnceOnlyStatus beginStatus(Fixture &F, const BeginOnceOnly &Command) {
  return F.applyAs<BeginOnceOnlyResult>(Command).m_start;
}

} // namespace

TEST_CASE("of two changes with one base revision, the second gets a conflict "
          "that names the first, also after later changes") {
  Fixture F;
  CHECK(F.applyAs<ChangeAccepted>(ApplyDeclaration{"c1", 0, "ann", "one"})
            .m_revision == 1);
  F.apply(ApplyDeclaration{"c3", 1, "cy", "three"});
  ChangeConflict Lost =
      F.applyAs<ChangeConflict>(ApplyDeclaration{"c2", 0, "bob", "two"});
  CHECK(Lost == ChangeConflict{"c1", "ann", 1, 2, false});
  CHECK(F.m_state.declarationText() == "three");
  CHECK(F.m_state.history().size() == 2);
}

TEST_CASE("a resent change gets its original outcome, whatever was accepted "
          "since") {
  Fixture F;
  ApplyDeclaration First{"c1", 0, "ann", "one"};
  F.apply(First);
  F.apply(ApplyDeclaration{"c2", 1, "bob", "two"});
  CHECK(F.applyAs<ChangeAccepted>(First) == ChangeAccepted{1, true});
  CHECK(F.m_state.declarationText() == "two");
  F.apply(SetDrained{"d1", {}, HostId("h1"), true});
  F.apply(SetDrained{"d2", {}, HostId("h1"), false});
  F.apply(SetDrained{"d1", {}, HostId("h1"), true});
  CHECK(F.m_state.drainedHosts().empty());
  CHECK(F.applyAs<CommandRefused>(ApplyDeclaration{"c1", 2, "ann", "other"})
            .m_reason == CommandRefusalReason::ChangeIdReused);
}

TEST_CASE("a declaration that fails validation changes nothing") {
  Fixture F;
  ApplyDeclaration Bad{"c1", 0, "ann", "bad"};
  CHECK(F.applyAs<CommandInvalid>(Bad).m_field == "customers");
  CHECK(F.applyAs<CommandInvalid>(Bad).m_repeated);
  CHECK(F.m_state.revision() == 0);
  CHECK(F.m_state.declaration() == nullptr);
}

TEST_CASE("a host can be assigned only if it is free") {
  Fixture F;
  F.applyAs<CommandApplied>(SetAssignment{assignment("r1", 1, {"a", "b"}), 0});
  auto Reason = [&](const Command &Value) {
    return F.applyAs<CommandRefused>(Value).m_reason;
  };
  CHECK(Reason(SetAssignment{assignment("r2", 1, {"b", "c"}), 0}) ==
        CommandRefusalReason::HostOccupied);
  // After a repair, the replaced host is departing until it is released.
  F.applyAs<CommandApplied>(SetAssignment{assignment("r1", 2, {"a", "c"}), 1});
  CHECK(F.m_state.departingHosts().contains(HostId("b")));
  CHECK(Reason(SetAssignment{assignment("r2", 1, {"b"}), 0}) ==
        CommandRefusalReason::HostOccupied);
  CHECK(Reason(ReleaseHost{HostId("b"), ReplicaId("r1"), 2}) ==
        CommandRefusalReason::GenerationMismatch);
  F.applyAs<CommandApplied>(ReleaseHost{HostId("b"), ReplicaId("r1"), 1});
  F.applyAs<CommandApplied>(SetAssignment{assignment("r2", 1, {"b"}), 0});
  CHECK(F.m_state.assignmentOf(HostId("b"))->m_replica == ReplicaId("r2"));
}

TEST_CASE("an assignment can be removed only in the ending phase and does not "
          "become active again") {
  Fixture F;
  Assignment Value = assignment("r1", 1, {"a"});
  F.apply(SetAssignment{Value, 0});
  CHECK(F.applyAs<CommandRefused>(RemoveAssignment{ReplicaId("r1"), 1})
            .m_reason == CommandRefusalReason::WrongPhase);
  Value.m_phase = AssignmentPhase::Ending;
  F.applyAs<CommandApplied>(SetAssignment{Value, 1});
  F.applyAs<CommandRefused>(SetAssignment{assignment("r1", 2, {"a"}), 1});
  F.applyAs<CommandApplied>(RemoveAssignment{ReplicaId("r1"), 1});
  CHECK(F.m_state.assignmentOf(HostId("a")) == nullptr);
}

TEST_CASE("commands for an outdated generation are refused, also accepting a "
          "build after a repair") {
  Fixture F;
  F.apply(SetAssignment{assignment("r1", 1, {"a"}), 0});
  F.apply(SetAssignment{assignment("r1", 2, {"b"}), 1});
  F.applyAs<CommandRefused>(AcceptBuild{ReplicaId("r1"), 1, "x"});
  F.applyAs<CommandRefused>(SetAssignment{assignment("r1", 2, {"c"}), 1});
  F.applyAs<CommandInvalid>(SetAssignment{assignment("r1", 2, {"c"}), 2});
  F.applyAs<CommandApplied>(AcceptBuild{ReplicaId("r1"), 2, "x"});
  CHECK(F.m_state.assignment(ReplicaId("r1"))->m_acceptedBuild == "x");
}

TEST_CASE("reserved blocks of fencing tokens do not overlap") {
  Fixture F;
  CHECK(F.applyAs<FencingTokensGranted>(ReserveFencingTokens{NodeId("n1"), 10})
            .m_first == 1);
  CHECK(F.applyAs<FencingTokensGranted>(ReserveFencingTokens{NodeId("n2"), 10})
            .m_first == 11);
}

TEST_CASE("a once-only key begins once, and a retry gets its record") {
  Fixture F;
  CHECK(beginStatus(F, begin("k")) == BeginOnceOnlyStatus::Begun);
  CHECK(beginStatus(F, begin("k")) == BeginOnceOnlyStatus::Known);
  CHECK(beginStatus(F, begin("k", "other")) ==
        BeginOnceOnlyStatus::DigestMismatch);
  FinishOnceOnly ByOther = finish("k", OnceOnlyOutcome::NotRun);
  ByOther.m_node = NodeId("n2");
  F.applyAs<CommandRefused>(ByOther);
  ByOther.m_fromStatusQuery = true;
  F.applyAs<CommandRefused>(ByOther);
  F.applyAs<FinishOnceOnlyResult>(finish("k", OnceOnlyOutcome::Ran));
  F.applyAs<FinishOnceOnlyResult>(finish("k", OnceOnlyOutcome::NotRun));
  OnceOnlyRecord Record = F.applyAs<BeginOnceOnlyResult>(begin("k")).m_record;
  CHECK(Record.m_outcome == OnceOnlyOutcome::Ran);
  CHECK(Record.m_answerBody == "body");
}

TEST_CASE(
    "a key may begin again if its call did not run, but not if it may have "
    "run, whatever a status query returns") {
  Fixture F;
  CHECK(beginStatus(F, begin("k")) == BeginOnceOnlyStatus::Begun);
  F.applyAs<FinishOnceOnlyResult>(finish("k", OnceOnlyOutcome::NotRun));
  CHECK(beginStatus(F, begin("k", "other")) ==
        BeginOnceOnlyStatus::DigestMismatch);
  CHECK(beginStatus(F, begin("k")) == BeginOnceOnlyStatus::Begun);
  F.applyAs<FinishOnceOnlyResult>(finish("k", OnceOnlyOutcome::MayHaveRun));
  FinishOnceOnly Query = finish("k", OnceOnlyOutcome::NotRun);
  Query.m_fromStatusQuery = true;
  Query.m_node = NodeId("n2");
  F.applyAs<CommandRefused>(Query);
  CHECK(beginStatus(F, begin("k")) == BeginOnceOnlyStatus::Known);
}

TEST_CASE(
    "open calls of a lost node may have run; the node begins no new ones, "
    "but its next incarnation does") {
  Fixture F;
  F.apply(begin("open"));
  F.apply(begin("done"));
  F.apply(finish("done", OnceOnlyOutcome::Ran));
  F.apply(NodeLost{NodeId("n1"), 1});
  CHECK(F.m_state.onceOnly(Acme, "open")->m_outcome ==
        OnceOnlyOutcome::MayHaveRun);
  CHECK(F.m_state.onceOnly(Acme, "done")->m_outcome == OnceOnlyOutcome::Ran);
  CHECK(beginStatus(F, begin("late")) == BeginOnceOnlyStatus::NodeDeclaredLost);
  BeginOnceOnly Restarted = begin("late");
  Restarted.m_nodeIncarnation = 2;
  CHECK(beginStatus(F, Restarted) == BeginOnceOnlyStatus::Begun);
  FinishOnceOnly Queried = finish("open", OnceOnlyOutcome::Ran);
  Queried.m_node = NodeId("n3");
  Queried.m_fromStatusQuery = true;
  F.applyAs<FinishOnceOnlyResult>(Queried);
  CHECK(F.m_state.onceOnly(Acme, "open")->m_outcome == OnceOnlyOutcome::Ran);
}

TEST_CASE("an expired key is refused forever, and log time does not decrease") {
  Fixture F;
  F.apply(begin("k"));
  F.advance(absl::Hours(24 * 7) - absl::Seconds(1));
  CHECK(beginStatus(F, begin("k")) == BeginOnceOnlyStatus::Known);
  F.advance(absl::Seconds(1));
  CHECK(beginStatus(F, begin("k")) == BeginOnceOnlyStatus::Expired);
  absl::Time Newest = F.m_state.logTime();
  F.apply(Tick{Newest - absl::Hours(1)});
  CHECK(F.m_state.logTime() == Newest);
  F.advance(absl::Hours(24 * 365));
  CHECK(beginStatus(F, begin("k")) == BeginOnceOnlyStatus::Expired);
}

TEST_CASE(
    "at the limit on keys, new keys are refused and known ones answered") {
  Fixture F;
  F.apply(SetLimits{{absl::Hours(1), 2, 6}});
  F.apply(begin("a"));
  F.advance(absl::Hours(2));
  F.apply(begin("b"));
  CHECK(F.m_state.onceOnlyTombstones() == 1);
  CHECK(beginStatus(F, begin("c")) == BeginOnceOnlyStatus::Full);
  CHECK(beginStatus(F, begin("b")) == BeginOnceOnlyStatus::Known);
}

TEST_CASE("answer bodies beyond the limit are omitted, outcomes are kept") {
  Fixture F;
  F.apply(SetLimits{{absl::Hours(1), 100, 6}});
  F.apply(begin("a"));
  F.apply(begin("b"));
  F.apply(finish("a", OnceOnlyOutcome::Ran));
  F.apply(finish("b", OnceOnlyOutcome::Ran));
  CHECK_FALSE(F.m_state.onceOnly(Acme, "a")->m_bodyOmitted);
  CHECK(F.m_state.onceOnly(Acme, "b")->m_bodyOmitted);
  F.advance(absl::Hours(1));
  F.apply(begin("c"));
  F.apply(finish("c", OnceOnlyOutcome::Ran));
  CHECK_FALSE(F.m_state.onceOnly(Acme, "c")->m_bodyOmitted);
}

TEST_CASE("a request is refused for 10 minutes after a second crash, but not "
          "after one crash that is reported twice") {
  Fixture F;
  RequestIdentity Request{Acme, "d"};
  auto State = [&] { return F.m_state.suspectState(Request); };
  F.apply(MarkSuspects{"t1/1", {Request}});
  F.apply(MarkSuspects{"t1/1", {Request}});
  CHECK(State() == SuspectState::Suspect);
  CHECK(F.m_state.suspectState({CustomerId("other"), "d"}) ==
        SuspectState::Clear);
  F.apply(MarkSuspects{"t2/1", {Request}});
  CHECK(State() == SuspectState::Refused);
  F.apply(ClearSuspect{Request});
  CHECK(State() == SuspectState::Refused);
  F.advance(absl::Minutes(10) - absl::Seconds(1));
  CHECK(State() == SuspectState::Refused);
  F.advance(absl::Seconds(1));
  CHECK(State() == SuspectState::Suspect);
  F.apply(MarkSuspects{"t3/1", {Request}});
  CHECK(State() == SuspectState::Refused);
  F.advance(absl::Hours(1));
  CHECK(State() == SuspectState::Clear);
}

TEST_CASE("a suspect request is cleared when it completes") {
  Fixture F;
  RequestIdentity Request{Acme, "d"};
  F.apply(MarkSuspects{"t1/1", {Request}});
  F.apply(ClearSuspect{Request});
  F.apply(MarkSuspects{"t2/1", {Request}});
  CHECK(F.m_state.suspectState(Request) == SuspectState::Suspect);
}

TEST_CASE("an index that was already applied and a command that cannot be "
          "decoded change nothing, and the latter is counted") {
  Fixture F;
  F.apply(begin("k"));
  std::string Before = F.m_state.snapshot();
  CHECK(std::holds_alternative<CommandIgnored>(
      F.m_state.apply(F.m_index, begin("other"))));
  CHECK(F.m_state.snapshot() == Before);
  F.m_state.applyEncoded(++F.m_index, "not a command");
  F.apply(UnknownCommand{"introduced_later"});
  CHECK(F.m_state.ignoredCommands() == 2);
  CHECK(F.m_state.appliedIndex() == 3);
}

TEST_CASE("a truncated snapshot gives an error, not an exception") {
  Fixture F;
  F.apply(begin("k"));
  std::string Bytes = F.m_state.snapshot();
  for (std::size_t At = 0; At < Bytes.size(); ++At)
    CHECK_FALSE(
        ControlState::restore(Bytes.substr(0, At), testParser).has_value());
}

TEST_CASE("one suspect request may run at a time, until it ends, is marked "
          "again or its node is lost") {
  Fixture F;
  RequestIdentity First{CustomerId("a"), "d1"};
  RequestIdentity Second{CustomerId("a"), "d2"};
  BeginSuspectRun RunFirst{First, NodeId("n1"), 5};
  BeginSuspectRun RunSecond{Second, NodeId("n2"), 6};
  auto Granted = [&](const BeginSuspectRun &Run) {
    return std::holds_alternative<CommandApplied>(F.apply(Run));
  };
  CHECK(Granted(RunFirst));
  CHECK(Granted(RunFirst));
  CHECK_FALSE(Granted(RunSecond));
  F.apply(EndSuspectRun{Second, NodeId("n2"), 6});
  CHECK_FALSE(Granted(RunSecond));
  F.apply(EndSuspectRun{First, NodeId("n1"), 5});
  CHECK(Granted(RunSecond));
  F.apply(MarkSuspects{"t1/1", {Second}});
  CHECK(Granted(RunFirst));
  F.apply(NodeLost{NodeId("n1"), 5});
  CHECK(Granted(RunSecond));
  F.apply(MarkSuspects{"t2/1", {Second}});
  CHECK_FALSE(Granted(RunSecond));
  CHECK(Granted(RunFirst));
}

// Guards against reverting to an older routing document, and against replacing
// the content of the current version.
TEST_CASE("the highest routing version is current, in any order of arrival") {
  Fixture F;
  CHECK(F.applyAs<SetRoutingResult>(SetRouting{5, "five"}).m_replaced);
  CHECK_FALSE(F.applyAs<SetRoutingResult>(SetRouting{3, "three"}).m_replaced);
  CHECK_FALSE(F.applyAs<SetRoutingResult>(SetRouting{5, "other"}).m_replaced);
  CHECK(F.m_state.routing() == SetRouting{5, "five"});
  CHECK(F.applyAs<SetRoutingResult>(SetRouting{9, "nine"}).m_version == 9);
  auto Restored = ControlState::restore(F.m_state.snapshot(), testParser);
  REQUIRE(Restored);
  CHECK(Restored.value().routing() == SetRouting{9, "nine"});
  CHECK(Restored.value().snapshot() == F.m_state.snapshot());
}
