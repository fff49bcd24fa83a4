#pragma once

#include <string>

namespace turmericdyke {

/// Why a command or a snapshot could not be read: the field in JSON pointer
/// form, and what is wrong with it.
struct ControlError {
  std::string m_field;
  std::string m_message;
};

} // namespace turmericdyke
