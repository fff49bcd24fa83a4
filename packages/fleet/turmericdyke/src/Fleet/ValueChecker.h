#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <type_traits>

#include "turmericdyke/src/Fleet/FleetError.h"

namespace turmericdyke::internal {

/// Checks the ranges of values and keeps the first error.
class ValueChecker {
public:
  /// At most `MaxNameBytes`; may be empty.
  ValueChecker &name(std::string_view Field, std::string_view Text);
  ValueChecker &requiredName(std::string_view Field, std::string_view Text);
  /// A required name that can be sent in a header field: printable ASCII
  /// without spaces.
  ValueChecker &headerText(std::string_view Field, std::string_view Text);
  /// IP:port of a server that can be connected to.
  ValueChecker &address(std::string_view Field, std::string_view Text);
  /// 0 to `Max`. A negative value counts as too large.
  template <class Integer>
  ValueChecker &number(std::string_view Field, Integer Value,
                       std::uint64_t Max) {
    static_assert(std::is_integral_v<Integer>);
    return atMost(Field, static_cast<std::uint64_t>(Value), Max);
  }

  const std::optional<FleetError> &error() const { return m_error; }

private:
  ValueChecker &atMost(std::string_view Field, std::uint64_t Value,
                       std::uint64_t Max);
  ValueChecker &check(bool Valid, std::string_view Field,
                      std::string_view Message);

  std::optional<FleetError> m_error;
};

} // namespace turmericdyke::internal
