#include "turmericdyke/src/Catalog/CatalogValidation.h"

#include <map>
#include <set>
#include <string_view>
#include <utility>

#include "turmericdyke/src/Catalog/Catalog.h"
#include "turmericdyke/src/Fleet/ServerAnnouncement.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr double MaxColdPerSecond = 1e6;

std::optional<CatalogError> validateRoute(const Route &Value) {
  std::string Place = "route " + Value.m_name;
  if (Value.m_pathPrefix.empty() || Value.m_pathPrefix.front() != '/' ||
      Value.m_pathPrefix.back() != '/')
    return CatalogError{Place, "the prefix does not begin and end with '/'"};
  if (Value.m_timeout <= absl::ZeroDuration())
    return CatalogError{Place, "the time limit is not above 0"};
  if (Value.m_maxAttempts < 1)
    return CatalogError{Place, "no attempt is allowed"};
  std::uint64_t Sum = 0;
  for (const WeightedService &Part : Value.m_services)
    Sum += Part.m_weight;
  if (Sum == 0)
    return CatalogError{Place, "the weights add up to 0"};
  return std::nullopt;
}

std::optional<CatalogError> validateRoutes(const Catalog &Value) {
  std::set<std::pair<std::string_view, std::string_view>> HostPrefixes;
  for (const Route &Entry : Value.m_routes) {
    if (std::optional<CatalogError> Error = validateRoute(Entry))
      return Error;
    if (!HostPrefixes.emplace(Entry.m_host, Entry.m_pathPrefix).second)
      return CatalogError{"route " + Entry.m_name,
                          "another route has the same host and prefix"};
    for (const WeightedService &Part : Entry.m_services)
      if (Value.service(Part.m_service) == nullptr)
        return CatalogError{"route " + Entry.m_name,
                            "unknown service " + Part.m_service.str()};
  }
  return std::nullopt;
}

std::optional<CatalogError> validateCustomers(const Catalog &Value) {
  std::map<std::string_view, const CustomerEntry *> Holders;
  for (const CustomerEntry &Entry : Value.m_customers)
    for (const std::string &Key : Entry.m_keys)
      if (Holders.emplace(Key, &Entry).first->second != &Entry)
        return CatalogError{"customer " + Entry.m_id.str(),
                            "another customer holds one of the keys"};
  return std::nullopt;
}

std::optional<CatalogError> validateServices(const Catalog &Value) {
  std::set<std::string_view> Names;
  for (const ServiceEntry &Entry : Value.m_services) {
    if (Entry.m_id.empty() || !Names.insert(Entry.m_id.str()).second)
      return CatalogError{"service " + Entry.m_id.str(),
                          "the name is empty or taken"};
    if (Entry.m_coldStart < absl::ZeroDuration() ||
        Entry.m_coldStart > ServerAnnouncement::MaxColdTime ||
        !(Entry.m_coldPerSecond >= 0 &&
          Entry.m_coldPerSecond <= MaxColdPerSecond))
      return CatalogError{"service " + Entry.m_id.str(),
                          "the cold time or rate is below 0 or too large"};
    if (!Entry.m_engine)
      continue;
    if (Entry.m_engine->m_slots < 0 ||
        Entry.m_engine->m_slots > ServerAnnouncement::MaxSlots)
      return CatalogError{"service " + Entry.m_id.str(),
                          "the slots are below 0 or too many"};
    for (const EngineModel &Model : Entry.m_engine->m_models) {
      if (Model.m_members < 1 || Model.m_pace <= 0)
        return CatalogError{"model " + Model.m_name,
                            "size or pace is not above 0"};
      if (Model.m_members > GroupMembership::MaxMembers)
        return CatalogError{"model " + Model.m_name, "the size is too large"};
    }
  }
  return std::nullopt;
}

} // namespace
} // namespace internal

std::optional<CatalogError> validateCatalog(const Catalog &Value) {
  if (std::optional<CatalogError> Error = internal::validateServices(Value))
    return Error;
  if (std::optional<CatalogError> Error = internal::validateRoutes(Value))
    return Error;
  return internal::validateCustomers(Value);
}

} // namespace turmericdyke
