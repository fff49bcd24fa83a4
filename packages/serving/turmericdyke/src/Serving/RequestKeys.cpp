#include "turmericdyke/src/Serving/RequestKeys.h"

#include <algorithm>

#include "absl/strings/str_join.h"
#include "turmericdyke/src/Base/StableHash.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Separates texts that are hashed together; part of none of them.
constexpr std::string_view Separator("\0", 1);

} // namespace
} // namespace internal

std::vector<SuspectKey> requestKeys(const RequestContent &Content) {
  std::vector<SuspectKey> Keys;
  absl::Span<const std::string> Parts = Content.m_promptParts;
  std::size_t Shared = Parts.empty() ? 0 : Parts.size() - 1;
  for (std::size_t At = 0; At < std::min(Shared, MaxKeysOfRequest - 1); ++At)
    Keys.push_back(stableHash({"part", internal::Separator, Parts[At]}));
  std::string Prompt = absl::StrJoin(Parts, ",");
  using internal::Separator;
  Keys.push_back(stableHash({"request", Separator, Content.m_customer.str(),
                             Separator, Content.m_method, Separator,
                             Content.m_target, Separator, Content.m_model,
                             Separator, Prompt, Separator, Content.m_body}));
  return Keys;
}

} // namespace turmericdyke
