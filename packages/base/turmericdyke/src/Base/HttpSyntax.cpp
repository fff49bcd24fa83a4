#include "turmericdyke/src/Base/HttpSyntax.h"

#include <algorithm>

#include "absl/strings/ascii.h"

namespace turmericdyke {

namespace internal {
namespace {

bool isTokenCharacter(char C) {
  constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
  return absl::ascii_isalnum(static_cast<unsigned char>(C)) ||
         Others.find(C) != std::string_view::npos;
}

} // namespace
} // namespace internal

bool isStatusCode(int Status) {
  constexpr int First = 100;
  constexpr int Last = 599;
  return First <= Status && Status <= Last;
}

bool isFieldName(std::string_view Text) {
  return !Text.empty() &&
         std::all_of(Text.begin(), Text.end(), internal::isTokenCharacter);
}

} // namespace turmericdyke
