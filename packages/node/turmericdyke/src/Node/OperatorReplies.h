#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Control/ControlState.h"
#include "turmericdyke/src/Edge/ControlPort.h"
#include "turmericdyke/src/Requests/AttemptTypes.h"

namespace turmericdyke {

/// Parses the body of `POST /v1/declaration` and validates the declaration.
/// `WallTime` is recorded in the history.
Result<ApplyDeclaration, OperatorReply> parseApply(std::string_view Body,
                                                   absl::Time WallTime);
/// Parses the body of `POST /v1/drain`.
Result<SetDrained, OperatorReply> parseDrain(std::string_view Body);

/// The reply to an operator's change.
OperatorReply changeReply(const SubmitResult &Done, std::string_view ChangeId);
OperatorReply declarationReply(const ControlState &State,
                               std::optional<std::uint64_t> Revision);
OperatorReply historyReply(const ControlState &State);
/// A 503 reply with the known outcome of the change.
OperatorReply unavailableReply(Outcome Known);

} // namespace turmericdyke
