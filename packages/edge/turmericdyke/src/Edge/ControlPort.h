#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Control/Command.h"
#include "turmericdyke/src/Control/CommandResult.h"
#include "turmericdyke/src/Fleet/FleetError.h"
#include "turmericdyke/src/Fleet/TargetAnnouncement.h"

namespace turmericdyke {

/// An answer of the control side to an operator: HTTP status and JSON body.
struct OperatorReply {
  int m_status = 200;
  std::string m_body;
};

enum class SubmitStatus {
  /// Committed; the result is set.
  Committed,
  /// Never handed to a leader.
  NotRun,
  /// Handed to a leader, but no result came in time. It may still be committed.
  Unknown
};

/// The end of a command for the replicated log.
struct SubmitResult {
  SubmitStatus m_status = SubmitStatus::NotRun;
  /// Set when it was committed.
  CommandResult m_result;
};

/// What the HTTP ports ask of the control side. Calls come from connection
/// threads and may wait for a commit, within the bound that the implementation
/// states.
class ControlPort {
public:
  virtual ~ControlPort() = default;

  virtual OperatorReply declaration(std::optional<std::uint64_t> Revision) = 0;
  virtual OperatorReply applyDeclaration(std::string_view Body) = 0;
  virtual OperatorReply history() = 0;
  virtual OperatorReply status() = 0;
  virtual OperatorReply drain(std::string_view Body) = 0;
  /// Hands a command to the replicated log and waits for its result, at most
  /// about 5 s.
  virtual SubmitResult submit(const Command &Value) = 0;
  /// Takes an announcement; an error when it contradicts what is known of the
  /// target.
  virtual Result<void, FleetError>
  announce(const TargetAnnouncement &Announcement) = 0;
};

} // namespace turmericdyke
