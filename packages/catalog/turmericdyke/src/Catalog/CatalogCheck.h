#pragma once

#include <optional>
#include <string>

namespace turmericdyke {

struct Catalog;

/// Why a catalog cannot be put in force: the place, and what is wrong there.
struct CatalogError {
  std::string m_place;
  std::string m_message;
};

/// The first fault of a catalog; nothing if it is sound. A catalog is put in
/// force as a whole or not at all.
std::optional<CatalogError> findFault(const Catalog &Value);

} // namespace turmericdyke
