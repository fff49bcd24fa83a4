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

/// A reply of the control plane to an operator: HTTP status and JSON body.
struct OperatorReply {
  int m_status = 200;
  std::string m_body;
};

enum class SubmitStatus {
  /// Committed; the result is set.
  Committed,
  /// Never sent to a leader.
  NotRun,
  /// Sent to a leader, but no result arrived in time. The command may still be
  /// committed.
  Unknown
};

/// The outcome of a command that was submitted to the replicated log.
struct SubmitResult {
  SubmitStatus m_status = SubmitStatus::NotRun;
  /// Set when it was committed.
  CommandResult m_result;
};

/// The interface of the control plane for the HTTP ports. It is called from
/// connection threads, and calls may block until a command is committed, up to
/// the timeout of the implementation.
class ControlPort {
public:
  virtual ~ControlPort() = default;

  virtual OperatorReply declaration(std::optional<std::uint64_t> Revision) = 0;
  virtual OperatorReply applyDeclaration(std::string_view Body) = 0;
  virtual OperatorReply history() = 0;
  virtual OperatorReply status() = 0;
  virtual OperatorReply drain(std::string_view Body) = 0;
  /// Submits a command to the replicated log and waits up to about 5 s for its
  /// result.
  virtual SubmitResult submit(const Command &Value) = 0;
  /// Accepts an announcement, or returns an error if it contradicts what is
  /// known about the target.
  virtual Result<void, FleetError>
  announce(const TargetAnnouncement &Announcement) = 0;
};

} // namespace turmericdyke
