#include "turmericdyke/src/Control/Command.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "turmericdyke/src/Fleet/JsonReader.h"

namespace turmericdyke {

namespace internal {

constexpr std::string_view OutcomeNames[] = {"in_progress", "ran", "not_run",
                                             "may_have_run"};
// No valid command is nested deeper. The limit protects the stack of the
// recursive CBOR parser.
constexpr int MaxNesting = 16;
constexpr std::size_t MaxKeyBytes = 256;
constexpr std::size_t MaxDigestBytes = 64;
constexpr std::size_t MaxSuspects = 4096;
constexpr std::uint64_t MaxFencingTokenBlock = 1 << 20;

/// Discards the parsed values and fails on excessive nesting.
class NestingCheck : public nlohmann::json_sax<nlohmann::json> {
public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t &) override { return true; }
  bool string(string_t &) override { return true; }
  bool binary(binary_t &) override { return true; }
  bool start_object(std::size_t) override { return ++m_depth <= MaxNesting; }
  bool key(string_t &) override { return true; }
  bool end_object() override { return m_depth-- > 0; }
  bool start_array(std::size_t) override { return ++m_depth <= MaxNesting; }
  bool end_array() override { return m_depth-- > 0; }
  bool parse_error(std::size_t, const std::string &,
                   const nlohmann::json::exception &) override {
    return false;
  }

private:
  int m_depth = 0;
};

nlohmann::json bytesJson(std::string_view Bytes) {
  return nlohmann::json::binary({Bytes.begin(), Bytes.end()});
}

std::int64_t micros(absl::Time Time) { return absl::ToUnixMicros(Time); }

nlohmann::json body(const UnknownCommand &) { return nlohmann::json::object(); }

nlohmann::json body(const ApplyDeclaration &Value) {
  return {{"change_id", Value.m_changeId},
          {"base_revision", Value.m_baseRevision},
          {"author", Value.m_author},
          {"declaration", bytesJson(Value.m_declaration)},
          {"time_us", micros(Value.m_time)}};
}

nlohmann::json body(const SetDrained &Value) {
  return {{"change_id", Value.m_changeId},
          {"target", Value.m_target.str()},
          {"host", Value.m_host.str()},
          {"drained", Value.m_drained}};
}

nlohmann::json body(const SetAssignment &Value) {
  return {{"assignment", toJson(Value.m_assignment)},
          {"expected_generation", Value.m_expectedGeneration}};
}

nlohmann::json body(const RemoveAssignment &Value) {
  return {{"replica", Value.m_replica.str()},
          {"expected_generation", Value.m_expectedGeneration}};
}

nlohmann::json body(const AcceptBuild &Value) {
  return {{"replica", Value.m_replica.str()},
          {"expected_generation", Value.m_expectedGeneration},
          {"build", Value.m_build}};
}

nlohmann::json body(const ReleaseHost &Value) {
  return {{"host", Value.m_host.str()},
          {"replica", Value.m_replica.str()},
          {"generation", Value.m_generation}};
}

nlohmann::json body(const ReserveFencingTokens &Value) {
  return {{"node", Value.m_node.str()}, {"count", Value.m_count}};
}

nlohmann::json body(const BeginOnceOnly &Value) {
  return {{"customer", Value.m_customer.str()},
          {"key", bytesJson(Value.m_key)},
          {"digest", bytesJson(Value.m_requestDigest)},
          {"node", Value.m_node.str()},
          {"incarnation", Value.m_nodeIncarnation},
          {"attempt", Value.m_attempt.str()},
          {"time_us", micros(Value.m_time)}};
}

nlohmann::json body(const FinishOnceOnly &Value) {
  return {{"customer", Value.m_customer.str()},
          {"key", bytesJson(Value.m_key)},
          {"node", Value.m_node.str()},
          {"incarnation", Value.m_nodeIncarnation},
          {"attempt", Value.m_attempt.str()},
          {"status_query", Value.m_fromStatusQuery},
          {"outcome", OutcomeNames[static_cast<std::size_t>(Value.m_outcome)]},
          {"answer_status", Value.m_answerStatus},
          {"answer_body", bytesJson(Value.m_answerBody)},
          {"body_omitted", Value.m_bodyOmitted}};
}

nlohmann::json body(const NodeLost &Value) {
  return {{"node", Value.m_node.str()}, {"incarnation", Value.m_incarnation}};
}

nlohmann::json body(const RequestIdentity &Value) {
  return {{"customer", Value.m_customer.str()},
          {"digest", bytesJson(Value.m_digest)}};
}

nlohmann::json body(const MarkSuspects &Value) {
  nlohmann::json Requests = nlohmann::json::array();
  for (const RequestIdentity &Request : Value.m_requests)
    Requests.push_back(body(Request));
  return {{"crash_id", Value.m_crashId}, {"requests", std::move(Requests)}};
}

nlohmann::json body(const ClearSuspect &Value) { return body(Value.m_request); }

template <class SuspectRun> nlohmann::json runBody(const SuspectRun &Value) {
  nlohmann::json Object = body(Value.m_request);
  Object["node"] = Value.m_node.str();
  Object["incarnation"] = Value.m_nodeIncarnation;
  return Object;
}

nlohmann::json body(const BeginSuspectRun &Value) { return runBody(Value); }

nlohmann::json body(const EndSuspectRun &Value) { return runBody(Value); }

nlohmann::json body(const Tick &Value) {
  return {{"log_time_us", micros(Value.m_logTime)}};
}

nlohmann::json body(const SetLimits &Value) {
  return {{"once_only_retention_us",
           absl::ToInt64Microseconds(Value.m_limits.m_onceOnlyRetention)},
          {"max_once_only_keys", Value.m_limits.m_maxOnceOnlyKeys},
          {"max_stored_answer_bytes", Value.m_limits.m_maxStoredAnswerBytes}};
}

nlohmann::json body(const SetRouting &Value) {
  return {{"version", Value.m_version},
          {"document", bytesJson(Value.m_document)}};
}

nlohmann::json body(const SetEvacuation &Value) {
  return {{"failure_domain", Value.m_failureDomain.str()},
          {"evacuated", Value.m_evacuated}};
}

void readBytes(JsonReader &Reader, const nlohmann::json &Object,
               const char *Field, std::string &Value, std::size_t MaxBytes) {
  auto Found = Object.is_object() ? Object.find(Field) : Object.end();
  if (Found == Object.end())
    return;
  if (!Found->is_binary())
    return Reader.fail(Field, "is not a byte string");
  const nlohmann::json::binary_t &Bytes = Found->get_binary();
  if (Bytes.size() > MaxBytes)
    return Reader.fail(Field, fmt::format("is longer than {} bytes", MaxBytes));
  Value.assign(Bytes.begin(), Bytes.end());
}

void readRequiredBytes(JsonReader &Reader, const nlohmann::json &Object,
                       const char *Field, std::string &Value,
                       std::size_t MaxBytes) {
  readBytes(Reader, Object, Field, Value, MaxBytes);
  if (Value.empty())
    Reader.fail(Field, "is missing");
}

void readTime(JsonReader &Reader, const char *Field, absl::Time &Value) {
  std::int64_t Micros = micros(Value);
  Reader.number(Field, Micros);
  Value = absl::FromUnixMicros(Micros);
}

void read(JsonReader &Reader, const nlohmann::json &Object,
          ApplyDeclaration &Value) {
  Reader.text("change_id", Value.m_changeId, true)
      .number("base_revision", Value.m_baseRevision)
      .text("author", Value.m_author);
  readRequiredBytes(Reader, Object, "declaration", Value.m_declaration,
                    MaxCommandBytes);
  readTime(Reader, "time_us", Value.m_time);
}

void read(JsonReader &Reader, const nlohmann::json &, SetDrained &Value) {
  Reader.text("change_id", Value.m_changeId, true)
      .id("target", Value.m_target)
      .id("host", Value.m_host)
      .flag("drained", Value.m_drained);
}

void read(JsonReader &Reader, const nlohmann::json &, SetAssignment &Value) {
  Reader.number("expected_generation", Value.m_expectedGeneration);
  const nlohmann::json *Inner = Reader.object("assignment");
  if (Inner == nullptr)
    return Reader.fail("assignment", "is missing");
  Result<Assignment, FleetError> Parsed = parseAssignment(*Inner);
  if (Parsed)
    Value.m_assignment = std::move(Parsed.value());
  else
    Reader.fail("assignment", Parsed.error());
}

void read(JsonReader &Reader, const nlohmann::json &, RemoveAssignment &Value) {
  Reader.id("replica", Value.m_replica, true)
      .number("expected_generation", Value.m_expectedGeneration);
}

void read(JsonReader &Reader, const nlohmann::json &, AcceptBuild &Value) {
  Reader.id("replica", Value.m_replica, true)
      .number("expected_generation", Value.m_expectedGeneration)
      .text("build", Value.m_build, true);
}

void read(JsonReader &Reader, const nlohmann::json &, ReleaseHost &Value) {
  Reader.id("host", Value.m_host, true)
      .id("replica", Value.m_replica, true)
      .number("generation", Value.m_generation);
}

void read(JsonReader &Reader, const nlohmann::json &,
          ReserveFencingTokens &Value) {
  Reader.id("node", Value.m_node, true).number("count", Value.m_count);
  if (Value.m_count == 0 || Value.m_count > MaxFencingTokenBlock)
    Reader.fail("count",
                fmt::format("is not in 1 to {}", MaxFencingTokenBlock));
}

void read(JsonReader &Reader, const nlohmann::json &Object,
          BeginOnceOnly &Value) {
  Reader.id("customer", Value.m_customer, true)
      .id("node", Value.m_node, true)
      .number("incarnation", Value.m_nodeIncarnation)
      .id("attempt", Value.m_attempt, true);
  readRequiredBytes(Reader, Object, "key", Value.m_key, MaxKeyBytes);
  readRequiredBytes(Reader, Object, "digest", Value.m_requestDigest,
                    MaxDigestBytes);
  readTime(Reader, "time_us", Value.m_time);
}

void read(JsonReader &Reader, const nlohmann::json &Object,
          FinishOnceOnly &Value) {
  Reader.id("customer", Value.m_customer, true)
      .id("node", Value.m_node, true)
      .number("incarnation", Value.m_nodeIncarnation)
      .id("attempt", Value.m_attempt)
      .flag("status_query", Value.m_fromStatusQuery)
      .choice("outcome", Value.m_outcome, OutcomeNames)
      .number("answer_status", Value.m_answerStatus)
      .flag("body_omitted", Value.m_bodyOmitted);
  readRequiredBytes(Reader, Object, "key", Value.m_key, MaxKeyBytes);
  readBytes(Reader, Object, "answer_body", Value.m_answerBody,
            MaxStoredAnswerBytes);
  if (Value.m_outcome == OnceOnlyOutcome::InProgress)
    Reader.fail("outcome", "is not final");
}

void read(JsonReader &Reader, const nlohmann::json &, NodeLost &Value) {
  Reader.id("node", Value.m_node, true)
      .number("incarnation", Value.m_incarnation);
}

void read(JsonReader &Reader, const nlohmann::json &Object,
          RequestIdentity &Value) {
  Reader.id("customer", Value.m_customer, true);
  readRequiredBytes(Reader, Object, "digest", Value.m_digest, MaxDigestBytes);
}

void read(JsonReader &Reader, const nlohmann::json &Object,
          MarkSuspects &Value) {
  Reader.text("crash_id", Value.m_crashId, true);
  auto Requests = Object.find("requests");
  if (Requests == Object.end())
    return;
  if (!Requests->is_array() || Requests->size() > MaxSuspects)
    return Reader.fail("requests",
                       fmt::format("is not a list of at most {}", MaxSuspects));
  for (const nlohmann::json &Request : *Requests) {
    JsonReader Inner(Request);
    read(Inner, Request, Value.m_requests.emplace_back());
    if (Inner.error())
      return Reader.fail("requests", *Inner.error());
  }
}

void read(JsonReader &Reader, const nlohmann::json &Object,
          ClearSuspect &Value) {
  read(Reader, Object, Value.m_request);
}

template <class SuspectRun>
void readRun(JsonReader &Reader, const nlohmann::json &Object,
             SuspectRun &Value) {
  read(Reader, Object, Value.m_request);
  Reader.id("node", Value.m_node, true)
      .number("incarnation", Value.m_nodeIncarnation);
}

void read(JsonReader &Reader, const nlohmann::json &Object,
          BeginSuspectRun &Value) {
  readRun(Reader, Object, Value);
}

void read(JsonReader &Reader, const nlohmann::json &Object,
          EndSuspectRun &Value) {
  readRun(Reader, Object, Value);
}

void read(JsonReader &Reader, const nlohmann::json &, Tick &Value) {
  readTime(Reader, "log_time_us", Value.m_logTime);
}

void read(JsonReader &Reader, const nlohmann::json &, SetLimits &Value) {
  std::int64_t Retention =
      absl::ToInt64Microseconds(Value.m_limits.m_onceOnlyRetention);
  Reader.number("once_only_retention_us", Retention)
      .number("max_once_only_keys", Value.m_limits.m_maxOnceOnlyKeys)
      .number("max_stored_answer_bytes", Value.m_limits.m_maxStoredAnswerBytes);
  if (Retention <= 0)
    Reader.fail("once_only_retention_us", "is not above 0");
  Value.m_limits.m_onceOnlyRetention = absl::Microseconds(Retention);
}

void read(JsonReader &Reader, const nlohmann::json &Object, SetRouting &Value) {
  Reader.number("version", Value.m_version);
  readRequiredBytes(Reader, Object, "document", Value.m_document,
                    MaxCommandBytes);
  if (Value.m_version == 0)
    Reader.fail("version", "is not above 0");
}

void read(JsonReader &Reader, const nlohmann::json &, SetEvacuation &Value) {
  Reader.id("failure_domain", Value.m_failureDomain, true)
      .flag("evacuated", Value.m_evacuated);
}

template <class T>
Result<Command, ControlError> readCommand(const nlohmann::json &Object) {
  T Value;
  JsonReader Reader(Object);
  read(Reader, Object, Value);
  if (Reader.error())
    return failure(
        ControlError{Reader.error()->m_field, Reader.error()->m_message});
  return Command(std::move(Value));
}

struct CommandKind {
  std::string_view m_name;
  Result<Command, ControlError> (*m_read)(const nlohmann::json &);
};

/// In the order of the alternatives of `Command`, without `UnknownCommand`.
constexpr CommandKind CommandKinds[] = {
    {"apply_declaration", readCommand<ApplyDeclaration>},
    {"set_drained", readCommand<SetDrained>},
    {"set_assignment", readCommand<SetAssignment>},
    {"remove_assignment", readCommand<RemoveAssignment>},
    {"accept_build", readCommand<AcceptBuild>},
    {"release_host", readCommand<ReleaseHost>},
    {"advance_fence", readCommand<ReserveFencingTokens>},
    {"begin_once_only", readCommand<BeginOnceOnly>},
    {"finish_once_only", readCommand<FinishOnceOnly>},
    {"node_lost", readCommand<NodeLost>},
    {"mark_suspects", readCommand<MarkSuspects>},
    {"clear_suspect", readCommand<ClearSuspect>},
    {"begin_suspect_run", readCommand<BeginSuspectRun>},
    {"end_suspect_run", readCommand<EndSuspectRun>},
    {"tick", readCommand<Tick>},
    {"set_limits", readCommand<SetLimits>},
    {"set_routing", readCommand<SetRouting>},
    {"set_evacuation", readCommand<SetEvacuation>},
};
static_assert(std::size(CommandKinds) + 1 == std::variant_size_v<Command>);

} // namespace internal

