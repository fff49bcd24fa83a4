#pragma once

#include <string>

namespace turmericdyke {

/// Why a command or a snapshot could not be decoded: the field as a JSON
/// pointer and the problem.
struct ControlError {
  std::string m_field;
  std::string m_message;
};

} // namespace turmericdyke
