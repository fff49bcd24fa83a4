#pragma once

#include <cstdint>

#include "turmericdyke/src/Base/RequestClass.h"

namespace turmericdyke {

/// Size of a request as far as it is known before it runs, in tokens.
struct RequestSize {
  std::int64_t m_promptTokens = 0;
  /// Largest number of tokens to generate; 0 when the caller gave none.
  std::int64_t m_tokenLimit = 0;
};

/// Tokens of a text of `Bytes` bytes, at 4 bytes a token, rounded up. Nodes do
/// not have the tokenizers of the models.
std::int64_t estimateTokens(std::int64_t Bytes);

/// The class of a request of a customer with the given `m_longTokens`. A
/// missing token limit counts as 512 tokens.
RequestClass estimateClass(const RequestSize &Size, std::int64_t LongTokens);

/// The class of a request after it generated `GeneratedTokens`: a short one
/// that runs over becomes long, a long one stays long.
RequestClass correctClass(RequestClass Current, const RequestSize &Size,
                          std::int64_t GeneratedTokens,
                          std::int64_t LongTokens);

} // namespace turmericdyke
