#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// What may be done with a request after an attempt whose end is unknown.
enum class RouteKind {
  /// May run more than once.
  Repeatable,
  /// Runs at most once for each request of a caller.
  OnceOnly,
  /// Answers with events. Repeatable only if the route is resumable, and then
  /// from the last event on.
  Stream
};

std::string_view nameOf(RouteKind Kind);

struct WeightedService {
  ServiceId m_service;
  std::uint32_t m_weight = 0;
};

/// Where requests of one host and path prefix go.
struct Route {
  std::string m_name;
  std::string m_host;
  /// Begins and ends with a slash.
  std::string m_pathPrefix;
  RouteKind m_kind = RouteKind::Repeatable;
  /// Longest time that a request may be kept without a final answer.
  absl::Duration m_timeout = absl::Seconds(10);
  /// First byte of the answer, or first event of a stream.
  absl::Duration m_latencyObjective = absl::InfiniteDuration();
  /// Longest pause between events of a stream.
  absl::Duration m_pauseObjective = absl::InfiniteDuration();
  /// 0 is the most urgent.
  std::int64_t m_priority = 0;
  std::vector<WeightedService> m_services;
  /// Servers that one request may be sent to.
  std::int64_t m_maxAttempts = 1;
  /// No key is asked for.
  bool m_public = false;
  bool m_resumable = false;
};

/// A model that an engine service can run, and what a replica of it costs.
struct EngineModel {
  std::string m_name;
  /// Members of a replica.
  std::size_t m_members = 1;
  /// Expected share of the service's work.
  double m_share = 1;
  /// Factor on all of the replica's times.
  double m_pace = 1;
  /// From the weight store, and from the host's own copy.
  absl::Duration m_loadTime = absl::ZeroDuration();
  absl::Duration m_warmTime = absl::ZeroDuration();
};

/// The published costs of a service's engines.
struct EngineCosts {
  /// Requests that a replica runs at a time.
  std::int64_t m_slots = 1;
  std::int64_t m_memoryTokens = 0;
  /// Token steps in a pass.
  std::int64_t m_stepsPerPass = 1;
  absl::Duration m_stepTime = absl::ZeroDuration();
  absl::Duration m_stepTimePerRequest = absl::ZeroDuration();
  /// For each 1,000 tokens of context.
  absl::Duration m_stepTimePerContext = absl::ZeroDuration();
  double m_promptTokensPerSecond = 1;
  /// Most prompt tokens read in one step.
  std::int64_t m_promptChunk = 1;
  absl::Duration m_openTime = absl::ZeroDuration();
  double m_loadsPerSecond = 1;
  std::int64_t m_loadsAtOnce = 1;
  std::int64_t m_usualPromptTokens = 0;
  std::int64_t m_usualAnswerTokens = 0;
  std::vector<EngineModel> m_models;

  /// Null if the service does not have the model.
  const EngineModel *model(std::string_view Name) const;
};

struct ServiceEntry {
  ServiceId m_id;
  std::string m_healthPath;
  /// Connections that one server takes from all callers together.
  std::int64_t m_maxConnections = 0;
  /// Set if the servers are engines whose replicas span several hosts.
  std::optional<EngineCosts> m_engine;
};

struct CustomerEntry {
  CustomerId m_id;
  std::vector<std::string> m_keys;
  /// Goes before the priority of the route.
  std::optional<std::int64_t> m_priority;
};

struct CallerLimits {
  std::size_t m_headBytes = 16 << 10;
  std::size_t m_bodyBytes = 4 << 20;
  absl::Duration m_headTime = absl::Seconds(3);
  absl::Duration m_idleTime = absl::Seconds(15);
};

/// Everything that an operator states about routing: one document, replaced as
/// a whole. The operator chooses the version; the highest one is in force.
struct Catalog {
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::vector<ServiceEntry> m_services;
  std::vector<CustomerEntry> m_customers;
  CallerLimits m_limits;

  /// Null if there is no such service.
  const ServiceEntry *service(const ServiceId &Id) const;
  /// Whether callers need keys.
  bool needsKeys() const { return !m_customers.empty(); }
};

} // namespace turmericdyke
