#pragma once

#include <optional>
#include <string>

namespace turmericdyke {

struct Catalog;

/// Why a catalog is invalid: the part that has the error, and a description.
struct CatalogError {
  std::string m_place;
  std::string m_message;
};

/// Returns the first error of a catalog, or nothing if it is valid. A catalog
/// is put in force as a whole or not at all.
std::optional<CatalogError> validateCatalog(const Catalog &Value);

} // namespace turmericdyke
