#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Fleet/ModelSpec.h"

namespace turmericdyke {

/// What a target is: a member of a model replica, or a plain service that
/// serves alone.
enum class TargetKind { Model, Service };

/// Life cycle of a target as it reports it. Only a `Ready` target takes work; a
/// `Leaving` one finishes what it has.
enum class TargetState { Idle, Loading, Ready, Draining, Leaving };

/// Work at a target as the engine last reported it, which lags the truth.
struct TargetLoad {
  std::int64_t m_running = 0;
  std::int64_t m_waiting = 0;
  std::int64_t m_runningLong = 0;
  /// Tokens generated per second over the engine's own window.
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

/// The replica that a target holds itself to be part of; empty replica means
/// none.
struct ReplicaMembership {
  ReplicaId m_replica;
  std::uint64_t m_generation = 0;
  std::int64_t m_rank = 0;
};

/// The periodic announcement of a target to a node.
struct TargetAnnouncement {
  TargetId m_target;
  /// Drawn once per start of the target; a higher one replaces a lower one.
  std::uint64_t m_incarnation = 0;
  /// Grows with each announcement of one incarnation, so that late ones are
  /// recognised.
  std::uint64_t m_sequence = 0;
  HostId m_host;
  FabricDomainId m_fabricDomain;
  FailureDomainId m_failureDomain;
  std::int64_t m_accelerators = 0;
  /// IP:port where the target takes requests and orders.
  std::string m_address;
  TargetKind m_kind = TargetKind::Model;
  ServiceId m_service;
  TargetState m_state = TargetState::Idle;
  std::string m_engineBuild;
  ModelSpec m_spec;
  ReplicaMembership m_membership;
  TargetLoad m_load;
  bool m_checksFencing = false;
  std::uint64_t m_highestFence = 0;
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
