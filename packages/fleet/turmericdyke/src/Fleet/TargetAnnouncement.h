#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Fleet/ModelSpec.h"

namespace turmericdyke {

/// Kind of a target: a member of a model replica, or an instance of a plain
/// service, which handles requests on its own.
enum class TargetKind { Model, Service };

/// Life cycle of a target as it reports it. Only a `Ready` target accepts
/// requests; a `Leaving` one finishes those it has.
enum class TargetState { Idle, Loading, Ready, Draining, Leaving };

/// Load of a target as its engine last reported it; the current load may
/// differ.
struct TargetLoad {
  std::int64_t m_running = 0;
  std::int64_t m_waiting = 0;
  std::int64_t m_runningLong = 0;
  /// Tokens generated per second, averaged over the engine's own window.
  double m_tokensPerSecond = 0;
  /// Age of the report when it was sent, in milliseconds.
  std::int64_t m_lagMs = 0;
};

/// One change of the engine's prefix cache. Sequence numbers have gaps when
/// events are lost.
struct CacheEvent {
  std::uint64_t m_sequence = 0;
  /// Hash of the cached prompt prefix, as computed by `prefixHash` of the
  /// routing package.
  std::uint64_t m_prefixHash = 0;
  bool m_evicted = false;
};

/// The replica that a target reports to be a member of; none if `m_replica` is
/// empty.
struct ReplicaMembership {
  ReplicaId m_replica;
  std::uint64_t m_generation = 0;
  std::int64_t m_rank = 0;
};

/// The periodic announcement of a target to a node.
struct TargetAnnouncement {
  TargetId m_target;
  /// Chosen once per start of the target; a higher one supersedes a lower one.
  std::uint64_t m_incarnation = 0;
  /// Increases with each announcement of one incarnation, so that receivers can
  /// detect delayed ones.
  std::uint64_t m_sequence = 0;
  HostId m_host;
  FabricDomainId m_fabricDomain;
  FailureDomainId m_failureDomain;
  std::int64_t m_accelerators = 0;
  /// IP:port where the target accepts requests and orders.
  std::string m_address;
  TargetKind m_kind = TargetKind::Model;
  ServiceId m_service;
  TargetState m_state = TargetState::Idle;
  std::string m_engineBuild;
  ModelSpec m_spec;
  ReplicaMembership m_membership;
  TargetLoad m_load;
  bool m_checksFencing = false;
  std::uint64_t m_highestFencingToken = 0;
  std::vector<CacheEvent> m_cacheEvents;
};

std::string_view nameOf(TargetKind Kind);
std::string_view nameOf(TargetState State);

nlohmann::json toJson(const TargetAnnouncement &Announcement);

/// Reads an announcement. Unknown fields are ignored; wrong types, missing
/// identity, text over 256 bytes and lists over 1024 entries are errors.
Result<TargetAnnouncement, FleetError>
parseTargetAnnouncement(const nlohmann::json &Value);

} // namespace turmericdyke
