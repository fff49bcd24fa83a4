#include "turmericdyke/src/Control/ControlState.h"

#include <cassert>

#include <nlohmann/json.hpp>

namespace turmericdyke {

namespace internal {
namespace {

constexpr int SnapshotFormat = 1;

} // namespace
} // namespace internal

ControlState::ControlState(DeclarationParser Parser) : m_changes(Parser) {
  assert(Parser != nullptr && "the declaration parser must not be null");
}

CommandResult ControlState::apply(std::uint64_t Index, const Command &Value) {
  if (Index <= m_appliedIndex)
    return CommandIgnored{};
  m_appliedIndex = Index;
  return dispatch(Value);
}

CommandResult ControlState::dispatch(const Command &Value) {
  return std::visit([this](const auto &Inner) { return applyTo(Inner); },
                    Value);
}

std::vector<CommandResult>
ControlState::applyEncodedBatch(std::uint64_t Index,
                                const std::vector<std::string_view> &Batch) {
  std::vector<CommandResult> Results(Batch.size(), CommandIgnored{});
  if (Index <= m_appliedIndex)
    return Results;
  m_appliedIndex = Index;
  for (std::size_t At = 0; At < Batch.size(); ++At) {
    Result<Command, ControlError> Decoded = decodeCommand(Batch[At]);
    Results[At] =
        dispatch(Decoded ? Decoded.value() : Command(UnknownCommand{}));
  }
  return Results;
}

CommandResult ControlState::applyEncoded(std::uint64_t Index,
                                         std::string_view Bytes) {
  Result<Command, ControlError> Decoded = decodeCommand(Bytes);
  return apply(Index, Decoded ? Decoded.value() : Command(UnknownCommand{}));
}

CommandResult ControlState::applyTo(const UnknownCommand &) {
  ++m_ignoredCommands;
  return CommandIgnored{};
}

CommandResult ControlState::applyTo(const ApplyDeclaration &Value) {
  return m_changes.apply(Value);
}

CommandResult ControlState::applyTo(const SetDrained &Value) {
  return m_changes.apply(Value);
}

CommandResult ControlState::applyTo(const SetAssignment &Value) {
  return m_assignments.apply(Value);
}

CommandResult ControlState::applyTo(const RemoveAssignment &Value) {
  return m_assignments.apply(Value);
}

CommandResult ControlState::applyTo(const AcceptBuild &Value) {
  return m_assignments.apply(Value);
}

CommandResult ControlState::applyTo(const ReleaseHost &Value) {
  return m_assignments.apply(Value);
}

CommandResult ControlState::applyTo(const ReserveFencingTokens &Value) {
  FencingTokensGranted Granted{m_nextFencingToken, Value.m_count};
  m_nextFencingToken += Value.m_count;
  return Granted;
}

CommandResult ControlState::applyTo(const BeginOnceOnly &Value) {
  return m_onceOnly.begin(Value, m_logTime, m_limits);
}

CommandResult ControlState::applyTo(const FinishOnceOnly &Value) {
  return m_onceOnly.finish(Value, m_limits);
}

CommandResult ControlState::applyTo(const NodeLost &Value) {
  m_onceOnly.nodeLost(Value);
  m_suspects.nodeLost(Value);
  return CommandApplied{};
}

CommandResult ControlState::applyTo(const MarkSuspects &Value) {
  m_suspects.apply(Value, m_logTime);
  return CommandApplied{};
}

CommandResult ControlState::applyTo(const ClearSuspect &Value) {
  m_suspects.apply(Value);
  return CommandApplied{};
}

CommandResult ControlState::applyTo(const BeginSuspectRun &Value) {
  if (m_suspects.stateOf(Value.m_request) == SuspectState::Refused)
    return CommandRefused{CommandRefusalReason::RequestRefused,
                          "the request crashed two targets"};
  if (!m_suspects.apply(Value))
    return CommandRefused{CommandRefusalReason::SuspectRunActive,
                          "another suspect request runs"};
  return CommandApplied{};
}

CommandResult ControlState::applyTo(const EndSuspectRun &Value) {
  m_suspects.apply(Value);
  return CommandApplied{};
}

CommandResult ControlState::applyTo(const Tick &Value) {
  // Snapshots store microseconds; a finer resolution would be lost on restore.
  absl::Time Time = absl::FromUnixMicros(absl::ToUnixMicros(Value.m_logTime));
  if (Time <= m_logTime)
    return CommandApplied{};
  m_logTime = Time;
  m_onceOnly.expire(m_logTime, m_limits);
  m_suspects.expire(m_logTime);
  return CommandApplied{};
}

CommandResult ControlState::applyTo(const SetLimits &Value) {
  m_limits = Value.m_limits;
  return CommandApplied{};
}

CommandResult ControlState::applyTo(const SetRouting &Value) {
  bool Replaces = Value.m_version > m_routing.m_version;
  if (Replaces)
    m_routing = Value;
  return SetRoutingResult{m_routing.m_version, Replaces};
}

CommandResult ControlState::applyTo(const SetEvacuation &Value) {
  m_evacuations.apply(Value, m_appliedIndex);
  return CommandApplied{};
}

std::string ControlState::snapshot() const {
  nlohmann::json Object = {
      {"format", internal::SnapshotFormat},
      {"applied_index", m_appliedIndex},
      {"log_time_us", absl::ToUnixMicros(m_logTime)},
      {"once_only_retention_us",
       absl::ToInt64Microseconds(m_limits.m_onceOnlyRetention)},
      {"max_once_only_keys", m_limits.m_maxOnceOnlyKeys},
      {"max_stored_answer_bytes", m_limits.m_maxStoredAnswerBytes},
      {"next_fence", m_nextFencingToken},
      {"changes", m_changes.toJson()},
      {"assignments", m_assignments.toJson()},
      {"once_only", m_onceOnly.toJson()},
      {"suspects", m_suspects.toJson()},
      {"evacuations", m_evacuations.toJson()},
      {"routing_version", m_routing.m_version},
      {"routing_document",
       nlohmann::json::binary(
           {m_routing.m_document.begin(), m_routing.m_document.end()})}};
  std::string Bytes;
  nlohmann::json::to_cbor(Object, Bytes);
  return Bytes;
}

Result<ControlState, ControlError>
ControlState::restore(std::string_view Bytes, DeclarationParser Parser) {
  ControlState State(Parser);
  try {
    nlohmann::json Object =
        nlohmann::json::from_cbor(Bytes.begin(), Bytes.end());
    if (Object.at("format") != internal::SnapshotFormat)
      return failure(ControlError{"/format", "is not known to this version"});
    State.m_appliedIndex = Object.at("applied_index");
    State.m_logTime = absl::FromUnixMicros(Object.at("log_time_us"));
    State.m_limits.m_onceOnlyRetention = absl::Microseconds(
        Object.at("once_only_retention_us").get<std::int64_t>());
    State.m_limits.m_maxOnceOnlyKeys = Object.at("max_once_only_keys");
    State.m_limits.m_maxStoredAnswerBytes =
        Object.at("max_stored_answer_bytes");
    State.m_nextFencingToken = Object.at("next_fence");
    // Absent in snapshots of versions without routing documents.
    if (Object.contains("routing_version")) {
      State.m_routing.m_version = Object.at("routing_version");
      const auto &Document = Object.at("routing_document").get_binary();
      State.m_routing.m_document.assign(Document.begin(), Document.end());
    }
    // Absent in snapshots of versions without evacuations.
    if (Object.contains("evacuations"))
      State.m_evacuations.readJson(Object.at("evacuations"));
    State.m_suspects.readJson(Object.at("suspects"));
    if (!State.m_changes.readJson(Object.at("changes")))
      return failure(ControlError{"/changes", "holds a wrong declaration"});
    if (!State.m_assignments.readJson(Object.at("assignments")))
      return failure(ControlError{"/assignments", "holds a wrong assignment"});
    if (!State.m_onceOnly.readJson(Object.at("once_only")))
      return failure(ControlError{"/once_only", "holds a wrong record"});
  } catch (const nlohmann::json::exception &Error) {
    return failure(ControlError{"", Error.what()});
  }
  return State;
}

void ControlState::setTestHooks(const internal::ControlTestHooks &Hooks) {
  if (Hooks.m_skipBaseCheck)
    m_changes.skipBaseCheck();
  if (Hooks.m_skipOutcomes)
    m_changes.skipOutcomes();
  if (Hooks.m_skipHostCheck)
    m_assignments.skipHostCheck();
  if (Hooks.m_skipOnceOnlyRecords)
    m_onceOnly.skipRecordCheck();
  if (Hooks.m_skipTombstones)
    m_onceOnly.skipTombstoneCheck();
}

} // namespace turmericdyke
