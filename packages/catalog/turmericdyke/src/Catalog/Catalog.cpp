#include "turmericdyke/src/Catalog/Catalog.h"

namespace turmericdyke {

std::string_view nameOf(RouteKind Kind) {
  constexpr std::string_view Names[] = {"repeatable", "once_only", "stream"};
  return Names[static_cast<std::size_t>(Kind)];
}

const EngineModel *EngineCosts::model(std::string_view Name) const {
  for (const EngineModel &Model : m_models)
    if (Model.m_name == Name)
      return &Model;
  return nullptr;
}

const ServiceEntry *Catalog::service(const ServiceId &Id) const {
  for (const ServiceEntry &Service : m_services)
    if (Service.m_id == Id)
      return &Service;
  return nullptr;
}

} // namespace turmericdyke
