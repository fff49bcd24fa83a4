#pragma once

#include <cstdint>
#include <map>

#include <nlohmann/json_fwd.hpp>

#include "turmericdyke/src/Control/Command.h"
#include "turmericdyke/src/Fleet/EvacuationRecord.h"

namespace turmericdyke::internal {

/// The failure domains that operators have ordered to be evacuated. A record
/// stays after the evacuation has ended, so that every node can tell an ended
/// evacuation from one that never was.
class EvacuationTable {
public:
  /// `Index` is the log index of the command. Ending an evacuation that is not
  /// in force changes nothing.
  void apply(const SetEvacuation &Command, std::uint64_t Index);

  const std::map<FailureDomainId, EvacuationRecord> &all() const {
    return m_records;
  }

  nlohmann::json toJson() const;
  /// Throws nlohmann exceptions on invalid content.
  void readJson(const nlohmann::json &Value);

private:
  std::map<FailureDomainId, EvacuationRecord> m_records;
};

} // namespace turmericdyke::internal
