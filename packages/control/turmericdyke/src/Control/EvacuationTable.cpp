#include "turmericdyke/src/Control/EvacuationTable.h"

#include <string>
#include <utility>

#include <nlohmann/json.hpp>

namespace turmericdyke::internal {

void EvacuationTable::apply(const SetEvacuation &Command, std::uint64_t Index) {
  auto Found = m_records.find(Command.m_failureDomain);
  bool InForce = Found != m_records.end() && Found->second.m_inForce;
  if (InForce != Command.m_evacuated)
    m_records[Command.m_failureDomain] = {Command.m_evacuated, Index};
}

nlohmann::json EvacuationTable::toJson() const {
  nlohmann::json List = nlohmann::json::array();
  for (const auto &[Domain, Record] : m_records)
    List.push_back({{"failure_domain", Domain.str()},
                    {"in_force", Record.m_inForce},
                    {"changed_at", Record.m_changedAt}});
  return List;
}

void EvacuationTable::readJson(const nlohmann::json &Value) {
  for (const nlohmann::json &Entry : Value) {
    EvacuationRecord Record;
    Record.m_inForce = Entry.at("in_force");
    Record.m_changedAt = Entry.at("changed_at");
    FailureDomainId Domain(Entry.at("failure_domain").get<std::string>());
    m_records.insert_or_assign(std::move(Domain), Record);
  }
}

} // namespace turmericdyke::internal
