#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "turmericdyke/Declaration"
#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Control/CommandResult.h"

namespace turmericdyke {

/// Parses and validates the canonical JSON of a declaration.
using DeclarationParser =
    Result<Declaration, DeclarationError> (*)(std::string_view);

/// One accepted declaration.
struct RevisionRecord {
  std::uint64_t m_revision = 0;
  std::string m_changeId;
  std::string m_author;
  /// SHA-256 of the canonical JSON, lower-case hexadecimal.
  std::string m_digest;
  /// Wall-clock time at the author's node.
  absl::Time m_time = absl::UnixEpoch();

  friend bool operator==(const RevisionRecord &,
                         const RevisionRecord &) = default;
};

namespace internal {

/// Changes by operators: the current declaration, the drained targets and
/// hosts, and the outcome of each change, which is returned if the change is
/// resent.
class ChangeLog {
public:
  explicit ChangeLog(DeclarationParser Parser) : m_parser(Parser) {}

  CommandResult apply(const ApplyDeclaration &Command);
  CommandResult apply(const SetDrained &Command);

  std::uint64_t revision() const { return m_revision; }
  std::shared_ptr<const Declaration> declaration() const {
    return m_declaration;
  }
  const std::string &declarationText() const { return m_text; }
  const std::deque<RevisionRecord> &history() const { return m_history; }
  const std::set<TargetId> &drainedTargets() const { return m_drainedTargets; }
  const std::set<HostId> &drainedHosts() const { return m_drainedHosts; }

  /// For tests: accepts a change regardless of its base revision.
  void skipBaseCheck() { m_skipBaseCheck = true; }
  /// For tests: evaluates a resent change again.
  void skipOutcomes() { m_skipOutcomes = true; }

  nlohmann::json toJson() const;
  /// Throws nlohmann exceptions or returns false on invalid content.
  bool readJson(const nlohmann::json &Value);

private:
  struct Outcome {
    std::string m_contentDigest;
    CommandResult m_result;
  };
  std::optional<CommandResult> findOutcome(const std::string &ChangeId,
                                           std::string_view Content) const;
  CommandResult recordOutcome(const std::string &ChangeId,
                              std::string_view Content, CommandResult Result);
  CommandResult evaluate(const ApplyDeclaration &Command);
  ChangeConflict makeConflict(std::uint64_t BaseRevision) const;

  DeclarationParser m_parser;
  std::uint64_t m_revision = 0;
  std::shared_ptr<const Declaration> m_declaration;
  std::string m_text;
  std::deque<RevisionRecord> m_history;
  std::map<std::string, Outcome> m_outcomes;
  /// Change identifiers of `m_outcomes`, oldest first.
  std::deque<std::string> m_outcomeOrder;
  std::set<TargetId> m_drainedTargets;
  std::set<HostId> m_drainedHosts;
  bool m_skipBaseCheck = false;
  bool m_skipOutcomes = false;
};

} // namespace internal
} // namespace turmericdyke
