#include "turmericdyke/src/Ctl/CommandRunner.h"

#include <cassert>
#include <fstream>
#include <iostream>
#include <optional>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

#include "absl/strings/ascii.h"
#include "absl/time/clock.h"
#include "turmericdyke/src/Base/Bytes.h"
#include "turmericdyke/src/Base/KeyHash.h"
#include "turmericdyke/src/Ctl/TextTable.h"
#include "turmericdyke/src/Declaration/DeclarationDiff.h"
#include "turmericdyke/src/Declaration/DeclarationError.h"
#include "turmericdyke/src/Declaration/DeclarationParser.h"
#include "turmericdyke/src/Declaration/Limits.h"

namespace turmericdyke {

namespace internal {
namespace {

using Json = nlohmann::json;

constexpr std::size_t ChangeIdBytes = 16;
constexpr std::size_t SaltBytes = 16;
// A key of 16 characters of base64 has 96 bits; shorter keys could be guessed
// from their hash.
constexpr std::size_t MinKeyBytes = 16;
constexpr std::size_t MaxKeyBytes = 4096;

/// A list in the status answer and the columns to show.
struct StatusSection {
  std::string_view m_name;
  std::vector<std::string_view> m_fields;
};

const std::vector<StatusSection> &statusSections() {
  static const std::vector<StatusSection> Sections = {
      {"nodes", {"node", "state", "revision", "lease_valid", "voter"}},
      {"targets",
       {"target", "host", "kind", "state", "fabric_domain", "failure_domain",
        "replica", "age_ms", "drained"}},
      {"replicas",
       {"replica", "pool", "generation", "phase", "serving", "members"}},
      {"customers",
       {"customer", "pool", "capacity", "running", "queued",
        "replicas_serving"}}};
  return Sections;
}

/// The list under `Field`, or an empty list.
Json listField(const Json &Object, std::string_view Field) {
  auto Found = Object.find(std::string(Field));
  return Found != Object.end() && Found->is_array() ? *Found : Json::array();
}

/// Reads a file up to one byte above the size limit, so that the size check can
/// reject it.
std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return std::nullopt;
  std::string Text(MaxDeclarationBytes + 1, '\0');
  File.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  if (File.bad())
    return std::nullopt;
  Text.resize(static_cast<std::size_t>(File.gcount()));
  return Text;
}

std::string trimmed(std::string_view Text) {
  absl::string_view Inner =
      absl::StripAsciiWhitespace(absl::string_view(Text.data(), Text.size()));
  return {Inner.data(), Inner.size()};
}

/// Whether the node must reach a revision. A node that is dead or has left acts
/// on no revision, as its read lease has expired.
bool isLive(const Json &Node) {
  std::string State = textField(Node, "state");
  return State != "dead" && State != "left";
}

/// The reason that a coordinator states in an error answer, for the end of a
/// message; empty if it states none.
std::string statedReason(const Json &Body) {
  std::string Reason = textField(Body, "error");
  return Reason.empty() ? Reason : " (" + cellText(Reason) + ")";
}

/// Splits the nodes of a status answer by whether they have reached `Revision`.
struct NodeProgress {
  std::vector<std::string> m_behind;
  std::vector<std::string> m_down;
  std::size_t m_reached = 0;
};

NodeProgress nodeProgress(const Json &Status, std::int64_t Revision) {
  NodeProgress Progress;
  for (const Json &Node : listField(Status, "nodes")) {
    std::string Name = textField(Node, "node");
    if (!isLive(Node))
      Progress.m_down.push_back(Name);
    else if (numberField(Node, "revision") >= Revision)
      ++Progress.m_reached;
    else
      Progress.m_behind.push_back(
          fmt::format("{} (revision {})", Name, numberField(Node, "revision")));
  }
  return Progress;
}

Json errorJson(const DeclarationError &Error) {
  return {{"result", "invalid"},
          {"error",
           {{"file", Error.m_file},
            {"line", Error.m_line},
            {"field", Error.m_field},
            {"found", Error.m_found},
            {"allowed", Error.m_allowed}}}};
}

} // namespace
} // namespace internal

