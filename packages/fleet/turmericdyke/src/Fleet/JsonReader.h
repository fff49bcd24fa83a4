#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Fleet/FleetError.h"

namespace turmericdyke::internal {

/// Reads fields of one JSON object and keeps the first error. Absent fields
/// leave the value unchanged unless they are required.
class JsonReader {
public:
  explicit JsonReader(const nlohmann::json &Object);

  JsonReader &text(const char *Field, std::string &Value,
                   bool Required = false);
  JsonReader &number(const char *Field, std::uint64_t &Value);
  JsonReader &number(const char *Field, std::int64_t &Value);
  JsonReader &real(const char *Field, double &Value);
  JsonReader &flag(const char *Field, bool &Value);
  template <class Tag>
  JsonReader &id(const char *Field, StringId<Tag> &Value,
                 bool Required = false) {
    std::string Text = Value.str();
    text(Field, Text, Required);
    Value = StringId<Tag>(std::move(Text));
    return *this;
  }
  /// Reads one of `Names`; the enumerators must be numbered from 0 in the order
  /// of the names.
  template <class Enum, std::size_t N>
  JsonReader &choice(const char *Field, Enum &Value,
                     const std::string_view (&Names)[N]) {
    std::string Text(Names[static_cast<std::size_t>(Value)]);
    text(Field, Text);
    for (std::size_t Index = 0; Index < N; ++Index)
      if (Names[Index] == Text) {
        Value = static_cast<Enum>(Index);
        return *this;
      }
    fail(Field, "is not one of the allowed names");
    return *this;
  }
  /// The array under `Field`, or null if it is absent or an error was found.
  const nlohmann::json *list(const char *Field);
  /// The object under `Field`, or null if it is absent or an error was found.
  const nlohmann::json *object(const char *Field);

  void fail(std::string_view Field, std::string_view Message);
  void fail(std::string_view Field, const FleetError &Inner);
  const std::optional<FleetError> &error() const { return m_error; }

private:
  const nlohmann::json *find(const char *Field);

  const nlohmann::json &m_object;
  std::optional<FleetError> m_error;
};

} // namespace turmericdyke::internal
