#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "turmericdyke/src/Catalog/Catalog.h"

namespace turmericdyke {

/// A catalog with the indexes for looking up routes and keys. Immutable.
class RouteTable {
public:
  explicit RouteTable(Catalog Value);

  const Catalog &catalog() const { return m_catalog; }
  /// Returns the route of this host with the longest prefix of the path; null
  /// if there is none. `Target` may carry a query. The case of the host and a
  /// port in it are ignored.
  const Route *find(std::string_view Host, std::string_view Target) const;
  /// Null if no customer holds the key.
  const CustomerEntry *customerOf(std::string_view Key) const;

private:
  Catalog m_catalog;
  /// Routes by host, those with the longest prefix first.
  absl::flat_hash_map<std::string, std::vector<const Route *>> m_hosts;
  absl::flat_hash_map<std::string, const CustomerEntry *> m_keys;
};

} // namespace turmericdyke