using internal::Json;

struct CommandRunner::Command {
  std::string_view m_name;
  std::size_t m_minArguments;
  std::size_t m_maxArguments;
  bool m_usesNodes;
  ExitCode (CommandRunner::*m_run)(Arguments);
};

constexpr std::size_t UnlimitedArguments = 1000;

const CommandRunner::Command CommandRunner::Commands[] = {
    {"apply", 1, UnlimitedArguments, true, &CommandRunner::apply},
    {"check", 1, UnlimitedArguments, false, &CommandRunner::check},
    {"diff", 1, UnlimitedArguments, true, &CommandRunner::diff},
    {"drain", 1, 1, true, &CommandRunner::drain},
    {"evacuation", 1, 2, true, &CommandRunner::evacuation},
    {"get", 0, 0, true, &CommandRunner::get},
    {"hash_key", 0, 0, false, &CommandRunner::hashKey},
    {"history", 0, 0, true, &CommandRunner::history},
    {"status", 0, 1, true, &CommandRunner::status},
    {"undrain", 1, 1, true, &CommandRunner::undrain},
    {"wait", 0, 0, true, &CommandRunner::wait}};

CommandRunner::CommandRunner(const CtlOptions &Options, CtlStreams &Streams)
    : m_options(Options), m_streams(Streams), m_client(Options) {}

ExitCode CommandRunner::run(Arguments Given) {
  if (Given.empty())
    return fail(ExitCode::UsageError, "no command given; see --help");
  for (const Command &Each : Commands) {
    if (Each.m_name != Given[0])
      continue;
    std::size_t Count = Given.size() - 1;
    if (Count < Each.m_minArguments || Count > Each.m_maxArguments)
      return fail(ExitCode::UsageError,
                  fmt::format("{} does not take {} arguments; see --help",
                              Each.m_name, Count));
    if (Each.m_usesNodes && m_options.m_nodes.empty())
      return fail(ExitCode::UsageError, "--nodes=ip:port,... is required");
    return (this->*Each.m_run)(Given.subspan(1));
  }
  return fail(ExitCode::UsageError,
              fmt::format("unknown command {}; see --help", Given[0]));
}

ExitCode CommandRunner::apply(Arguments Files) {
  Result<Declaration, ExitCode> Declared = readFiles(Files);
  if (!Declared)
    return Declared.error();
  std::int64_t Base = m_options.m_baseRevision;
  if (Base < 0) {
    Result<Json, ExitCode> Current = fetchDeclaration(-1);
    if (!Current)
      return Current.error();
    Base = numberField(Current.value(), "revision");
  }
  std::string ChangeId = changeId();
  // Written before the change is sent, so that the user can send it again even
  // if this process ends before the answer arrives.
  m_streams.m_err << fmt::format("change_id: {}\nbase_revision: {}\n", ChangeId,
                                 Base)
                  << std::flush;
  Json Body = {{"change_id", ChangeId},
               {"base_revision", Base},
               {"author", m_options.m_author},
               {"declaration", Json::parse(declarationJson(Declared.value()))}};
  OperatorAnswer Answer = m_client.change("/v1/declaration", Body);
  // With the base revision given, sending the change again cannot undo a change
  // that another operator made in the meantime.
  ExitCode Code = reportChange(
      Answer, fmt::format("--change_id={} --base_revision={}", ChangeId, Base));
  if (Code != ExitCode::Ok || !m_options.m_wait)
    return Code;
  return waitForRevision(numberField(Answer.m_body, "revision"));
}

