#include "turmericdyke/src/Declaration/FieldReader.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "turmericdyke/src/Declaration/Limits.h"

namespace turmericdyke::internal {

struct DurationUnit {
  std::string_view m_name;
  absl::Duration m_length;
};

// Largest first: `durationText` uses the first unit that divides the value.
const DurationUnit DurationUnits[] = {{"h", absl::Hours(1)},
                                      {"m", absl::Minutes(1)},
                                      {"s", absl::Seconds(1)},
                                      {"ms", absl::Milliseconds(1)}};

void ErrorSink::fail(int Line, std::string Field, std::string Found,
                     std::string Allowed) {
  fail(DeclarationError{m_file, Line, std::move(Field), std::move(Found),
                        std::move(Allowed)});
}

void ErrorSink::fail(DeclarationError Error) {
  if (!m_error)
    m_error = std::move(Error);
}

FieldReader::FieldReader(const DocumentNode &Node, std::string Path,
                         absl::Span<const std::string_view> Allowed,
                         ErrorSink &Sink)
    : m_node(Node), m_path(std::move(Path)), m_sink(Sink) {
  if (Node.m_kind != DocumentKind::Map) {
    Sink.fail(Node.m_line, m_path.empty() ? "document" : m_path, describe(Node),
              fmt::format("a map of {}", fmt::join(Allowed, ", ")));
    return;
  }
  for (const DocumentNode &Entry : Node.m_entries)
    if (std::find(Allowed.begin(), Allowed.end(), Entry.m_key) == Allowed.end())
      Sink.fail(Entry.m_line,
                path(Entry.m_key.empty() ? "\"\"" : printable(Entry.m_key)),
                "an unknown field",
                fmt::format("{}", fmt::join(Allowed, ", ")));
}

const DocumentNode *FieldReader::find(std::string_view Field, Presence Need) {
  if (m_sink.error())
    return nullptr;
  for (const DocumentNode &Entry : m_node.m_entries)
    if (Entry.m_key == Field) {
      if (Entry.m_kind != DocumentKind::Null || Need == Presence::Required)
        return &Entry;
      // An optional field without a value is more likely a mistake than a
      // request for the default.
      fail(Field, "no value", "a value, or no such field");
      return nullptr;
    }
  if (Need == Presence::Required)
    fail(Field, "nothing", "the field is required");
  return nullptr;
}

void FieldReader::text(std::string_view Field, std::string &Value,
                       Presence Need) {
  const DocumentNode *Found = find(Field, Need);
  if (Found == nullptr)
    return;
  if (std::optional<std::string> Text = readText(*Found, path(Field), m_sink))
    Value = std::move(*Text);
}

void FieldReader::integer(std::string_view Field, std::int64_t &Value,
                          std::int64_t Min, std::int64_t Max, Presence Need) {
  const DocumentNode *Found = find(Field, Need);
  if (Found == nullptr)
    return;
  bool Typed = Found->m_kind == DocumentKind::Scalar &&
               (Found->m_type == ScalarType::Plain ||
                Found->m_type == ScalarType::Number);
  std::optional<std::int64_t> Number;
  if (Typed)
    Number = parseInteger(Found->m_text);
  if (Number && *Number >= Min && *Number <= Max)
    Value = *Number;
  else
    fail(Field, describe(*Found),
         fmt::format("a whole number from {} to {}", Min, Max));
}

void FieldReader::flag(std::string_view Field, bool &Value, Presence Need) {
  const DocumentNode *Found = find(Field, Need);
  if (Found == nullptr)
    return;
  bool Typed = Found->m_kind == DocumentKind::Scalar &&
               (Found->m_type == ScalarType::Plain ||
                Found->m_type == ScalarType::Boolean);
  if (Typed && (Found->m_text == "true" || Found->m_text == "false"))
    Value = Found->m_text == "true";
  else
    fail(Field, describe(*Found), "true or false");
}

void FieldReader::duration(std::string_view Field, absl::Duration &Value,
                           Presence Need) {
  const DocumentNode *Found = find(Field, Need);
  if (Found == nullptr)
    return;
  std::optional<absl::Duration> Duration;
  if (Found->m_kind == DocumentKind::Scalar)
    Duration = parseDuration(Found->m_text);
  if (Duration && *Duration >= MinDeadline && *Duration <= MaxDeadline)
    Value = *Duration;
  else
    fail(Field, describe(*Found),
         fmt::format("a duration from {} to {} such as 500ms, 10s or 5m",
                     durationText(MinDeadline), durationText(MaxDeadline)));
}

const DocumentNode *FieldReader::list(std::string_view Field, Presence Need) {
  const DocumentNode *Found = find(Field, Need);
  if (Found == nullptr)
    return nullptr;
  if (Found->m_kind != DocumentKind::List) {
    fail(Field, describe(*Found), "a list");
    return nullptr;
  }
  if (Found->m_entries.size() > MaxListEntries) {
    fail(Field, fmt::format("{} entries", Found->m_entries.size()),
         fmt::format("at most {} entries", MaxListEntries));
    return nullptr;
  }
  return Found;
}

const DocumentNode *FieldReader::map(std::string_view Field, Presence Need) {
  const DocumentNode *Found = find(Field, Need);
  if (Found == nullptr)
    return nullptr;
  if (Found->m_kind != DocumentKind::Map) {
    fail(Field, describe(*Found), "a map");
    return nullptr;
  }
  return Found;
}

std::string FieldReader::path(std::string_view Field) const {
  return m_path.empty() ? std::string(Field)
                        : fmt::format("{}.{}", m_path, Field);
}

int FieldReader::line(std::string_view Field) const {
  for (const DocumentNode &Entry : m_node.m_entries)
    if (Entry.m_key == Field)
      return Entry.m_line;
  return m_node.m_line;
}

void FieldReader::fail(std::string_view Field, std::string Found,
                       std::string Allowed) {
  m_sink.fail(line(Field), path(Field), std::move(Found), std::move(Allowed));
}

std::optional<std::string> readText(const DocumentNode &Node,
                                    const std::string &Path, ErrorSink &Sink) {
  bool Typed =
      Node.m_kind == DocumentKind::Scalar &&
      (Node.m_type == ScalarType::Plain || Node.m_type == ScalarType::Text);
  if (!Typed || Node.m_text.empty()) {
    Sink.fail(Node.m_line, Path, describe(Node),
              fmt::format("text of 1 to {} bytes", MaxTextBytes));
    return std::nullopt;
  }
  return readScalarText(Node, Path, Sink);
}

std::optional<std::string> readScalarText(const DocumentNode &Node,
                                          const std::string &Path,
                                          ErrorSink &Sink) {
  bool Printable =
      std::all_of(Node.m_text.begin(), Node.m_text.end(), [](char C) {
        return absl::ascii_isprint(static_cast<unsigned char>(C));
      });
  if (Node.m_kind == DocumentKind::Scalar && Printable &&
      Node.m_text.size() <= MaxTextBytes)
    return Node.m_text;
  Sink.fail(Node.m_line, Path, describe(Node),
            fmt::format("at most {} bytes of printable ASCII", MaxTextBytes));
  return std::nullopt;
}

std::string describe(const DocumentNode &Node) {
  switch (Node.m_kind) {
  case DocumentKind::Null:
    return "no value";
  case DocumentKind::List:
    return "a list";
  case DocumentKind::Map:
    return "a map";
  case DocumentKind::Scalar:
    break;
  }
  if (Node.m_text.size() > MaxTextBytes)
    return fmt::format("{} bytes of text", Node.m_text.size());
  return Node.m_type == ScalarType::Text ? "the text " + quotedText(Node.m_text)
                                         : quotedText(Node.m_text);
}

std::optional<std::int64_t> parseInteger(std::string_view Text) {
  std::int64_t Value = 0;
  if (!absl::SimpleAtoi(absl::string_view(Text.data(), Text.size()), &Value) ||
      fmt::format("{}", Value) != Text)
    return std::nullopt;
  return Value;
}

std::optional<absl::Duration> parseDuration(std::string_view Text) {
  std::size_t Digits =
      std::min(Text.find_first_not_of("0123456789"), Text.size());
  std::optional<std::int64_t> Count = parseInteger(Text.substr(0, Digits));
  if (!Count)
    return std::nullopt;
  for (const DurationUnit &Unit : DurationUnits)
    if (Unit.m_name == Text.substr(Digits))
      return *Count * Unit.m_length;
  return std::nullopt;
}

std::string durationText(absl::Duration Value) {
  for (const DurationUnit &Unit : DurationUnits)
    if (Value % Unit.m_length == absl::ZeroDuration())
      return fmt::format("{}{}", Value / Unit.m_length, Unit.m_name);
  return fmt::format("{}ms", absl::ToInt64Milliseconds(Value));
}

} // namespace turmericdyke::internal
