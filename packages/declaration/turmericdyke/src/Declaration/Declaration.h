#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// What to do when a target reports an engine build that was not accepted:
/// accept it, or reload the model.
enum class EnginePatchPolicy { Accept, Reload };

/// A model template with the values of one customer substituted for its
/// parameters.
struct ResolvedModel {
  std::string m_model;
  /// Sorted, without duplicates.
  std::vector<std::string> m_adapters;
  std::string m_version;
  /// Hosts of one replica, all in one fabric domain.
  std::int64_t m_hostsPerReplica = 1;
  /// Accelerators that each host must have.
  std::int64_t m_acceleratorsPerHost = 1;
  /// Requests that one replica runs concurrently.
  std::int64_t m_slotsPerReplica = 8;
  /// Largest fraction of a replica's slots that long requests may occupy, in
  /// (0, 1].
  double m_longShare = 0.5;
  EnginePatchPolicy m_patchPolicy = EnginePatchPolicy::Accept;

  friend bool operator==(const ResolvedModel &,
                         const ResolvedModel &) = default;
};

/// A parameter that a template declares; without a default each customer must
/// give a value.
struct TemplateParameter {
  std::string m_name;
  bool m_hasDefault = false;
  std::string m_default;

  friend bool operator==(const TemplateParameter &,
                         const TemplateParameter &) = default;
};

/// A template. Text fields may hold `${parameter}`; they are kept as written
/// and resolved per customer.
struct ModelTemplate {
  TemplateId m_id;
  std::vector<TemplateParameter> m_parameters;
  /// Maps the field names of `ResolvedModel` to their text as written.
  std::map<std::string, std::string> m_fields;
  /// Adapters as written.
  std::vector<std::string> m_adapters;

  friend bool operator==(const ModelTemplate &,
                         const ModelTemplate &) = default;
};

/// An operation of a plain service. One that must not be repeated is once-only.
struct ServiceOperation {
  std::string m_name;
  /// HTTP method, upper case.
  std::string m_method;
  /// Path below the service, with a leading slash.
  std::string m_path;
  bool m_repeatable = false;
  /// Path of an idempotent query that reports whether a once-only call was
  /// executed; empty if there is none. `{key}` in it stands for the idempotency
  /// key.
  std::string m_statusPath;

  friend bool operator==(const ServiceOperation &,
                         const ServiceOperation &) = default;
};

struct PlainService {
  ServiceId m_id;
  std::vector<ServiceOperation> m_operations;
  absl::Duration m_deadline = absl::Seconds(30);

  friend bool operator==(const PlainService &, const PlainService &) = default;
};

struct Customer {
  CustomerId m_id;
  TemplateId m_template;
  std::map<std::string, std::string> m_parameters;
  /// Key hashes in the text form of `KeyHash`.
  std::vector<std::string> m_keyHashes;
  /// Concurrent requests that the customer may always run.
  std::int64_t m_capacity = 1;
  /// Concurrent requests that it may run while others leave capacity idle; at
  /// least `m_capacity`.
  std::int64_t m_capacityLimit = 1;
  /// Priority: 0 is served first, 9 last.
  std::int64_t m_rank = 5;
  /// Time from receipt of a request to the first token.
  absl::Duration m_firstTokenDeadline = absl::Seconds(10);
  /// Time from receipt of a request to the end of the response.
  absl::Duration m_deadline = absl::Seconds(300);
  /// Prompt plus token limit from which a request counts as long, in tokens.
  std::int64_t m_longTokens = 4096;
  /// Services that the customer may call.
  std::vector<ServiceId> m_services;
  /// The template with the customer's values; filled by the parser.
  ResolvedModel m_resolved;

  friend bool operator==(const Customer &, const Customer &) = default;
};

/// Everything that operators declare. Maps are ordered by name, so that equal
/// declarations have equal text.
struct Declaration {
  std::map<TemplateId, ModelTemplate> m_templates;
  std::map<CustomerId, Customer> m_customers;
  std::map<ServiceId, PlainService> m_services;

  friend bool operator==(const Declaration &, const Declaration &) = default;
};

/// Name of the pool of replicas that serves a resolved model. Customers with
/// equal resolved models share a pool.
std::string poolName(const ResolvedModel &Model);

} // namespace turmericdyke
