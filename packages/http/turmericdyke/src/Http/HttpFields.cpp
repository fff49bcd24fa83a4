#include "turmericdyke/src/Http/HttpFields.h"

#include "turmericdyke/src/Base/Text.h"

namespace turmericdyke {

namespace internal {
namespace {

/// RFC 9110, section 7.6.1, and the framing headers, which are generated again
/// for the next hop.
constexpr std::string_view HopByHop[] = {"Connection",
                                         "Keep-Alive",
                                         "Proxy-Connection",
                                         "TE",
                                         "Trailer",
                                         "Transfer-Encoding",
                                         "Upgrade",
                                         "Proxy-Authenticate",
                                         "Proxy-Authorization",
                                         "Expect",
                                         "Content-Length"};

} // namespace
} // namespace internal

void HttpFields::add(std::string_view Name, std::string_view Value) {
  m_lines.push_back({std::string(Name), std::string(Value)});
}

void HttpFields::set(std::string_view Name, std::string_view Value) {
  remove(Name);
  add(Name, Value);
}

void HttpFields::remove(std::string_view Name) {
  std::erase_if(m_lines, [Name](const HttpField &Line) {
    return equalsIgnoreCase(Line.m_name, Name);
  });
}

std::optional<std::string_view> HttpFields::find(std::string_view Name) const {
  for (const HttpField &Line : m_lines)
    if (equalsIgnoreCase(Line.m_name, Name))
      return Line.m_value;
  return std::nullopt;
}

bool HttpFields::lists(std::string_view Name, std::string_view Token) const {
  for (const HttpField &Line : m_lines) {
    if (!equalsIgnoreCase(Line.m_name, Name))
      continue;
    for (std::string_view Word : splitList(Line.m_value, ','))
      if (equalsIgnoreCase(Word, Token))
        return true;
  }
  return false;
}

void HttpFields::removeHopByHop() {
  std::vector<std::string> Named;
  for (const HttpField &Line : m_lines) {
    if (!equalsIgnoreCase(Line.m_name, "Connection"))
      continue;
    for (std::string_view Word : splitList(Line.m_value, ','))
      Named.emplace_back(Word);
  }
  for (const std::string &Name : Named)
    remove(Name);
  for (std::string_view Name : internal::HopByHop)
    remove(Name);
}

} // namespace turmericdyke