FinishOnceOnly makeFinishOnceOnly(const BeginOnceOnly &Begun,
                                  OnceOnlyOutcome Outcome) {
  FinishOnceOnly Finish;
  Finish.m_customer = Begun.m_customer;
  Finish.m_key = Begun.m_key;
  Finish.m_node = Begun.m_node;
  Finish.m_nodeIncarnation = Begun.m_nodeIncarnation;
  Finish.m_attempt = Begun.m_attempt;
  Finish.m_outcome = Outcome;
  return Finish;
}

Command toCommand(AssignmentChange Change) {
  return std::visit(
      [](auto &&Value) {
        return Command(std::forward<decltype(Value)>(Value));
      },
      std::move(Change));
}

std::string encodeCommand(const Command &Value) {
  nlohmann::json Object = std::visit(
      [](const auto &Inner) { return internal::body(Inner); }, Value);
  const auto *Unknown = std::get_if<UnknownCommand>(&Value);
  Object["kind"] = Unknown != nullptr
                       ? Unknown->m_kind
                       : internal::CommandKinds[Value.index() - 1].m_name;
  std::string Bytes;
  nlohmann::json::to_cbor(Object, Bytes);
  return Bytes;
}

Result<Command, ControlError> decodeCommand(std::string_view Bytes) {
  if (Bytes.size() > MaxCommandBytes)
    return failure(ControlError{"", "is larger than 8 MiB"});
  internal::NestingCheck Check;
  if (!nlohmann::json::sax_parse(Bytes.begin(), Bytes.end(), &Check,
                                 nlohmann::json::input_format_t::cbor))
    return failure(ControlError{"", "is not CBOR or is nested too deeply"});
  nlohmann::json Object =
      nlohmann::json::from_cbor(Bytes.begin(), Bytes.end(), true, false);
  std::string Kind;
  internal::JsonReader Reader(Object);
  Reader.text("kind", Kind, true);
  if (Reader.error())
    return failure(
        ControlError{Reader.error()->m_field, Reader.error()->m_message});
  for (const internal::CommandKind &Known : internal::CommandKinds)
    if (Known.m_name == Kind)
      return Known.m_read(Object);
  return Command(UnknownCommand{std::move(Kind)});
}

} // namespace turmericdyke