ExitCode CommandRunner::check(Arguments Files) {
  Result<Declaration, ExitCode> Declared = readFiles(Files);
  if (!Declared)
    return Declared.error();
  std::size_t Templates = Declared.value().m_templates.size();
  std::size_t Customers = Declared.value().m_customers.size();
  std::size_t Services = Declared.value().m_services.size();
  print({{"result", "valid"},
         {"templates", Templates},
         {"customers", Customers},
         {"services", Services}},
        fmt::format("valid: {} templates, {} customers, {} services\n",
                    Templates, Customers, Services));
  return ExitCode::Ok;
}

ExitCode CommandRunner::diff(Arguments Files) {
  Result<Declaration, ExitCode> New = readFiles(Files);
  if (!New)
    return New.error();
  Result<Json, ExitCode> Current = fetchDeclaration(m_options.m_revision);
  if (!Current)
    return Current.error();
  Result<Declaration, DeclarationError> Old =
      parseDeclarationJson(Current.value()["declaration"].dump());
  if (!Old)
    return fail(ExitCode::UsageError,
                fmt::format("this version of turmericctl cannot read the "
                            "declaration in force: {}",
                            errorText(Old.error())));
  std::vector<DeclarationChange> Changes =
      diffDeclarations(Old.value(), New.value());
  print({{"revision", Current.value()["revision"]},
         {"changes", Json::parse(diffJson(Changes))}},
        diffText(Changes));
  return ExitCode::Ok;
}

ExitCode CommandRunner::drain(Arguments Names) {
  return setDrained(Names[0], true);
}

ExitCode CommandRunner::undrain(Arguments Names) {
  return setDrained(Names[0], false);
}

ExitCode CommandRunner::evacuation(Arguments Verb) {
  bool Lists = Verb[0] == "list";
  bool Starts = Verb[0] == "start";
  if (!Lists && !Starts && Verb[0] != "end")
    return fail(ExitCode::UsageError,
                fmt::format("unknown verb {}; allowed: start, end, list",
                            internal::cellText(Verb[0])));
  if (Lists != (Verb.size() == 1) || Verb.back().empty())
    return fail(ExitCode::UsageError,
                Lists ? "evacuation list takes no name"
                      : fmt::format("evacuation {} needs the name of a "
                                    "failure domain",
                                    Verb[0]));
  return Lists ? listEvacuations() : setEvacuated(Verb[1], Starts);
}

ExitCode CommandRunner::setEvacuated(const std::string &FailureDomain,
                                     bool Evacuated) {
  // Sending the order again is harmless, so it needs no change identifier.
  OperatorAnswer Answer =
      m_client.change("/v1/evacuations", {{"failure_domain", FailureDomain},
                                          {"evacuated", Evacuated}});
  if (Answer.m_outcome == SendOutcome::Answered && Answer.m_status == 404) {
    if (Answer.m_body.is_object())
      print(Answer.m_body, "");
    return fail(ExitCode::Refused,
                fmt::format("refused: {}{}; see evacuation list",
                            Answer.m_detail,
                            internal::statedReason(Answer.m_body)));
  }
  if (Answer.m_outcome == SendOutcome::Lost)
    return fail(
        ExitCode::AnswerLost,
        fmt::format("no certain answer; the order may be in force. Give it "
                    "again, or see evacuation list: {}{}",
                    Answer.m_detail, internal::statedReason(Answer.m_body)));
  return reportChange(Answer, "the same arguments");
}

ExitCode CommandRunner::listEvacuations() {
  Result<Json, ExitCode> Got = fetch("/v1/evacuations");
  if (!Got)
    return Got.error();
  print(Got.value(),
        internal::textTable(
            internal::listField(Got.value(), "failure_domains"),
            {"failure_domain", "evacuated", "servers", "targets", "requests"}));
  return ExitCode::Ok;
}

ExitCode CommandRunner::get(Arguments) {
  Result<Json, ExitCode> Current = fetchDeclaration(m_options.m_revision);
  if (!Current)
    return Current.error();
  const Json &Got = Current.value();
  // JSON is valid YAML, so the output can be edited and applied.
  print(Got, fmt::format("# revision {}, change {}, author {}\n{}\n",
                         numberField(Got, "revision"),
                         internal::cellText(textField(Got, "change_id")),
                         internal::cellText(textField(Got, "author")),
                         Got["declaration"].dump(2)));
  return ExitCode::Ok;
}

