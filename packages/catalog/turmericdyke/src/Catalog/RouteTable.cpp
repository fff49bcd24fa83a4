#include "turmericdyke/src/Catalog/RouteTable.h"

#include <algorithm>

#include "absl/strings/ascii.h"

namespace turmericdyke {

namespace internal {
namespace {

std::string hostName(std::string_view Host) {
  std::size_t Colon = Host.rfind(':');
  if (Colon != std::string_view::npos &&
      Host.find(']', Colon) == std::string_view::npos)
    Host = Host.substr(0, Colon);
  std::string Lower(Host);
  absl::AsciiStrToLower(&Lower);
  return Lower;
}

} // namespace
} // namespace internal

RouteTable::RouteTable(Catalog Value) : m_catalog(std::move(Value)) {
  for (const Route &Entry : m_catalog.m_routes)
    m_hosts[internal::hostName(Entry.m_host)].push_back(&Entry);
  for (auto &[Host, Routes] : m_hosts)
    std::sort(Routes.begin(), Routes.end(), [](const Route *A, const Route *B) {
      return A->m_pathPrefix.size() > B->m_pathPrefix.size();
    });
  for (const CustomerEntry &Entry : m_catalog.m_customers)
    for (const std::string &Key : Entry.m_keys)
      m_keys[Key] = &Entry;
}

const Route *RouteTable::find(std::string_view Host,
                              std::string_view Target) const {
  auto Found = m_hosts.find(internal::hostName(Host));
  if (Found == m_hosts.end())
    return nullptr;
  std::string_view Path = Target.substr(0, Target.find('?'));
  for (const Route *Entry : Found->second)
    if (Path.substr(0, Entry->m_pathPrefix.size()) == Entry->m_pathPrefix)
      return Entry;
  return nullptr;
}

const CustomerEntry *RouteTable::customerOf(std::string_view Key) const {
  auto Found = m_keys.find(std::string(Key));
  return Found == m_keys.end() ? nullptr : Found->second;
}

} // namespace turmericdyke
