#include "turmericdyke/src/Base/LogLine.h"

#include <atomic>

#include "absl/strings/escaping.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "turmericdyke/src/Base/LogSink.h"

namespace turmericdyke {

namespace internal {
namespace {

std::atomic<LogLevel> MinLevel{LogLevel::Info};

std::string_view levelName(LogLevel Level) {
  constexpr std::string_view Names[] = {"debug", "info", "warning", "error"};
  return Names[static_cast<int>(Level)];
}

bool needsQuotes(std::string_view Value) {
  if (Value.empty())
    return true;
  for (char C : Value)
    if (C <= ' ' || C == '"' || C == '=' || C == '\\' || C == 0x7f)
      return true;
  return false;
}

} // namespace
} // namespace internal

void setLogLevel(LogLevel Level) { internal::MinLevel = Level; }

LogLine::LogLine(LogLevel Level, std::string_view Event)
    : m_level(Level), m_enabled(Level >= internal::MinLevel.load()) {
  if (!m_enabled)
    return;
  std::string Time = absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(),
                                      absl::UTCTimeZone());
  m_text = fmt::format("time={} level={} event={}", Time,
                       internal::levelName(Level), Event);
}

LogLine::~LogLine() {
  if (!m_enabled)
    return;
  m_text.push_back('\n');
  LogSink::standard().append(m_text, m_level >= LogLevel::Warning);
}

LogLine &LogLine::field(std::string_view Key, std::string_view Value) {
  if (!m_enabled)
    return *this;
  if (internal::needsQuotes(Value))
    m_text += fmt::format(" {}=\"{}\"", Key,
                          absl::CHexEscape({Value.data(), Value.size()}));
  else
    m_text += fmt::format(" {}={}", Key, Value);
  return *this;
}

} // namespace turmericdyke