ExitCode CommandRunner::hashKey(Arguments) {
  std::string Line(internal::MaxKeyBytes + 1, '\0');
  m_streams.m_in.read(Line.data(), static_cast<std::streamsize>(Line.size()));
  Line.resize(static_cast<std::size_t>(m_streams.m_in.gcount()));
  std::string Key = internal::trimmed(Line);
  if (Key.empty() || Line.size() > internal::MaxKeyBytes)
    return fail(ExitCode::UsageError,
                fmt::format("expected a key of 1 to {} bytes on standard input",
                            internal::MaxKeyBytes));
  for (char C : Key)
    if (!absl::ascii_isgraph(static_cast<unsigned char>(C)))
      return fail(ExitCode::UsageError,
                  "expected one key of printable ASCII without spaces");
  if (Key.size() < internal::MinKeyBytes)
    m_streams.m_err << fmt::format("warning: a key of fewer than {} characters "
                                   "can be guessed from its hash\n",
                                   internal::MinKeyBytes);
  std::string Hash =
      KeyHash::make(Key, randomBytes(internal::SaltBytes)).text();
  print({{"key_hash", Hash}}, Hash + "\n");
  return ExitCode::Ok;
}

ExitCode CommandRunner::history(Arguments) {
  Result<Json, ExitCode> Got = fetch("/v1/history");
  if (!Got)
    return Got.error();
  Json Entries = internal::listField(Got.value(), "entries");
  for (Json &Entry : Entries)
    if (numberField(Entry, "time_ms") >= 0)
      Entry["time"] =
          absl::FormatTime(absl::RFC3339_sec,
                           absl::FromUnixMillis(numberField(Entry, "time_ms")),
                           absl::UTCTimeZone());
  print(Got.value(), internal::textTable(
                         Entries, {"revision", "change_id", "author", "time"}));
  return ExitCode::Ok;
}

ExitCode CommandRunner::status(Arguments Section) {
  bool Known = Section.empty();
  std::vector<std::string_view> Names;
  for (const internal::StatusSection &Each : internal::statusSections()) {
    Names.push_back(Each.m_name);
    Known = Known || Each.m_name == Section[0];
  }
  if (!Known)
    return fail(ExitCode::UsageError,
                fmt::format("unknown section {}; allowed: {}", Section[0],
                            fmt::join(Names, ", ")));
  Result<Json, ExitCode> Got = fetch("/v1/status");
  if (!Got)
    return Got.error();
  const Json &Status = Got.value();
  std::string Text =
      fmt::format("node {}, leader {}, revision {}\n",
                  internal::cellText(textField(Status, "node")),
                  internal::cellText(textField(Status, "leader")),
                  numberField(Status, "revision"));
  Json Shown = Status;
  for (const internal::StatusSection &Each : internal::statusSections()) {
    if (!Section.empty() && Each.m_name != Section[0]) {
      Shown.erase(std::string(Each.m_name));
      continue;
    }
    Text += fmt::format("\n{}\n", Each.m_name);
    Text += internal::textTable(internal::listField(Status, Each.m_name),
                                Each.m_fields);
  }
  print(Shown, Text);
  return ExitCode::Ok;
}

ExitCode CommandRunner::wait(Arguments) {
  if (m_options.m_revision < 0)
    return fail(ExitCode::UsageError, "wait needs --revision");
  ExitCode Code = waitForRevision(m_options.m_revision);
  if (Code == ExitCode::Ok)
    print({{"result", "in_force"}, {"revision", m_options.m_revision}}, "");
  return Code;
}

