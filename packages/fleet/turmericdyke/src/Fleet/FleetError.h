#pragma once

#include <string>

namespace turmericdyke {

/// Why a fleet message was refused: the field in JSON pointer form, and what is
/// wrong with it.
struct FleetError {
  std::string m_field;
  std::string m_message;
};

} // namespace turmericdyke
