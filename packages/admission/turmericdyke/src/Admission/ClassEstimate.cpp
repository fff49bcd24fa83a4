#include "turmericdyke/src/Admission/ClassEstimate.h"

namespace turmericdyke {

namespace {

constexpr std::int64_t BytesPerToken = 4;
constexpr std::int64_t DefaultTokenLimit = 512;

} // namespace

std::int64_t estimateTokens(std::int64_t Bytes) {
  return (Bytes + BytesPerToken - 1) / BytesPerToken;
}

RequestClass estimateClass(const RequestSize &Size, std::int64_t LongTokens) {
  std::int64_t Limit =
      Size.m_tokenLimit > 0 ? Size.m_tokenLimit : DefaultTokenLimit;
  bool IsLong = Size.m_promptTokens + Limit >= LongTokens;
  return IsLong ? RequestClass::Long : RequestClass::Short;
}

RequestClass correctClass(RequestClass Current, const RequestSize &Size,
                          std::int64_t GeneratedTokens,
                          std::int64_t LongTokens) {
  bool RanOver = Size.m_promptTokens + GeneratedTokens >= LongTokens;
  return RanOver ? RequestClass::Long : Current;
}

} // namespace turmericdyke
