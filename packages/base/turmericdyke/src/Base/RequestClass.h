#pragma once

#include <string_view>

namespace turmericdyke {

/// Long requests run many times longer than the rest, so routing and admission
/// count them separately and limit the slots that they occupy.
enum class RequestClass { Short, Long };

/// `short` or `long`, as in metrics.
constexpr std::string_view nameOf(RequestClass Value) {
  return Value == RequestClass::Short ? "short" : "long";
}

} // namespace turmericdyke
