#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Fleet/ModelSpec.h"

namespace turmericdyke {

/// One member of an assignment. The incarnation identifies the start of the
/// target to which the assignment applies.
struct AssignedMember {
  TargetId m_target;
  HostId m_host;
  std::uint64_t m_incarnation = 0;

  friend bool operator==(const AssignedMember &,
                         const AssignedMember &) = default;
};

/// `Active` assignments may serve requests; `Ending` ones accept no new
/// requests and are removed once their members are released.
enum class AssignmentPhase { Active, Ending };

/// The replicated record that assigns hosts to a replica. Members are in rank
/// order; rank 0 is the head, which receives the requests. The generation
/// increases with each change of members.
struct Assignment {
  ReplicaId m_replica;
  std::uint64_t m_generation = 0;
  /// The pool the replica belongs to: all customers with equal resolved model
  /// settings share one pool.
  std::string m_pool;
  ModelSpec m_spec;
  FabricDomainId m_fabricDomain;
  FailureDomainId m_failureDomain;
  AssignmentPhase m_phase = AssignmentPhase::Active;
  std::vector<AssignedMember> m_members;
  /// Engine build that every member must report; empty until the replica has
  /// formed completely for the first time.
  std::string m_acceptedBuild;

  friend bool operator==(const Assignment &, const Assignment &) = default;
};

nlohmann::json toJson(const Assignment &Value);
Result<Assignment, FleetError> parseAssignment(const nlohmann::json &Value);

} // namespace turmericdyke
