#include "turmericdyke/src/Base/Text.h"

#include <charconv>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

namespace turmericdyke {

bool equalsIgnoreCase(std::string_view A, std::string_view B) {
  return absl::EqualsIgnoreCase(absl::string_view(A.data(), A.size()),
                                absl::string_view(B.data(), B.size()));
}

std::string_view trimmed(std::string_view Text) {
  while (!Text.empty() && absl::ascii_isspace(Text.front()))
    Text.remove_prefix(1);
  while (!Text.empty() && absl::ascii_isspace(Text.back()))
    Text.remove_suffix(1);
  return Text;
}

std::vector<std::string_view> splitList(std::string_view Text, char Separator) {
  std::vector<std::string_view> Parts;
  while (!Text.empty()) {
    std::size_t End = Text.find(Separator);
    std::string_view Part = trimmed(Text.substr(0, End));
    if (!Part.empty())
      Parts.push_back(Part);
    if (End == std::string_view::npos)
      break;
    Text.remove_prefix(End + 1);
  }
  return Parts;
}

std::optional<std::int64_t> parseInteger(std::string_view Text) {
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || Stop != End)
    return std::nullopt;
  return Value;
}

} // namespace turmericdyke
