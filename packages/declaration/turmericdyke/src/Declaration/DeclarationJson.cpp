#include <nlohmann/json.hpp>

#include "turmericdyke/src/Declaration/DeclarationJson.h"
#include "turmericdyke/src/Declaration/DeclarationParser.h"
#include "turmericdyke/src/Declaration/FieldReader.h"

namespace turmericdyke {

namespace internal {

nlohmann::json templateJson(const ModelTemplate &Template) {
  nlohmann::json Value = nlohmann::json::object();
  for (const auto &[Field, Text] : Template.m_fields)
    Value[Field] = Text;
  Value["adapters"] = Template.m_adapters;
  nlohmann::json &Parameters = Value["parameters"] = nlohmann::json::object();
  for (const TemplateParameter &Parameter : Template.m_parameters) {
    nlohmann::json &Entry = Parameters[Parameter.m_name] =
        nlohmann::json::object();
    if (Parameter.m_hasDefault)
      Entry["default"] = Parameter.m_default;
  }
  return Value;
}

nlohmann::json serviceJson(const PlainService &Service) {
  nlohmann::json Operations = nlohmann::json::object();
  for (const ServiceOperation &Operation : Service.m_operations) {
    nlohmann::json &Entry = Operations[Operation.m_name];
    Entry = {{"method", Operation.m_method},
             {"path", Operation.m_path},
             {"repeatable", Operation.m_repeatable}};
    if (!Operation.m_statusPath.empty())
      Entry["status_path"] = Operation.m_statusPath;
  }
  return {{"operations", std::move(Operations)},
          {"deadline", durationText(Service.m_deadline)}};
}

nlohmann::json customerJson(const Customer &Declared) {
  nlohmann::json Services = nlohmann::json::array();
  for (const ServiceId &Service : Declared.m_services)
    Services.push_back(Service.str());
  return {{"template", Declared.m_template.str()},
          {"parameters", Declared.m_parameters},
          {"key_hashes", Declared.m_keyHashes},
          {"capacity", Declared.m_capacity},
          {"capacity_limit", Declared.m_capacityLimit},
          {"rank", Declared.m_rank},
          {"first_token_deadline", durationText(Declared.m_firstTokenDeadline)},
          {"deadline", durationText(Declared.m_deadline)},
          {"long_tokens", Declared.m_longTokens},
          {"services", std::move(Services)}};
}

nlohmann::json declarationTree(const Declaration &Declared) {
  nlohmann::json Templates = nlohmann::json::object();
  for (const auto &[Id, Template] : Declared.m_templates)
    Templates[Id.str()] = templateJson(Template);
  nlohmann::json Customers = nlohmann::json::object();
  for (const auto &[Id, Entry] : Declared.m_customers)
    Customers[Id.str()] = customerJson(Entry);
  nlohmann::json Services = nlohmann::json::object();
  for (const auto &[Id, Service] : Declared.m_services)
    Services[Id.str()] = serviceJson(Service);
  return {{"templates", std::move(Templates)},
          {"customers", std::move(Customers)},
          {"services", std::move(Services)}};
}

} // namespace internal

std::string declarationJson(const Declaration &Declared) {
  // Parsed declarations hold printable ASCII only. The error handler keeps
  // `dump` from throwing for declarations that were built in code.
  return internal::declarationTree(Declared).dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace turmericdyke
