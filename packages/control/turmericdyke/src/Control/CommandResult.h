#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "turmericdyke/src/Control/Command.h"

namespace turmericdyke {

/// The command took effect, or was already in effect.
struct CommandApplied {
  friend bool operator==(const CommandApplied &,
                         const CommandApplied &) = default;
};

/// The command is of an unknown kind, or its log index was already applied.
struct CommandIgnored {
  friend bool operator==(const CommandIgnored &,
                         const CommandIgnored &) = default;
};

/// A change by an operator was accepted. The revision is the current one after
/// the change.
struct ChangeAccepted {
  std::uint64_t m_revision = 0;
  /// Whether the change was resent and this is its original outcome.
  bool m_repeated = false;

  friend bool operator==(const ChangeAccepted &,
                         const ChangeAccepted &) = default;
};

/// Another change was accepted first. The winner is the change that directly
/// followed the base revision, or the latest change if that one is no longer in
/// the history.
struct ChangeConflict {
  std::string m_winnerChangeId;
  std::string m_winnerAuthor;
  std::uint64_t m_winnerRevision = 0;
  /// Current revision when the change was rejected.
  std::uint64_t m_newestRevision = 0;
  bool m_repeated = false;

  friend bool operator==(const ChangeConflict &,
                         const ChangeConflict &) = default;
};

/// A declaration failed validation, or a field of a command is invalid.
struct CommandInvalid {
  std::string m_field;
  std::string m_message;
  bool m_repeated = false;

  friend bool operator==(const CommandInvalid &,
                         const CommandInvalid &) = default;
};

enum class CommandRefusalReason {
  /// The assignment is not at the expected generation.
  GenerationMismatch,
  /// A host or target belongs to another assignment or is departing.
  HostOccupied,
  /// The phase does not permit the change.
  WrongPhase,
  /// The change identifier was already used for different content.
  ChangeIdReused,
  /// Another suspect request is running.
  SuspectRunActive,
  /// The request crashed two targets and is temporarily refused.
  RequestRefused,
  /// There is no such record, or another node or attempt owns it.
  NotOwner,
};

struct CommandRefused {
  CommandRefusalReason m_reason = CommandRefusalReason::GenerationMismatch;
  std::string m_message;

  friend bool operator==(const CommandRefused &,
                         const CommandRefused &) = default;
};

/// Fencing tokens `m_first` to `m_first + m_count - 1` are reserved for the
/// requesting leader.
struct FencingTokensGranted {
  std::uint64_t m_first = 0;
  std::uint64_t m_count = 0;

  friend bool operator==(const FencingTokensGranted &,
                         const FencingTokensGranted &) = default;
};

/// The replicated record of a once-only call.
struct OnceOnlyRecord {
  std::string m_requestDigest;
  NodeId m_node;
  std::uint64_t m_nodeIncarnation = 0;
  AttemptId m_attempt;
  OnceOnlyOutcome m_outcome = OnceOnlyOutcome::InProgress;
  std::int64_t m_answerStatus = 0;
  std::string m_answerBody;
  bool m_bodyOmitted = false;
  /// Log time at which the record was committed; expiry counts from it.
  absl::Time m_begunAt = absl::UnixEpoch();

  friend bool operator==(const OnceOnlyRecord &,
                         const OnceOnlyRecord &) = default;
};

enum class BeginOnceOnlyStatus {
  /// The requesting node may execute the call.
  Begun,
  /// A record with the same request digest exists and holds the outcome.
  Known,
  /// The key was used for a request with another digest; the new call did not
  /// run.
  DigestMismatch,
  /// The record has expired; the call may have run.
  Expired,
  /// The limit on keys is reached; the call did not run.
  Full,
  /// The node process was declared lost; the call did not run.
  NodeDeclaredLost,
};

/// Result of `BeginOnceOnly`. The record is set for `Begun` and `Known`.
struct BeginOnceOnlyResult {
  BeginOnceOnlyStatus m_start = BeginOnceOnlyStatus::Full;
  OnceOnlyRecord m_record;

  friend bool operator==(const BeginOnceOnlyResult &,
                         const BeginOnceOnlyResult &) = default;
};

/// Result of `FinishOnceOnly`: the record after the command. A final outcome is
/// never overwritten.
struct FinishOnceOnlyResult {
  OnceOnlyRecord m_record;

  friend bool operator==(const FinishOnceOnlyResult &,
                         const FinishOnceOnlyResult &) = default;
};

/// Result of `SetRouting`.
struct SetRoutingResult {
  /// The current version after the command.
  std::uint64_t m_version = 0;
  /// Whether the command replaced the document.
  bool m_replaced = false;

  friend bool operator==(const SetRoutingResult &,
                         const SetRoutingResult &) = default;
};

using CommandResult =
    std::variant<CommandApplied, CommandIgnored, ChangeAccepted, ChangeConflict,
                 CommandInvalid, CommandRefused, FencingTokensGranted,
                 BeginOnceOnlyResult, FinishOnceOnlyResult, SetRoutingResult>;

} // namespace turmericdyke
