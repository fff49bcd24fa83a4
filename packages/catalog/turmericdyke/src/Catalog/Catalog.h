#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// Whether a request may be sent again after an attempt with an unknown
/// outcome.
enum class RouteKind {
  /// May run more than once.
  Idempotent,
  /// Runs at most once per request of a caller.
  AtMostOnce,
  /// Responds with a stream of events. May be sent again only if the route is
  /// resumable, and then continues after the last event.
  Stream
};

std::string_view nameOf(RouteKind Kind);

struct WeightedService {
  ServiceId m_service;
  std::uint32_t m_weight = 0;
};

/// Routes the requests of one host and path prefix to services.
struct Route {
  std::string m_name;
  std::string m_host;
  /// Begins and ends with a slash.
  std::string m_pathPrefix;
  RouteKind m_kind = RouteKind::Idempotent;
  /// Longest time until a request gets its final response.
  absl::Duration m_timeout = absl::Seconds(10);
  /// Target time to the first byte of the response, or to the first event of a
  /// stream.
  absl::Duration m_latencyObjective = absl::InfiniteDuration();
  /// Target for the longest gap between two events of a stream.
  absl::Duration m_eventGapObjective = absl::InfiniteDuration();
  /// 0 is the most urgent.
  std::int64_t m_priority = 0;
  std::vector<WeightedService> m_services;
  /// Number of servers that one request may be sent to.
  std::int64_t m_maxAttempts = 1;
  /// Callers need no key.
  bool m_public = false;
  bool m_resumable = false;
};

/// A model that an engine service can run, and the costs of a replica of it.
struct EngineModel {
  std::string m_name;
  /// Servers that form one replica.
  std::size_t m_members = 1;
  /// Expected share of the service's work.
  double m_share = 1;
  /// Factor applied to all times of the replica.
  double m_pace = 1;
  /// Time to load from the weight store, and from the host's own copy.
  absl::Duration m_loadTime = absl::ZeroDuration();
  absl::Duration m_warmTime = absl::ZeroDuration();
};

/// The published costs of a service's engines.
struct EngineCosts {
  /// Concurrent requests of a replica.
  std::int64_t m_slots = 1;
  std::int64_t m_kvCapacityTokens = 0;
  /// Decode steps per pass.
  std::int64_t m_stepsPerPass = 1;
  absl::Duration m_stepTime = absl::ZeroDuration();
  absl::Duration m_stepTimePerRequest = absl::ZeroDuration();
  /// Per 1,000 tokens of context.
  absl::Duration m_stepTimePerContext = absl::ZeroDuration();
  double m_prefillTokensPerSecond = 1;
  /// Added for each million pairs of a prompt token and any earlier one.
  absl::Duration m_prefillTimePerMillionPairs = absl::ZeroDuration();
  /// Prompt tokens processed in one step at most.
  std::int64_t m_prefillChunk = 1;
  absl::Duration m_openTime = absl::ZeroDuration();
  double m_loadsPerSecond = 1;
  std::int64_t m_maxConcurrentLoads = 1;
  std::int64_t m_typicalPromptTokens = 0;
  std::int64_t m_typicalOutputTokens = 0;
  std::vector<EngineModel> m_models;

  /// Null if the service does not have the model.
  const EngineModel *model(std::string_view Name) const;
};

struct ServiceEntry {
  ServiceId m_id;
  std::string m_healthPath;
  /// Connections that one server accepts from all callers together.
  std::int64_t m_maxConnections = 0;
  /// Set if the servers are engines whose replicas span several hosts.
  std::optional<EngineCosts> m_engine;
  /// How long a server stays cold after it has started while requests run.
  absl::Duration m_coldStart = absl::ZeroDuration();
  /// Requests a second that a cold server can take from all callers together;
  /// 0 if it can take as many as a warm one.
  double m_coldPerSecond = 0;
};

struct CustomerEntry {
  CustomerId m_id;
  std::vector<std::string> m_keys;
  /// Overrides the priority of the route.
  std::optional<std::int64_t> m_priority;
};

struct CallerLimits {
  std::size_t m_headBytes = 16 << 10;
  std::size_t m_bodyBytes = 4 << 20;
  absl::Duration m_headTime = absl::Seconds(3);
  absl::Duration m_idleTime = absl::Seconds(15);
};

/// The operator's routing configuration: one document, replaced as a whole. The
/// operator chooses the version; the document with the highest version is in
/// force.
struct Catalog {
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::vector<ServiceEntry> m_services;
  std::vector<CustomerEntry> m_customers;
  CallerLimits m_limits;

  /// Null if the service does not exist.
  const ServiceEntry *service(const ServiceId &Id) const;
  /// Whether callers need keys.
  bool needsKeys() const { return !m_customers.empty(); }
};

} // namespace turmericdyke
