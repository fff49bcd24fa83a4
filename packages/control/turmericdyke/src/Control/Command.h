#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Control/ControlError.h"
#include "turmericdyke/src/Fleet/AssignmentChange.h"

namespace turmericdyke {

/// Maximum size of an encoded command. Declarations are the largest ones.
constexpr std::size_t MaxCommandBytes = 8 << 20;
/// Maximum size of an answer body in a once-only record. For a larger body,
/// `m_bodyOmitted` is set instead.
constexpr std::size_t MaxStoredAnswerBytes = 64 << 10;

/// Submits a declaration that is based on revision `m_baseRevision`.
struct ApplyDeclaration {
  std::string m_changeId;
  std::uint64_t m_baseRevision = 0;
  std::string m_author;
  /// Canonical JSON of the declaration.
  std::string m_declaration;
  /// Wall-clock time at the author's node, for the history only.
  absl::Time m_time = absl::UnixEpoch();

  friend bool operator==(const ApplyDeclaration &,
                         const ApplyDeclaration &) = default;
};

/// Sets whether a target or host is drained, that is, not used for new
/// replicas. Exactly one of the two identifiers is set.
struct SetDrained {
  std::string m_changeId;
  TargetId m_target;
  HostId m_host;
  bool m_drained = false;

  friend bool operator==(const SetDrained &, const SetDrained &) = default;
};

/// Reserves a block of fencing tokens for a leader.
struct ReserveFencingTokens {
  NodeId m_node;
  std::uint64_t m_count = 0;

  friend bool operator==(const ReserveFencingTokens &,
                         const ReserveFencingTokens &) = default;
};

/// Asks for permission to execute a once-only call, which runs at most once.
struct BeginOnceOnly {
  CustomerId m_customer;
  std::string m_key;
  std::string m_requestDigest;
  NodeId m_node;
  std::uint64_t m_nodeIncarnation = 0;
  AttemptId m_attempt;
  /// Wall-clock time at the node, only for operators. Expiry uses log time.
  absl::Time m_time = absl::UnixEpoch();

  friend bool operator==(const BeginOnceOnly &,
                         const BeginOnceOnly &) = default;
};

enum class OnceOnlyOutcome { InProgress, Ran, NotRun, MayHaveRun };

/// Records the outcome of a once-only call. Only the node and incarnation in
/// the record may do so, or any node that got the result from a status query.
struct FinishOnceOnly {
  CustomerId m_customer;
  std::string m_key;
  NodeId m_node;
  std::uint64_t m_nodeIncarnation = 0;
  AttemptId m_attempt;
  bool m_fromStatusQuery = false;
  /// Not `InProgress`.
  OnceOnlyOutcome m_outcome = OnceOnlyOutcome::MayHaveRun;
  /// HTTP status; 0 if there was no answer.
  std::int64_t m_answerStatus = 0;
  std::string m_answerBody;
  bool m_bodyOmitted = false;

  friend bool operator==(const FinishOnceOnly &,
                         const FinishOnceOnly &) = default;
};

/// Creates the command with which the owner of a call records its outcome.
FinishOnceOnly makeFinishOnceOnly(const BeginOnceOnly &Begun,
                                  OnceOnlyOutcome Outcome);

/// Declares a node process dead. Its open once-only records become
/// `MayHaveRun`, and it cannot begin new ones.
struct NodeLost {
  NodeId m_node;
  std::uint64_t m_incarnation = 0;

  friend bool operator==(const NodeLost &, const NodeLost &) = default;
};

/// Identifies a request for the quarantine of suspect requests.
struct RequestIdentity {
  CustomerId m_customer;
  std::string m_digest;

  friend bool operator==(const RequestIdentity &,
                         const RequestIdentity &) = default;
  friend bool operator<(const RequestIdentity &A, const RequestIdentity &B) {
    return std::tie(A.m_customer, A.m_digest) <
           std::tie(B.m_customer, B.m_digest);
  }
};

/// Marks the requests that were running at a target when it crashed as suspect.
/// The crash identifier contains target and incarnation, so that a crash that
/// is reported twice counts once.
struct MarkSuspects {
  std::string m_crashId;
  std::vector<RequestIdentity> m_requests;

