#pragma once

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericdyke {

/// One header line. Names are compared without regard to case.
struct HttpField {
  std::string m_name;
  std::string m_value;
};

/// Header lines in the order of the message.
class HttpFields {
public:
  HttpFields() = default;
  HttpFields(std::initializer_list<HttpField> Lines) : m_lines(Lines) {}

  void add(std::string_view Name, std::string_view Value);
  /// Replaces all lines of this name by one.
  void set(std::string_view Name, std::string_view Value);
  void remove(std::string_view Name);
  /// The first line of this name.
  std::optional<std::string_view> find(std::string_view Name) const;
  /// Whether a line of this name lists `Token` among its comma-separated words.
  bool lists(std::string_view Name, std::string_view Token) const;
  /// Removes the hop-by-hop headers, including those that a `Connection` line
  /// names.
  void removeHopByHop();

  const std::vector<HttpField> &lines() const { return m_lines; }
  std::vector<HttpField> &lines() { return m_lines; }

private:
  std::vector<HttpField> m_lines;
};

} // namespace turmericdyke
