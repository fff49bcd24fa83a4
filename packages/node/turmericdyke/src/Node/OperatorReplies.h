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

/// Reads the body of `POST /v1/declaration`, and checks the declaration in
/// full. `Wall` is noted in the history.
Result<ApplyDeclaration, OperatorReply> parseApply(std::string_view Body,
                                                   absl::Time Wall);
/// Reads the body of `POST /v1/drain`.
Result<SetDrained, OperatorReply> parseDrain(std::string_view Body);

/// The answer to a change by an operator.
OperatorReply changeReply(const Submission &Done, std::string_view ChangeId);
OperatorReply declarationReply(const ControlState &State,
                               std::optional<std::uint64_t> Revision);
OperatorReply historyReply(const ControlState &State);
/// 503 with what is known of the change.
OperatorReply unavailableReply(Outcome Known);

} // namespace turmericdyke