  friend bool operator==(const MarkSuspects &, const MarkSuspects &) = default;
};

/// Removes the suspect mark of a request that completed.
struct ClearSuspect {
  RequestIdentity m_request;

  friend bool operator==(const ClearSuspect &, const ClearSuspect &) = default;
};

/// Acquires the permission to run a suspect request, of which there is only
/// one. While it is held, the customer's pool keeps one replica free of other
/// work. It ends with `EndSuspectRun`, when the request is marked again, when
/// the node is lost, or after 10 minutes of log time.
struct BeginSuspectRun {
  RequestIdentity m_request;
  NodeId m_node;
  std::uint64_t m_nodeIncarnation = 0;

  friend bool operator==(const BeginSuspectRun &,
                         const BeginSuspectRun &) = default;
};

/// Releases the permission to run a suspect request.
struct EndSuspectRun {
  RequestIdentity m_request;
  NodeId m_node;
  std::uint64_t m_nodeIncarnation = 0;

  friend bool operator==(const EndSuspectRun &,
                         const EndSuspectRun &) = default;
};

/// Advances log time. A time that is not later than the current one is ignored.
struct Tick {
  absl::Time m_logTime = absl::UnixEpoch();

  friend bool operator==(const Tick &, const Tick &) = default;
};

/// Limits that must be identical on every node. They are therefore set through
/// the log and not read from each node's settings.
struct ControlLimits {
  absl::Duration m_onceOnlyRetention = absl::Hours(24 * 7);
  /// Once-only records and tombstones together. A tombstone takes 16 bytes, so
  /// the default needs about 64 MB of the 256 MB a node may use.
  std::uint64_t m_maxOnceOnlyKeys = 4'000'000;
  /// Total size of the stored answer bodies, in bytes.
  std::uint64_t m_maxStoredAnswerBytes = 32 << 20;

  friend bool operator==(const ControlLimits &,
                         const ControlLimits &) = default;
};

struct SetLimits {
  ControlLimits m_limits;

  friend bool operator==(const SetLimits &, const SetLimits &) = default;
};

/// Replaces the routing document if `m_version` is above the current version.
struct SetRouting {
  /// Assigned by the operator; above 0.
  std::uint64_t m_version = 0;
  /// The document as the operator sent it. It was validated before submission;
  /// the state does not parse it.
  std::string m_document;

  friend bool operator==(const SetRouting &, const SetRouting &) = default;
};

/// Starts or ends the evacuation of a failure domain: while it is in force,
/// nothing more is sent to the servers there.
struct SetEvacuation {
  FailureDomainId m_failureDomain;
  bool m_evacuated = false;

  friend bool operator==(const SetEvacuation &,
                         const SetEvacuation &) = default;
};

/// A command of a newer version, which this version ignores.
struct UnknownCommand {
  std::string m_kind;

  friend bool operator==(const UnknownCommand &,
                         const UnknownCommand &) = default;
};

using Command =
    std::variant<UnknownCommand, ApplyDeclaration, SetDrained, SetAssignment,
                 RemoveAssignment, AcceptBuild, ReleaseHost,
                 ReserveFencingTokens, BeginOnceOnly, FinishOnceOnly, NodeLost,
                 MarkSuspects, ClearSuspect, BeginSuspectRun, EndSuspectRun,
                 Tick, SetLimits, SetRouting, SetEvacuation>;

/// Converts an assignment change to a command.
Command toCommand(AssignmentChange Change);

/// Encodes a command as CBOR.
std::string encodeCommand(const Command &Value);

/// Decodes a command from CBOR. Unknown fields are ignored, and an unknown kind
/// gives `UnknownCommand`. Wrong types, missing identifiers, nesting deeper
/// than 16 levels and sizes above the limits are errors.
Result<Command, ControlError> decodeCommand(std::string_view Bytes);

} // namespace turmericdyke
