#include "turmericdyke/src/Control/ChangeLog.h"

#include <algorithm>
#include <cassert>
#include <optional>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "turmericdyke/src/Base/Bytes.h"

namespace turmericdyke::internal {

namespace {

// Outcomes are kept for more than a day at 13,000 changes a day. A declaration
// whose outcome was dropped has an old base revision and is rejected if resent,
// so it cannot take effect twice.
constexpr std::size_t MaxOutcomes = 20'000;
constexpr std::size_t MaxHistory = 20'000;

struct MarkRepeated {
  CommandResult operator()(ChangeAccepted Result) const {
    Result.m_repeated = true;
    return Result;
  }
  CommandResult operator()(ChangeConflict Result) const {
    Result.m_repeated = true;
    return Result;
  }
  CommandResult operator()(CommandInvalid Result) const {
    Result.m_repeated = true;
    return Result;
  }
  template <class Other> CommandResult operator()(Other Result) const {
    return Result;
  }
};

nlohmann::json bytes(std::string_view Text) {
  return nlohmann::json::binary({Text.begin(), Text.end()});
}

std::string text(const nlohmann::json &Value) {
  const nlohmann::json::binary_t &Bytes = Value.get_binary();
  return {Bytes.begin(), Bytes.end()};
}

nlohmann::json resultJson(const CommandResult &Result) {
  if (const auto *Accepted = std::get_if<ChangeAccepted>(&Result))
    return {{"accepted", Accepted->m_revision}};
  if (const auto *Conflict = std::get_if<ChangeConflict>(&Result))
    return {{"winner", Conflict->m_winnerChangeId},
            {"author", Conflict->m_winnerAuthor},
            {"winner_revision", Conflict->m_winnerRevision},
            {"newest", Conflict->m_newestRevision}};
  const auto *Invalid = std::get_if<CommandInvalid>(&Result);
  assert(Invalid != nullptr &&
         "only outcomes of operator changes are recorded");
  return {{"field", Invalid->m_field}, {"message", Invalid->m_message}};
}

CommandResult readResult(const nlohmann::json &Value) {
  if (Value.contains("accepted"))
    return ChangeAccepted{Value.at("accepted")};
  if (Value.contains("winner"))
    return ChangeConflict{Value.at("winner"), Value.at("author"),
                          Value.at("winner_revision"), Value.at("newest")};
  return CommandInvalid{Value.at("field"), Value.at("message")};
}

} // namespace

std::optional<CommandResult>
ChangeLog::findOutcome(const std::string &ChangeId,
                       std::string_view Content) const {
  auto Found = m_outcomes.find(ChangeId);
  if (Found == m_outcomes.end() || m_skipOutcomes)
    return std::nullopt;
  if (Found->second.m_contentDigest != sha256(Content))
    return CommandRefused{
        CommandRefusalReason::ChangeIdReused,
        "the change identifier was used for different content"};
  return std::visit(MarkRepeated{}, Found->second.m_result);
}

CommandResult ChangeLog::recordOutcome(const std::string &ChangeId,
                                       std::string_view Content,
                                       CommandResult Result) {
  if (m_outcomes.insert_or_assign(ChangeId, Outcome{sha256(Content), Result})
          .second)
    m_outcomeOrder.push_back(ChangeId);
  if (m_outcomeOrder.size() > MaxOutcomes) {
    m_outcomes.erase(m_outcomeOrder.front());
    m_outcomeOrder.pop_front();
  }
  return Result;
}

ChangeConflict ChangeLog::makeConflict(std::uint64_t BaseRevision) const {
  ChangeConflict Conflict;
  Conflict.m_newestRevision = m_revision;
  if (m_history.empty())
    return Conflict;
  const RevisionRecord *Winner = &m_history.back();
  if (BaseRevision + 1 >= m_history.front().m_revision &&
      BaseRevision < m_revision)
    Winner = &m_history[BaseRevision + 1 - m_history.front().m_revision];
  Conflict.m_winnerChangeId = Winner->m_changeId;
  Conflict.m_winnerAuthor = Winner->m_author;
  Conflict.m_winnerRevision = Winner->m_revision;
  return Conflict;
}

CommandResult ChangeLog::evaluate(const ApplyDeclaration &Command) {
  if (Command.m_baseRevision != m_revision && !m_skipBaseCheck)
    return makeConflict(Command.m_baseRevision);
  Result<Declaration, DeclarationError> Parsed =
      m_parser(Command.m_declaration);
  if (!Parsed)
    return CommandInvalid{Parsed.error().m_field,
                          fmt::format("found {}, allowed {}",
                                      Parsed.error().m_found,
                                      Parsed.error().m_allowed)};
  ++m_revision;
  m_declaration =
      std::make_shared<const Declaration>(std::move(Parsed.value()));
  m_text = Command.m_declaration;
  m_history.push_back(
      {m_revision, Command.m_changeId, Command.m_author, toHex(sha256(m_text)),
       absl::FromUnixMicros(absl::ToUnixMicros(Command.m_time))});
  if (m_history.size() > MaxHistory)
    m_history.pop_front();
  return ChangeAccepted{m_revision};
}

CommandResult ChangeLog::apply(const ApplyDeclaration &Command) {
  std::string Content =
      fmt::format("{}\n{}", Command.m_baseRevision, Command.m_declaration);
  if (std::optional<CommandResult> Known =
          findOutcome(Command.m_changeId, Content))
    return *Known;
  return recordOutcome(Command.m_changeId, Content, evaluate(Command));
}

CommandResult ChangeLog::apply(const SetDrained &Command) {
  std::string Content = fmt::format("drain\n{}\n{}\n{}", Command.m_target.str(),
                                    Command.m_host.str(), Command.m_drained);
  if (std::optional<CommandResult> Known =
          findOutcome(Command.m_changeId, Content))
    return *Known;
  if (Command.m_target.empty() == Command.m_host.empty())
    return recordOutcome(
        Command.m_changeId, Content,
        CommandInvalid{"/target", "exactly one of target and host is needed"});
  if (Command.m_drained && !Command.m_host.empty())
    m_drainedHosts.insert(Command.m_host);
  else if (Command.m_drained)
    m_drainedTargets.insert(Command.m_target);
  else if (!Command.m_host.empty())
    m_drainedHosts.erase(Command.m_host);
  else
    m_drainedTargets.erase(Command.m_target);
  return recordOutcome(Command.m_changeId, Content, ChangeAccepted{m_revision});
}

nlohmann::json ChangeLog::toJson() const {
  nlohmann::json History = nlohmann::json::array();
  for (const RevisionRecord &Record : m_history)
    History.push_back({{"revision", Record.m_revision},
                       {"change_id", Record.m_changeId},
                       {"author", Record.m_author},
                       {"digest", Record.m_digest},
                       {"time_us", absl::ToUnixMicros(Record.m_time)}});
  nlohmann::json Outcomes = nlohmann::json::array();
  for (const std::string &ChangeId : m_outcomeOrder) {
    const Outcome &Known = m_outcomes.at(ChangeId);
    Outcomes.push_back({{"change_id", ChangeId},
                        {"content", bytes(Known.m_contentDigest)},
                        {"result", resultJson(Known.m_result)}});
  }
  nlohmann::json Targets = nlohmann::json::array();
  for (const TargetId &Target : m_drainedTargets)
    Targets.push_back(Target.str());
  nlohmann::json Hosts = nlohmann::json::array();
  for (const HostId &Host : m_drainedHosts)
    Hosts.push_back(Host.str());
  return {{"revision", m_revision},     {"declaration", bytes(m_text)},
          {"history", History},         {"outcomes", Outcomes},
          {"drained_targets", Targets}, {"drained_hosts", Hosts}};
}

bool ChangeLog::readJson(const nlohmann::json &Value) {
  m_revision = Value.at("revision");
  m_text = text(Value.at("declaration"));
  if (m_revision > 0) {
    Result<Declaration, DeclarationError> Parsed = m_parser(m_text);
    if (!Parsed)
      return false;
    m_declaration =
        std::make_shared<const Declaration>(std::move(Parsed.value()));
  }
  for (const nlohmann::json &Entry : Value.at("history"))
    m_history.push_back({Entry.at("revision"), Entry.at("change_id"),
                         Entry.at("author"), Entry.at("digest"),
                         absl::FromUnixMicros(Entry.at("time_us"))});
  for (const nlohmann::json &Entry : Value.at("outcomes")) {
    m_outcomeOrder.push_back(Entry.at("change_id"));
    m_outcomes[m_outcomeOrder.back()] = {text(Entry.at("content")),
                                         readResult(Entry.at("result"))};
  }
  for (const nlohmann::json &Target : Value.at("drained_targets"))
    m_drainedTargets.insert(TargetId(Target.get<std::string>()));
  for (const nlohmann::json &Host : Value.at("drained_hosts"))
    m_drainedHosts.insert(HostId(Host.get<std::string>()));
  return true;
}

} // namespace turmericdyke::internal
