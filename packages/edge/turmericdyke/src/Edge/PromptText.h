#pragma once

#include <cstdint>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "turmericdyke/src/Admission/ClassEstimate.h"

namespace turmericdyke {

/// The prompt of a completion request as one text: the messages with their
/// roles, or the field `prompt`. Used for size and cached prefixes only.
std::string promptText(const nlohmann::json &Body);

/// Prompt size and token limit (`max_tokens` or `max_completion_tokens`).
RequestSize requestSize(const nlohmann::json &Body, std::size_t PromptBytes);

} // namespace turmericdyke
