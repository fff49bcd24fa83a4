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

/// Reads and checks the canonical JSON of a declaration.
using DeclarationParser =
    Result<Declaration, DeclarationError> (*)(std::string_view);

/// One accepted declaration.
struct RevisionRecord {
  std::uint64_t m_revision = 0;
  std::string m_changeId;
  std::string m_author;
  /// SHA-256 of the canonical JSON, lower-case hexadecimal.
  std::string m_digest;
  /// As given by the author's node.
  absl::Time m_time = absl::UnixEpoch();

  friend bool operator==(const RevisionRecord &,
                         const RevisionRecord &) = default;
};

namespace internal {

/// The operators' changes: the newest declaration, the drained set, and the
/// outcome of each change for a resend.
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

  /// For tests: accepts a change whatever revision it builds on.
  void skipBaseCheck() { m_skipBaseCheck = true; }
  /// For tests: judges a change again when it is sent again.
  void skipOutcomes() { m_skipOutcomes = true; }

  nlohmann::json toJson() const;
  /// Throws nlohmann's exceptions or returns false on wrong content.
  bool readJson(const nlohmann::json &Value);

private:
  struct Outcome {
    std::string m_contentDigest;
    CommandResult m_result;
  };
  std::optional<CommandResult> knownOutcome(const std::string &ChangeId,
                                            std::string_view Content) const;
  CommandResult remember(const std::string &ChangeId, std::string_view Content,
                         CommandResult Result);
  CommandResult judge(const ApplyDeclaration &Command);
  ChangeConflict conflictWith(std::uint64_t BaseRevision) const;

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