Result<Declaration, ExitCode> CommandRunner::readFiles(Arguments Files) {
  std::vector<std::string> Texts;
  for (const std::string &Path : Files) {
    std::optional<std::string> Text = internal::readFile(Path);
    if (!Text)
      return fail(ExitCode::UsageError,
                  fmt::format("{}: cannot be read", Path));
    Texts.push_back(std::move(*Text));
  }
  std::vector<FileText> Named;
  for (std::size_t Index = 0; Index < Files.size(); ++Index)
    Named.push_back({Files[Index], Texts[Index]});
  Result<Declaration, DeclarationError> Declared = parseDeclarationFiles(Named);
  if (Declared)
    return std::move(Declared.value());
  m_streams.m_err << errorText(Declared.error()) << "\n";
  print(internal::errorJson(Declared.error()), "");
  return ExitCode::DeclarationInvalid;
}

Result<Json, ExitCode> CommandRunner::fetch(const std::string &Path) {
  OperatorAnswer Answer = m_client.get(Path);
  if (Answer.m_outcome != SendOutcome::Answered)
    return failure(
        fail(ExitCode::Unreachable,
             fmt::format("no node answered, and no change was sent: {}",
                         Answer.m_detail)));
  if (Answer.m_status != 200)
    return failure(reportRefusal(Answer));
  return success(std::move(Answer.m_body));
}

Result<Json, ExitCode> CommandRunner::fetchDeclaration(std::int64_t Revision) {
  std::string Path = "/v1/declaration";
  if (Revision >= 0)
    Path += fmt::format("?revision={}", Revision);
  Result<Json, ExitCode> Got = fetch(Path);
  if (!Got)
    return Got;
  bool Complete = numberField(Got.value(), "revision") >= 0 &&
                  Got.value().contains("declaration");
  if (!Complete)
    return failure(
        fail(ExitCode::Refused,
             "the answer of the node holds no revision or no declaration"));
  return Got;
}

ExitCode CommandRunner::reportChange(const OperatorAnswer &Answer,
                                     std::string_view ResendFlags) {
  if (Answer.m_outcome == SendOutcome::NotSent)
    return fail(ExitCode::Unreachable,
                fmt::format("no node was reached; nothing was sent: {}",
                            Answer.m_detail));
  std::string Done = textField(Answer.m_body, "result");
  bool Accepted = Answer.m_status == 200 && Done == "accepted";
  if (Answer.m_outcome == SendOutcome::Lost ||
      (Answer.m_status == 200 && !Accepted))
    return fail(ExitCode::AnswerLost,
                fmt::format("no certain answer; the change may have been made. "
                            "Send it again with {}: {}",
                            ResendFlags, Answer.m_detail));
  if (!Accepted)
    return reportRefusal(Answer);
  std::int64_t Revision = numberField(Answer.m_body, "revision");
  print(Answer.m_body, Revision >= 0
                           ? fmt::format("accepted: revision {}\n", Revision)
                           : "accepted\n");
  return ExitCode::Ok;
}

ExitCode CommandRunner::reportRefusal(const OperatorAnswer &Answer) {
  const Json &Body = Answer.m_body;
  if (Body.is_object())
    print(Body, "");
  if (Answer.m_status == 422) {
    Json Error = Body.value("error", Json::object());
    return fail(
        ExitCode::DeclarationInvalid,
        errorText({"", 0, textField(Error, "field"), textField(Error, "found"),
                   textField(Error, "allowed")}));
  }
  if (Answer.m_status == 409)
    return fail(
        ExitCode::Refused,
        fmt::format("conflict: revision {} by {} (change {}) came first; "
                    "compare with diff and apply again",
                    numberField(Body, "current_revision"),
                    internal::cellText(textField(Body, "winning_author")),
                    internal::cellText(textField(Body, "winning_change_id"))));
  if (Answer.m_status == 503)
    return fail(ExitCode::Refused,
                fmt::format("unavailable; nothing was changed: {}{}",
                            Answer.m_detail, internal::statedReason(Body)));
  if (Answer.m_status == 401 || Answer.m_status == 403)
    return fail(
        ExitCode::Refused,
        fmt::format("the operator key was refused: {}", Answer.m_detail));
  return fail(ExitCode::Refused, fmt::format("refused: {}", Answer.m_detail));
}

