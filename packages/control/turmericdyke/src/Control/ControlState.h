#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "turmericdyke/src/Control/AssignmentTable.h"
#include "turmericdyke/src/Control/ChangeLog.h"
#include "turmericdyke/src/Control/CommandResult.h"
#include "turmericdyke/src/Control/EvacuationTable.h"
#include "turmericdyke/src/Control/OnceOnlyTable.h"
#include "turmericdyke/src/Control/SuspectTable.h"

namespace turmericdyke {

namespace internal {

/// Checks that tests disable one at a time, to show that their oracle detects
/// the resulting violations.
struct ControlTestHooks {
  bool m_skipBaseCheck = false;
  bool m_skipOutcomes = false;
  bool m_skipHostCheck = false;
  bool m_skipOnceOnlyRecords = false;
  bool m_skipTombstones = false;
};

} // namespace internal

/// The replicated state machine. Every node applies the same commands in log
/// order and reaches the same state, which does not depend on clocks, random
/// numbers or the settings of a node. Not thread-safe; owned by the control
/// thread.
class ControlState {
public:
  explicit ControlState(DeclarationParser Parser);

  /// Applies the command at log index `Index`. An index that was already
  /// applied is ignored, so that replaying the log after a snapshot is
  /// harmless.
  CommandResult apply(std::uint64_t Index, const Command &Value);
  /// The same for an encoded command. A command that cannot be decoded is
  /// already committed, so every node counts it and treats it as a no-op.
  CommandResult applyEncoded(std::uint64_t Index, std::string_view Bytes);

  /// Applies the encoded commands of one log entry in order. All of them are
  /// ignored if the index was already applied.
  std::vector<CommandResult>
  applyEncodedBatch(std::uint64_t Index,
                    const std::vector<std::string_view> &Batch);

  /// Canonical encoding: equal states give equal bytes.
  std::string snapshot() const;
  static Result<ControlState, ControlError> restore(std::string_view Bytes,
                                                    DeclarationParser Parser);

  std::uint64_t appliedIndex() const { return m_appliedIndex; }
  absl::Time logTime() const { return m_logTime; }
  const ControlLimits &limits() const { return m_limits; }
  /// The next fencing token that `ReserveFencingTokens` will reserve; never
  /// decreases.
  std::uint64_t nextFencingToken() const { return m_nextFencingToken; }
  /// Number of commands since process start that were of an unknown kind or
  /// could not be decoded.
  std::uint64_t ignoredCommands() const { return m_ignoredCommands; }

  /// The revision is 0, and the declaration null, before the first declaration.
  std::uint64_t revision() const { return m_changes.revision(); }
  std::shared_ptr<const Declaration> declaration() const {
    return m_changes.declaration();
  }
  const std::string &declarationText() const {
    return m_changes.declarationText();
  }
  /// The last 20,000 accepted declarations, oldest first.
  const std::deque<RevisionRecord> &history() const {
    return m_changes.history();
  }
  const std::set<TargetId> &drainedTargets() const {
    return m_changes.drainedTargets();
  }
  const std::set<HostId> &drainedHosts() const {
    return m_changes.drainedHosts();
  }

  /// The current routing document; version 0 before the first one.
  const SetRouting &routing() const { return m_routing; }

  /// The failure domains that are or were evacuated.
  const std::map<FailureDomainId, EvacuationRecord> &evacuations() const {
    return m_evacuations.all();
  }

  /// Null if there is none.
  std::shared_ptr<const Assignment> assignment(const ReplicaId &Id) const {
    return m_assignments.find(Id);
  }
  std::shared_ptr<const Assignment> assignmentOf(const HostId &Host) const {
    return m_assignments.findByHost(Host);
  }
  const std::map<ReplicaId, std::shared_ptr<const Assignment>> &
  assignments() const {
    return m_assignments.all();
  }
  const std::map<HostId, DepartingMember> &departingHosts() const {
    return m_assignments.departing();
  }

  /// Null if there is no record. The pointer is valid until the next command is
  /// applied.
  const OnceOnlyRecord *onceOnly(const CustomerId &Customer,
                                 std::string_view Key) const {
    return m_onceOnly.find(Customer, Key);
  }
  /// Whether the record of this key has expired, in which case the call may
  /// have run.
  bool onceOnlyExpired(const CustomerId &Customer, std::string_view Key) const {
    return m_onceOnly.hasTombstone(Customer, Key);
  }
  std::size_t onceOnlyRecords() const { return m_onceOnly.recordCount(); }
  std::size_t onceOnlyTombstones() const { return m_onceOnly.tombstoneCount(); }

  /// All marked requests.
  std::map<RequestIdentity, SuspectState> suspects() const {
    return m_suspects.all();
  }
  /// The marked requests of one customer.
  std::map<RequestIdentity, SuspectState>
  suspectsOf(const CustomerId &Customer) const {
    return m_suspects.of(Customer);
  }
  /// The requests of one customer that were marked at `From` of log time or
  /// later.
  std::vector<RequestIdentity> suspectsMarkedSince(const CustomerId &Customer,
                                                   absl::Time From) const {
    return m_suspects.markedSince(Customer, From);
  }
  /// The first marked request that is not ordered before `From`.
  std::optional<RequestIdentity>
  firstSuspectFrom(const RequestIdentity &From) const {
    return m_suspects.firstFrom(From);
  }
  /// The suspect request that may currently run.
  const std::optional<BeginSuspectRun> &suspectRun() const {
    return m_suspects.run();
  }
  SuspectState suspectState(const RequestIdentity &Request) const {
    return m_suspects.stateOf(Request);
  }
  /// Log time until which a request is refused.
  std::optional<absl::Time> refusedUntil(const RequestIdentity &Request) const {
    return m_suspects.refusedUntil(Request);
  }

  void setTestHooks(const internal::ControlTestHooks &Hooks);

private:
  CommandResult dispatch(const Command &Value);
  CommandResult applyTo(const UnknownCommand &Value);
  CommandResult applyTo(const ApplyDeclaration &Value);
  CommandResult applyTo(const SetDrained &Value);
  CommandResult applyTo(const SetAssignment &Value);
  CommandResult applyTo(const RemoveAssignment &Value);
  CommandResult applyTo(const AcceptBuild &Value);
  CommandResult applyTo(const ReleaseHost &Value);
  CommandResult applyTo(const ReserveFencingTokens &Value);
  CommandResult applyTo(const BeginOnceOnly &Value);
  CommandResult applyTo(const FinishOnceOnly &Value);
  CommandResult applyTo(const NodeLost &Value);
  CommandResult applyTo(const MarkSuspects &Value);
  CommandResult applyTo(const ClearSuspect &Value);
  CommandResult applyTo(const BeginSuspectRun &Value);
  CommandResult applyTo(const EndSuspectRun &Value);
  CommandResult applyTo(const Tick &Value);
  CommandResult applyTo(const SetLimits &Value);
  CommandResult applyTo(const SetRouting &Value);
  CommandResult applyTo(const SetEvacuation &Value);

  std::uint64_t m_appliedIndex = 0;
  absl::Time m_logTime = absl::UnixEpoch();
  ControlLimits m_limits;
  SetRouting m_routing;
  std::uint64_t m_nextFencingToken = 1;
  std::uint64_t m_ignoredCommands = 0;
  internal::ChangeLog m_changes;
  internal::AssignmentTable m_assignments;
  internal::OnceOnlyTable m_onceOnly;
  internal::SuspectTable m_suspects;
  internal::EvacuationTable m_evacuations;
};

} // namespace turmericdyke
