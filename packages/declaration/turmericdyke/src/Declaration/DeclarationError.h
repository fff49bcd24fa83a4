#pragma once

#include <string>

namespace turmericdyke {

/// Why a declaration was rejected: where, what was found and what is allowed.
/// The line is 0 when the declaration did not come from a file.
struct DeclarationError {
  std::string m_file;
  int m_line = 0;
  /// Path of the field, for example `customers[acme].capacity`.
  std::string m_field;
  std::string m_found;
  std::string m_allowed;
};

/// The error as one line: `FILE:LINE: FIELD: found X; allowed: Y`.
std::string errorText(const DeclarationError &Error);

} // namespace turmericdyke
