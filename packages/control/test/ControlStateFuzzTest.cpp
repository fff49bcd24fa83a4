#include <algorithm>
#include <map>
#include <set>

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "TestParser.h"
#include "turmericdyke/Control"

using namespace turmericdyke;

namespace {

// RapidCheck also has a type named Command.
using LogCommand = turmericdyke::Command;

/// The state of the test oracle. It keeps the whole history where the code
/// under test keeps compact state.
struct Oracle {
  std::vector<std::string> m_accepted;
  std::map<std::string, CommandResult> m_outcomes;
  std::set<std::string> m_begun;
  absl::Time m_logTime = absl::UnixEpoch();
};

struct System {
  ControlState m_state{testParser};
  std::uint64_t m_index = 0;
};

void check(bool Holds, const char *What) {
  if (!Holds)
    RC_FAIL(What);
}

void checkOneAssignmentPerHost(const ControlState &State) {
  std::set<HostId> Seen;
  for (const auto &[Replica, Value] : State.assignments())
    for (const AssignedMember &Member : Value->m_members)
      check(Seen.insert(Member.m_host).second, "host in two assignments");
  for (const auto &[Host, Member] : State.departingHosts())
    check(Seen.insert(Host).second, "departing host in an assignment");
}

/// One log entry. Identifiers are drawn from small sets, so that they collide.
struct ApplyCommand : rc::state::Command<Oracle, System> {
  LogCommand m_command = *commands();

  static rc::Gen<std::string> name(const char *Prefix, int Count) {
    return rc::gen::map(rc::gen::inRange(0, Count), [Prefix](int Number) {
      return Prefix + std::to_string(Number);
    });
  }
  static rc::Gen<LogCommand> commands() {
    return rc::gen::exec([] {
      using rc::gen::inRange;
      switch (*inRange(0, 9)) {
      case 0:
      case 1: {
        std::string Id = *name("c", 12);
        // Content and base depend only on the change identifier, so that a
        // repeated identifier is a resend of the same change.
        return LogCommand(ApplyDeclaration{Id, std::hash<std::string>{}(Id) % 4,
                                           "ann",
                                           Id == "c0" ? "bad" : "text-" + Id});
      }
      case 2: {
        Assignment Value;
        Value.m_replica = ReplicaId(*name("r", 4));
        std::uint64_t Expected = *inRange(0, 3);
        Value.m_generation = Expected + 1;
        Value.m_phase = *inRange(0, 4) == 0 ? AssignmentPhase::Ending
                                            : AssignmentPhase::Active;
        int Count = *inRange(1, 3);
        for (int Rank = 0; Rank < Count; ++Rank) {
          std::string Host = *name("h", 6);
          Value.m_members.push_back({TargetId("t" + Host), HostId(Host), 1});
        }
        return LogCommand(SetAssignment{Value, Expected});
      }
      case 3:
        return LogCommand(
            RemoveAssignment{ReplicaId(*name("r", 4)),
                             static_cast<std::uint64_t>(*inRange(1, 4))});
      case 4:
        return LogCommand(
            ReleaseHost{HostId(*name("h", 6)), ReplicaId(*name("r", 4)),
                        static_cast<std::uint64_t>(*inRange(1, 4))});
      case 5:
        return LogCommand(NodeLost{NodeId(*name("n", 3)), 1});
      case 6:
        return LogCommand(FinishOnceOnly{
            CustomerId("acme"), *name("k", 4), NodeId(*name("n", 3)), 1,
            AttemptId("a"), *rc::gen::arbitrary<bool>(), OnceOnlyOutcome::Ran,
            200, "body"});
      case 7:
        return LogCommand(
            Tick{absl::UnixEpoch() + absl::Hours(*inRange(0, 400))});
      default:
        return LogCommand(BeginOnceOnly{CustomerId("acme"),
                                        *name("k", 4),
                                        *name("d", 2),
                                        NodeId(*name("n", 3)),
                                        1,
                                        AttemptId("a"),
                                        {}});
      }
    });
  }

  void apply(Oracle &Model) const override {
    if (const auto *Time = std::get_if<Tick>(&m_command))
      Model.m_logTime = std::max(Model.m_logTime, Time->m_logTime);
  }

