#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "turmericdyke/src/Control/CommandResult.h"

namespace turmericdyke::internal {

/// The assignments, and the hosts that a repair removed but that are not yet
/// released. A host or target is either in one assignment or departing.
class AssignmentTable {
public:
  CommandResult apply(const SetAssignment &Command);
  CommandResult apply(const RemoveAssignment &Command);
  CommandResult apply(const AcceptBuild &Command);
  CommandResult apply(const ReleaseHost &Command);

  std::shared_ptr<const Assignment> find(const ReplicaId &Replica) const;
  std::shared_ptr<const Assignment> findByHost(const HostId &Host) const;
  const std::map<ReplicaId, std::shared_ptr<const Assignment>> &all() const {
    return m_assignments;
  }
  const std::map<HostId, DepartingMember> &departing() const {
    return m_departing;
  }

  /// For tests: disables the check that hosts are free.
  void skipHostCheck() { m_skipHostCheck = true; }

  nlohmann::json toJson() const;
  /// Throws nlohmann exceptions or returns false on invalid content.
  bool readJson(const nlohmann::json &Value);

private:
  CommandResult checkMembers(const Assignment &Value) const;
  bool isOccupied(const AssignedMember &Member, const ReplicaId &By) const;
  void store(std::shared_ptr<const Assignment> Value);
  void erase(const Assignment &Value);

  std::map<ReplicaId, std::shared_ptr<const Assignment>> m_assignments;
  std::map<HostId, ReplicaId> m_byHost;
  std::map<TargetId, ReplicaId> m_byTarget;
  std::map<HostId, DepartingMember> m_departing;
  bool m_skipHostCheck = false;
};

} // namespace turmericdyke::internal
