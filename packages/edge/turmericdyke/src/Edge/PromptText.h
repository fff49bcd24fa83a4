#pragma once

#include <cstdint>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "turmericdyke/src/Admission/ClassEstimate.h"

namespace turmericdyke {

/// Returns the prompt of a completion request as a single string: the field
/// `prompt` and the messages with their roles. Used only to estimate the size
/// and to match cached prefixes.
std::string promptText(const nlohmann::json &Body);

/// Returns the prompt size and the token limit (`max_tokens` or
/// `max_completion_tokens`).
RequestSize requestSize(const nlohmann::json &Body, std::size_t PromptBytes);

} // namespace turmericdyke