  void run(const Oracle &, System &Sut) const override;
  void show(std::ostream &Out) const override {
    Out << "command " << m_command.index();
  }
};

/// Oracle state that depends on the results of commands, which RapidCheck's
/// model does not get. Reset before each run.
Oracle Observed;

void checkDeclaration(const ApplyDeclaration &Value,
                      const CommandResult &Result, const ControlState &State) {
  auto Known = Observed.m_outcomes.find(Value.m_changeId);
  const auto *Accepted = std::get_if<ChangeAccepted>(&Result);
  if (Known != Observed.m_outcomes.end()) {
    check(Known->second.index() == Result.index(),
          "resent change got a different outcome");
    if (Accepted != nullptr)
      check(std::get<ChangeAccepted>(Known->second).m_revision ==
                Accepted->m_revision,
            "resent change got a different revision");
  } else if (Accepted != nullptr) {
    check(Value.m_baseRevision == Observed.m_accepted.size(),
          "two changes accepted for one base revision");
    Observed.m_accepted.push_back(Value.m_declaration);
  }
  Observed.m_outcomes.emplace(Value.m_changeId, Result);
  check(State.revision() == Observed.m_accepted.size(), "revision is wrong");
  if (!Observed.m_accepted.empty())
    check(State.declarationText() == Observed.m_accepted.back(),
          "an accepted declaration was reverted");
}

void ApplyCommand::run(const Oracle &Model, System &Sut) const {
  std::uint64_t Fence = Sut.m_state.nextFencingToken();
  CommandResult Result =
      Sut.m_state.applyEncoded(++Sut.m_index, encodeCommand(m_command));
  if (const auto *Change = std::get_if<ApplyDeclaration>(&m_command))
    checkDeclaration(*Change, Result, Sut.m_state);
  if (const auto *Begin = std::get_if<BeginOnceOnly>(&m_command))
    if (std::get<BeginOnceOnlyResult>(Result).m_start ==
        BeginOnceOnlyStatus::Begun)
      check(Observed.m_begun.insert(Begin->m_key).second,
            "a once-only key began twice");
  // A key may begin again if its owner reported that the call did not run.
  if (const auto *Finish = std::get_if<FinishOnceOnly>(&m_command))
    if (const auto *Done = std::get_if<FinishOnceOnlyResult>(&Result))
      if (Done->m_record.m_outcome == OnceOnlyOutcome::NotRun)
        Observed.m_begun.erase(Finish->m_key);
  checkOneAssignmentPerHost(Sut.m_state);
  Oracle After = Model;
  apply(After);
  check(Sut.m_state.logTime() == After.m_logTime, "log time is wrong");
  check(Sut.m_state.nextFencingToken() >= Fence,
        "the next fencing token decreased");
  std::string Bytes = Sut.m_state.snapshot();
  auto Restored = ControlState::restore(Bytes, testParser);
  check(Restored.has_value() && Restored.value().snapshot() == Bytes,
        "a restored state differs");
}

/// Runs the stateful property with the checks in `Hooks` disabled.
void runProperty(const internal::ControlTestHooks &Hooks) {
  Observed = Oracle();
  System Sut;
  Sut.m_state.setTestHooks(Hooks);
  rc::state::check(Oracle(), Sut,
                   rc::state::gen::execOneOfWithArgs<ApplyCommand>());
}

bool holdsWith(const internal::ControlTestHooks &Hooks) {
  rc::detail::TestParams Params;
  Params.seed = 20261204;
  Params.maxSize = 300;
  Params.disableShrinking = true;
  return rc::detail::checkProperty(
             rc::detail::toProperty([&] { runProperty(Hooks); }),
             rc::detail::TestMetadata(), Params)
      .is<rc::detail::SuccessResult>();
}

} // namespace

TEST_CASE("with random logs, one change per base revision is accepted, a key "
          "begins once, a host has one assignment, and snapshots restore") {
  CHECK(rc::check("control state",
                  [] { runProperty(internal::ControlTestHooks()); }));
}

TEST_CASE("the oracle detects each disabled check") {
  internal::ControlTestHooks Base, Outcomes, Host, Records, Tombstones;
  Base.m_skipBaseCheck = true;
  Outcomes.m_skipOutcomes = true;
  Host.m_skipHostCheck = true;
  Records.m_skipOnceOnlyRecords = true;
  Tombstones.m_skipTombstones = true;
  CHECK(holdsWith(internal::ControlTestHooks()));
  CHECK_FALSE(holdsWith(Base));
  CHECK_FALSE(holdsWith(Outcomes));
  CHECK_FALSE(holdsWith(Host));
  CHECK_FALSE(holdsWith(Records));
  CHECK_FALSE(holdsWith(Tombstones));
}