ExitCode CommandRunner::setDrained(const std::string &Name, bool Drained) {
  ExitCode Failed = ExitCode::UsageError;
  std::string Kind = findKind(Name, Failed);
  if (Kind.empty())
    return Failed;
  std::string ChangeId = changeId();
  m_streams.m_err << fmt::format("change_id: {}\n", ChangeId) << std::flush;
  Json Body = {{Kind, Name}, {"drained", Drained}, {"change_id", ChangeId}};
  return reportChange(m_client.change("/v1/drain", Body),
                      fmt::format("--change_id={}", ChangeId));
}

std::string CommandRunner::findKind(const std::string &Name, ExitCode &Failed) {
  if (!m_options.m_kind.empty())
    return m_options.m_kind;
  Result<Json, ExitCode> Status = fetch("/v1/status");
  if (!Status) {
    Failed = Status.error();
    return "";
  }
  bool IsTarget = false;
  bool IsHost = false;
  for (const Json &Target : internal::listField(Status.value(), "targets")) {
    IsTarget = IsTarget || textField(Target, "target") == Name;
    IsHost = IsHost || textField(Target, "host") == Name;
  }
  if (IsTarget != IsHost)
    return IsTarget ? "target" : "host";
  Failed =
      fail(ExitCode::UsageError,
           fmt::format("{} names {}; give --kind=target or --kind=host", Name,
                       IsTarget ? "both a target and a host"
                                : "no announced target or host"));
  return "";
}

ExitCode CommandRunner::waitForRevision(std::int64_t Revision) {
  absl::Time Deadline = absl::Now() + m_options.m_waitTimeout;
  std::string Behind = "no node answered";
  while (true) {
    OperatorAnswer Answer = m_client.get("/v1/status");
    bool Known =
        Answer.m_outcome == SendOutcome::Answered && Answer.m_status == 200;
    if (Known) {
      internal::NodeProgress Progress =
          internal::nodeProgress(Answer.m_body, Revision);
      if (Progress.m_behind.empty() && Progress.m_reached > 0) {
        for (const std::string &Node : Progress.m_down)
          m_streams.m_err << fmt::format("not waited for: {} is down\n", Node);
        m_streams.m_err << fmt::format("revision {} is in force on {} nodes\n",
                                       Revision, Progress.m_reached);
        return ExitCode::Ok;
      }
      Behind = fmt::format("{}", fmt::join(Progress.m_behind, ", "));
    } else if (Answer.m_status == 401 || Answer.m_status == 403) {
      return reportRefusal(Answer);
    }
    if (absl::Now() + m_options.m_waitInterval > Deadline)
      return fail(ExitCode::WaitTimedOut,
                  fmt::format("revision {} is not in force everywhere after "
                              "{}: {}",
                              Revision,
                              absl::FormatDuration(m_options.m_waitTimeout),
                              Behind));
    absl::SleepFor(m_options.m_waitInterval);
  }
}

std::string CommandRunner::changeId() {
  return m_options.m_changeId.empty()
             ? toHex(randomBytes(internal::ChangeIdBytes))
             : m_options.m_changeId;
}

void CommandRunner::print(const Json &Value, std::string_view Text) {
  if (m_options.m_json)
    m_streams.m_out << Value.dump(-1, ' ', false,
                                  Json::error_handler_t::replace)
                    << "\n";
  else
    m_streams.m_out << Text;
  m_streams.m_out << std::flush;
}

ExitCode CommandRunner::fail(ExitCode Code, std::string_view Message) {
  assert(Code != ExitCode::Ok &&
         "a failure must not return the exit code of success");
  m_streams.m_err << "turmericctl: " << Message << "\n" << std::flush;
  return Code;
}

} // namespace turmericdyke
