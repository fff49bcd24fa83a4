#include "turmericdyke/src/Declaration/DeclarationError.h"

#include <fmt/format.h>

namespace turmericdyke {

std::string errorText(const DeclarationError &Error) {
  std::string Place = Error.m_file;
  if (Error.m_line > 0)
    Place += fmt::format(":{}", Error.m_line);
  if (!Place.empty())
    Place += ": ";
  return fmt::format("{}{}: found {}; allowed: {}", Place, Error.m_field,
                     Error.m_found, Error.m_allowed);
}

} // namespace turmericdyke
