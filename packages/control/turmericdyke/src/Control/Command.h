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

/// Largest encoded command. The largest part of one is a declaration.
constexpr std::size_t MaxCommandBytes = 8 << 20;
/// Largest answer body that a once-only record stores. A caller with a larger
/// body sets `m_bodyOmitted` instead.
constexpr std::size_t MaxStoredAnswerBytes = 64 << 10;

/// Submits a declaration that was checked against revision `m_baseRevision`.
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

/// Whether new replicas may use a target or host. Exactly one of the two
/// identifiers is set.
struct SetDrained {
  std::string m_changeId;
  TargetId m_target;
  HostId m_host;
  bool m_drained = false;

  friend bool operator==(const SetDrained &, const SetDrained &) = default;
};

/// Gives a block of fencing numbers to a leader.
struct AdvanceFence {
  NodeId m_node;
  std::uint64_t m_count = 0;

  friend bool operator==(const AdvanceFence &, const AdvanceFence &) = default;
};

/// Permits one node to make a once-only call.
struct BeginOnceOnly {
  CustomerId m_customer;
  std::string m_key;
  std::string m_requestDigest;
  NodeId m_node;
  std::uint64_t m_nodeIncarnation = 0;
  AttemptId m_attempt;
  /// Wall-clock time at the node, for operators only. Expiry uses log time.
  absl::Time m_time = absl::UnixEpoch();

  friend bool operator==(const BeginOnceOnly &,
                         const BeginOnceOnly &) = default;
};

enum class OnceOnlyOutcome { InProgress, Ran, NotRun, MayHaveRun };

/// Records how a once-only call ended. The node and incarnation of the record
/// may finish it; any node may with the result of a status query.
struct FinishOnceOnly {
  CustomerId m_customer;
  std::string m_key;
  NodeId m_node;
  std::uint64_t m_nodeIncarnation = 0;
  AttemptId m_attempt;
  bool m_fromStatusQuery = false;
  /// Not `InProgress`.
  OnceOnlyOutcome m_outcome = OnceOnlyOutcome::MayHaveRun;
  /// HTTP status, 0 when there was no answer.
  std::int64_t m_answerStatus = 0;
  std::string m_answerBody;
  bool m_bodyOmitted = false;

  friend bool operator==(const FinishOnceOnly &,
                         const FinishOnceOnly &) = default;
};

/// The command by which the owner of a call states how it ended.
FinishOnceOnly finishOf(const BeginOnceOnly &Begun, OnceOnlyOutcome Outcome);

/// Declares a node process dead. Its open once-only records become
/// `MayHaveRun`, and it may begin no others.
struct NodeLost {
  NodeId m_node;
  std::uint64_t m_incarnation = 0;

  friend bool operator==(const NodeLost &, const NodeLost &) = default;
};

/// A request as the quarantine identifies it.
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

/// Marks the requests that ran at a target when it died. The crash identifier
/// names the target and incarnation, so that one crash counts once.
struct MarkSuspects {
  std::string m_crashId;
  std::vector<RequestIdentity> m_requests;

  friend bool operator==(const MarkSuspects &, const MarkSuspects &) = default;
};

/// Removes the mark of a request that finished.
struct ClearSuspect {
  RequestIdentity m_request;

  friend bool operator==(const ClearSuspect &, const ClearSuspect &) = default;
};

/// Asks for the one permission to run a suspect request. While it is held, the
/// customer's pool keeps a replica free of other work. It ends with
/// `EndSuspectRun`, when the request is marked again, when the node is lost, or
/// after 10 minutes of log time.
struct BeginSuspectRun {
  RequestIdentity m_request;
  NodeId m_node;
  std::uint64_t m_nodeIncarnation = 0;

  friend bool operator==(const BeginSuspectRun &,
                         const BeginSuspectRun &) = default;
};

/// Gives the permission back.
struct EndSuspectRun {
  RequestIdentity m_request;
  NodeId m_node;
  std::uint64_t m_nodeIncarnation = 0;

  friend bool operator==(const EndSuspectRun &,
                         const EndSuspectRun &) = default;
};

/// Advances log time. An earlier time than the newest is ignored.
struct Tick {
  absl::Time m_logTime = absl::UnixEpoch();

  friend bool operator==(const Tick &, const Tick &) = default;
};

/// Bounds that every node must apply alike, and that therefore travel through
/// the log instead of being read from each node's settings.
struct ControlLimits {
  absl::Duration m_onceOnlyRetention = absl::Hours(24 * 7);
  /// Once-only records and tombstones together. A tombstone takes 16 bytes, so
  /// the default needs about 64 MB of the 256 MB a node may use.
  std::uint64_t m_maxOnceOnlyKeys = 4'000'000;
  /// Sum of the stored answer bodies, bytes.
  std::uint64_t m_maxStoredAnswerBytes = 32 << 20;

  friend bool operator==(const ControlLimits &,
                         const ControlLimits &) = default;
};

struct SetLimits {
  ControlLimits m_limits;

  friend bool operator==(const SetLimits &, const SetLimits &) = default;
};

/// A command of a newer version, which this version ignores.
/// Puts a routing document in force if its version is above the present one.
struct SetRouting {
  /// Chosen by the operator; above 0.
  std::uint64_t m_version = 0;
  /// As the operator sent it. The state does not look inside; it was checked
  /// before it was submitted.
  std::string m_document;

  friend bool operator==(const SetRouting &, const SetRouting &) = default;
};

struct UnknownCommand {
  std::string m_kind;

  friend bool operator==(const UnknownCommand &,
                         const UnknownCommand &) = default;
};

using Command =
    std::variant<UnknownCommand, ApplyDeclaration, SetDrained, SetAssignment,
                 RemoveAssignment, AcceptBuild, ReleaseHost, AdvanceFence,
                 BeginOnceOnly, FinishOnceOnly, NodeLost, MarkSuspects,
                 ClearSuspect, BeginSuspectRun, EndSuspectRun, Tick, SetLimits,
                 SetRouting>;

/// Command of an assignment change.
Command toCommand(AssignmentChange Change);

/// CBOR of a command.
std::string encodeCommand(const Command &Value);

/// Reads CBOR. Unknown fields are ignored and an unknown kind gives
/// `UnknownCommand`; wrong types, missing identifiers, nesting deeper than 16
/// and sizes above the limits are errors.
Result<Command, ControlError> decodeCommand(std::string_view Bytes);

} // namespace turmericdyke
