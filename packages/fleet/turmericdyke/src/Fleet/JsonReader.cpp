#include "turmericdyke/src/Fleet/JsonReader.h"

#include <cmath>
#include <limits>

#include <fmt/format.h>

#include "turmericdyke/src/Fleet/ServerAnnouncement.h"

namespace turmericdyke::internal {

// Announcements and orders carry identifiers, not content. The limits prevent a
// malicious sender from exhausting memory.
constexpr std::size_t MaxTextBytes = MaxNameBytes;
constexpr std::size_t MaxListEntries = 1024;

JsonReader::JsonReader(const nlohmann::json &Object) : m_object(Object) {
  if (!m_object.is_object())
    fail("", "is not an object");
}

const nlohmann::json *JsonReader::find(const char *Field) {
  if (m_error)
    return nullptr;
  auto Found = m_object.find(Field);
  return Found == m_object.end() ? nullptr : &*Found;
}

JsonReader &JsonReader::text(const char *Field, std::string &Value,
                             bool Required) {
  const nlohmann::json *Found = find(Field);
  if (Found == nullptr) {
    if (Required)
      fail(Field, "is missing");
    return *this;
  }
  if (!Found->is_string())
    fail(Field, "is not text");
  else if (Found->get_ref<const std::string &>().size() > MaxTextBytes)
    fail(Field, "is longer than 256 bytes");
  else if (Required && Found->get_ref<const std::string &>().empty())
    fail(Field, "is empty");
  else
    Value = Found->get<std::string>();
  return *this;
}

JsonReader &JsonReader::number(const char *Field, std::uint64_t &Value) {
  const nlohmann::json *Found = find(Field);
  if (Found == nullptr)
    return *this;
  if (!Found->is_number_unsigned())
    fail(Field, "is not a whole number of 0 or more");
  else
    Value = Found->get<std::uint64_t>();
  return *this;
}

JsonReader &JsonReader::number(const char *Field, std::int64_t &Value) {
  const nlohmann::json *Found = find(Field);
  if (Found == nullptr)
    return *this;
  if (!Found->is_number_integer())
    fail(Field, "is not a whole number");
  else if (Found->is_number_unsigned() &&
           Found->get<std::uint64_t>() >
               std::uint64_t{std::numeric_limits<std::int64_t>::max()})
    fail(Field, "is too large");
  else
    Value = Found->get<std::int64_t>();
  return *this;
}

JsonReader &JsonReader::real(const char *Field, double &Value) {
  const nlohmann::json *Found = find(Field);
  if (Found == nullptr)
    return *this;
  if (!Found->is_number() || !std::isfinite(Found->get<double>()))
    fail(Field, "is not a finite number");
  else
    Value = Found->get<double>();
  return *this;
}

JsonReader &JsonReader::flag(const char *Field, bool &Value) {
  const nlohmann::json *Found = find(Field);
  if (Found == nullptr)
    return *this;
  if (!Found->is_boolean())
    fail(Field, "is not true or false");
  else
    Value = Found->get<bool>();
  return *this;
}

const nlohmann::json *JsonReader::list(const char *Field) {
  const nlohmann::json *Found = find(Field);
  if (Found == nullptr)
    return nullptr;
  if (!Found->is_array()) {
    fail(Field, "is not a list");
    return nullptr;
  }
  if (Found->size() > MaxListEntries) {
    fail(Field, "has more than 1024 entries");
    return nullptr;
  }
  return Found;
}

const nlohmann::json *JsonReader::object(const char *Field) {
  const nlohmann::json *Found = find(Field);
  if (Found != nullptr && !Found->is_object()) {
    fail(Field, "is not an object");
    return nullptr;
  }
  return Found;
}

void JsonReader::fail(std::string_view Field, std::string_view Message) {
  if (!m_error)
    m_error = FleetError{fmt::format("/{}", Field), std::string(Message)};
}

void JsonReader::fail(std::string_view Field, const FleetError &Inner) {
  if (!m_error)
    m_error =
        FleetError{fmt::format("/{}{}", Field, Inner.m_field), Inner.m_message};
}

} // namespace turmericdyke::internal
