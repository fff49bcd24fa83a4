#include "turmericdyke/src/Node/OperatorReplies.h"

#include <nlohmann/json.hpp>

#include "turmericdyke/Declaration"
#include "turmericdyke/src/Fleet/JsonReader.h"

namespace turmericdyke {

namespace internal {
namespace {

using Json = nlohmann::json;

Json parse(std::string_view Body) {
  return Json::parse(Body.begin(), Body.end(), nullptr, false);
}

OperatorReply invalid(int Status, std::string_view Field,
                      std::string_view Found, std::string_view Allowed) {
  Json Error = {{"field", Field}, {"found", Found}, {"allowed", Allowed}};
  return {Status, Json{{"result", "invalid"}, {"error", Error}}.dump()};
}

OperatorReply invalid(const JsonReader &Reader) {
  return invalid(400, Reader.error()->m_field, Reader.error()->m_message, "");
}

struct ChangeReplyVisitor {
  std::string_view m_changeId;

  OperatorReply operator()(const ChangeAccepted &Result) const {
    return {200, Json{{"result", "accepted"},
                      {"revision", Result.m_revision},
                      {"change_id", m_changeId}}
                     .dump()};
  }
  OperatorReply operator()(const ChangeConflict &Result) const {
    return {409, Json{{"result", "conflict"},
                      {"current_revision", Result.m_newestRevision},
                      {"winning_change_id", Result.m_winnerChangeId},
                      {"winning_author", Result.m_winnerAuthor}}
                     .dump()};
  }
  OperatorReply operator()(const CommandInvalid &Result) const {
    return invalid(422, Result.m_field, Result.m_message, "");
  }
  OperatorReply operator()(const CommandRefused &Result) const {
    return invalid(422, "change_id", Result.m_message, "");
  }
  template <class Other> OperatorReply operator()(const Other &) const {
    return {200,
            Json{{"result", "accepted"}, {"change_id", m_changeId}}.dump()};
  }
};

} // namespace
} // namespace internal

Result<ApplyDeclaration, OperatorReply> parseApply(std::string_view Body,
                                                   absl::Time WallTime) {
  internal::Json Value = internal::parse(Body);
  ApplyDeclaration Parsed;
  internal::JsonReader Reader(Value);
  Reader.text("change_id", Parsed.m_changeId, true)
      .number("base_revision", Parsed.m_baseRevision)
      .text("author", Parsed.m_author);
  const internal::Json *Declared = Reader.object("declaration");
  if (Declared == nullptr)
    Reader.fail("declaration", "is missing");
  if (Reader.error())
    return failure(internal::invalid(Reader));
  Result<Declaration, DeclarationError> Checked =
      parseDeclarationJson(Declared->dump());
  if (!Checked) {
    const DeclarationError &Error = Checked.error();
    return failure(
        internal::invalid(422, Error.m_field, Error.m_found, Error.m_allowed));
  }
  Parsed.m_declaration = declarationJson(Checked.value());
  Parsed.m_time = WallTime;
  return Parsed;
}

Result<SetDrained, OperatorReply> parseDrain(std::string_view Body) {
  internal::Json Value = internal::parse(Body);
  SetDrained Parsed;
  internal::JsonReader Reader(Value);
  Reader.text("change_id", Parsed.m_changeId, true)
      .id("target", Parsed.m_target)
      .id("host", Parsed.m_host)
      .flag("drained", Parsed.m_drained);
  if (Parsed.m_target.empty() == Parsed.m_host.empty())
    Reader.fail("target", "or host must be given, and only one of them");
  if (Reader.error())
    return failure(internal::invalid(Reader));
  return Parsed;
}

OperatorReply changeReply(const SubmitResult &Done, std::string_view ChangeId) {
  if (Done.m_status == SubmitStatus::Committed)
    return std::visit(internal::ChangeReplyVisitor{ChangeId}, Done.m_result);
  return unavailableReply(Done.m_status == SubmitStatus::NotRun
                              ? Outcome::NotRun
                              : Outcome::MayHaveRun);
}

OperatorReply declarationReply(const ControlState &State,
                               std::optional<std::uint64_t> Revision) {
  if (Revision && *Revision != State.revision())
    return {404, internal::Json{{"result", "unknown_revision"},
                                {"current_revision", State.revision()}}
                     .dump()};
  internal::Json Body = {{"revision", State.revision()},
                         {"declaration", internal::Json::object()}};
  if (!State.declarationText().empty())
    Body["declaration"] = internal::parse(State.declarationText());
  if (!State.history().empty()) {
    Body["change_id"] = State.history().back().m_changeId;
    Body["author"] = State.history().back().m_author;
  }
  return {200, Body.dump()};
}

OperatorReply historyReply(const ControlState &State) {
  internal::Json Entries = internal::Json::array();
  for (const RevisionRecord &Record : State.history())
    Entries.push_back({{"revision", Record.m_revision},
                       {"change_id", Record.m_changeId},
                       {"author", Record.m_author},
                       {"time_ms", absl::ToUnixMillis(Record.m_time)}});
  return {200, internal::Json{{"entries", std::move(Entries)}}.dump()};
}

OperatorReply unavailableReply(Outcome Known) {
  return {503,
          internal::Json{{"result", "unavailable"}, {"outcome", nameOf(Known)}}
              .dump()};
}

} // namespace turmericdyke
