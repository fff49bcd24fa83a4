#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Fleet/EvacuationRecord.h"

namespace turmericdyke {

struct ServerAnnouncement;

/// Decides which servers may be used: given requests, members and weights. The
/// servers of a failure domain that operators have ordered to be evacuated may
/// not, until the evacuation ends.
class EvacuatedDomains {
public:
  /// Takes over the replicated records. `Now` counts as the end of each
  /// evacuation that these show as ended for the first time; a node that starts
  /// after the end therefore states a later end, never an earlier one. Returns
  /// the failure domains whose evacuation has started or ended.
  std::vector<FailureDomainId>
  update(Instant Now,
         const std::map<FailureDomainId, EvacuationRecord> &Records);

  bool contains(const FailureDomainId &Domain) const;
  bool mayUse(const ServerAnnouncement &Server) const;
  /// When the last evacuation of the failure domain ended, on the monotonic
  /// clock of this node; nothing if it is evacuated or never was.
  std::optional<Instant> endedAt(const FailureDomainId &Domain) const;
  /// Number of failure domains that are evacuated.
  std::size_t size() const;

private:
  struct Domain {
    EvacuationRecord m_record;
    Instant m_changed;
  };

  std::map<FailureDomainId, Domain> m_domains;
};

} // namespace turmericdyke
