#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "turmericdyke/src/Declaration/Document.h"

namespace turmericdyke::internal {

/// Keeps the first error of a declaration that is read from several files.
class ErrorSink {
public:
  void setFile(std::string_view FileName) { m_file = FileName; }
  const std::string &file() const { return m_file; }
  void fail(int Line, std::string Field, std::string Found,
            std::string Allowed);
  void fail(DeclarationError Error);
  const std::optional<DeclarationError> &error() const { return m_error; }

private:
  std::string m_file;
  std::optional<DeclarationError> m_error;
};

/// Whether a field must be present.
enum class Presence { Required, Optional };

/// Reads the fields of one map. The constructor refuses fields other than
/// `Allowed`. Each function leaves its value unchanged if the field is absent
/// or an error was found, and reports invalid values to the sink.
class FieldReader {
public:
  FieldReader(const DocumentNode &Node, std::string Path,
              absl::Span<const std::string_view> Allowed, ErrorSink &Sink);

  /// Printable ASCII of 1 to 256 bytes.
  void text(std::string_view Field, std::string &Value, Presence Need);
  void integer(std::string_view Field, std::int64_t &Value, std::int64_t Min,
               std::int64_t Max, Presence Need);
  void flag(std::string_view Field, bool &Value, Presence Need);
  /// A whole number with one of the units ms, s, m, h.
  void duration(std::string_view Field, absl::Duration &Value, Presence Need);
  /// The list or map under `Field`; null if it is absent or invalid.
  const DocumentNode *list(std::string_view Field, Presence Need);
  const DocumentNode *map(std::string_view Field, Presence Need);
  /// The value under `Field`, of any kind; a null pointer if the field is
  /// absent or an error was found. An optional field with a null value is an
  /// error.
  const DocumentNode *find(std::string_view Field, Presence Need);

  std::string path(std::string_view Field) const;
  int line(std::string_view Field) const;
  void fail(std::string_view Field, std::string Found, std::string Allowed);

private:
  const DocumentNode &m_node;
  std::string m_path;
  ErrorSink &m_sink;
};

/// Reads a scalar as text, whether it was quoted or not; JSON numbers and
/// booleans are rejected.
std::optional<std::string> readText(const DocumentNode &Node,
                                    const std::string &Path, ErrorSink &Sink);

/// Reads the text of a scalar of any type as written: at most 256 bytes of
/// printable ASCII, possibly empty.
std::optional<std::string> readScalarText(const DocumentNode &Node,
                                          const std::string &Path,
                                          ErrorSink &Sink);

/// Describes a value for error messages.
std::string describe(const DocumentNode &Node);

/// Parses a whole number as `std::to_string` writes it.
std::optional<std::int64_t> parseInteger(std::string_view Text);

/// Parses a duration such as `500ms`.
std::optional<absl::Duration> parseDuration(std::string_view Text);

/// Formats a duration of whole milliseconds in the largest unit that divides
/// it.
std::string durationText(absl::Duration Value);

} // namespace turmericdyke::internal
