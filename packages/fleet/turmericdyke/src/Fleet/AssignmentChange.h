#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Fleet/Assignment.h"

namespace turmericdyke {

/// Creates or replaces an assignment. `m_expectedGeneration` is the generation
/// of the record that it replaces, 0 for a new replica.
struct SetAssignment {
  Assignment m_assignment;
  std::uint64_t m_expectedGeneration = 0;

  friend bool operator==(const SetAssignment &,
                         const SetAssignment &) = default;
};

/// Removes an `Ending` assignment. The planner proposes this once all members
/// are released; from then on the hosts can be assigned to other replicas.
struct RemoveAssignment {
  ReplicaId m_replica;
  std::uint64_t m_expectedGeneration = 0;

  friend bool operator==(const RemoveAssignment &,
                         const RemoveAssignment &) = default;
};

/// Sets the engine build that every member of a replica must report.
struct AcceptBuild {
  ReplicaId m_replica;
  std::uint64_t m_expectedGeneration = 0;
  std::string m_build;

  friend bool operator==(const AcceptBuild &, const AcceptBuild &) = default;
};

/// Frees a host that a repair removed from its replica. Until then the host
/// counts as occupied.
struct ReleaseHost {
  HostId m_host;
  ReplicaId m_replica;
  /// Generation that the member belonged to.
  std::uint64_t m_generation = 0;

  friend bool operator==(const ReleaseHost &, const ReleaseHost &) = default;
};

/// A change of the assignments, appended to the replicated log by the leader's
/// planner.
using AssignmentChange =
    std::variant<SetAssignment, RemoveAssignment, AcceptBuild, ReleaseHost>;

/// A member that a repair removed from a replica and that is not yet released.
struct DepartingMember {
  AssignedMember m_member;
  ReplicaId m_replica;
  /// Last generation that the member belonged to.
  std::uint64_t m_generation = 0;

  friend bool operator==(const DepartingMember &,
                         const DepartingMember &) = default;
};

} // namespace turmericdyke
