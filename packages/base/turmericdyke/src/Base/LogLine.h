#pragma once

#include <string>
#include <string_view>
#include <type_traits>

#include <fmt/format.h>

#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

enum class LogLevel { Debug, Info, Warning, Error };

/// Sets the minimum level that is written. The default is `Info`.
void setLogLevel(LogLevel Level);

/// One event as one line of key=value pairs on standard output (see `LogSink`),
/// written when the object is destroyed. Values with spaces, quotes or control
/// characters are quoted. Request bodies and keys must not be logged.
class LogLine {
public:
  LogLine(LogLevel Level, std::string_view Event);
  ~LogLine();
  LogLine(const LogLine &) = delete;
  LogLine &operator=(const LogLine &) = delete;

  LogLine &field(std::string_view Key, std::string_view Value);
  LogLine &field(std::string_view Key, const char *Value) {
    return field(Key, std::string_view(Value));
  }
  LogLine &field(std::string_view Key, bool Value) {
    return field(Key, std::string_view(Value ? "true" : "false"));
  }
  template <class Tag>
  LogLine &field(std::string_view Key, const StringId<Tag> &Id) {
    return field(Key, std::string_view(Id.str()));
  }
  template <class Number, std::enable_if_t<std::is_arithmetic_v<Number> &&
                                               !std::is_same_v<Number, bool>,
                                           int> = 0>
  LogLine &field(std::string_view Key, Number Value) {
    return field(Key, std::string_view(fmt::format("{}", Value)));
  }

private:
  LogLevel m_level;
  bool m_enabled;
  std::string m_text;
};

} // namespace turmericdyke
