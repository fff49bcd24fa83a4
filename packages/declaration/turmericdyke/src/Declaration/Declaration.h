#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// What happens when a target shows an engine build that was not accepted: take
/// it, or reload the model.
enum class EnginePatchPolicy { Accept, Reload };

/// A model template after the values of one customer have been put in for its
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
  /// Requests that one replica runs at a time.
  std::int64_t m_slotsPerReplica = 8;
  /// Largest share of a replica's slots that long requests may hold, in (0, 1].
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
  /// Field name to text as written, for the fields of `ResolvedModel`.
  std::map<std::string, std::string> m_fields;
  /// Adapters as written.
  std::vector<std::string> m_adapters;

  friend bool operator==(const ModelTemplate &,
                         const ModelTemplate &) = default;
};

/// One operation of a plain service. An operation that may not be repeated is
/// once-only.
struct ServiceOperation {
  std::string m_name;
  /// HTTP method, upper case.
  std::string m_method;
  /// Path below the service, with a leading slash.
  std::string m_path;
  bool m_repeatable = false;
  /// Path of an idempotent query that tells whether a once-only call ran; empty
  /// when there is none.
  /// `{key}` in it stands for the idempotency key.
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
  /// Written key hashes, see `KeyHash`.
  std::vector<std::string> m_keyHashes;
  /// Requests that the customer may always run at a time.
  std::int64_t m_capacity = 1;
  /// Requests it may run at a time when others leave capacity idle; at least
  /// the capacity.
  std::int64_t m_capacityLimit = 1;
  /// 0 is served first, 9 last.
  std::int64_t m_rank = 5;
  /// From receipt to the first token.
  absl::Duration m_firstTokenDeadline = absl::Seconds(10);
  /// From receipt to the end of the answer.
  absl::Duration m_deadline = absl::Seconds(300);
  /// Prompt plus token limit from which a request counts as long, in tokens.
  std::int64_t m_longTokens = 4096;
  /// Services that the customer may call.
  std::vector<ServiceId> m_services;
  /// The template with the customer's values; filled by the parser.
  ResolvedModel m_resolved;

  friend bool operator==(const Customer &, const Customer &) = default;
};

/// Everything operators declare. Maps keep the order of names, so that two
/// equal declarations have equal text.
struct Declaration {
  std::map<TemplateId, ModelTemplate> m_templates;
  std::map<CustomerId, Customer> m_customers;
  std::map<ServiceId, PlainService> m_services;

  friend bool operator==(const Declaration &, const Declaration &) = default;
};

/// Name of the pool of replicas that a resolved model is served by. Customers
/// with equal resolved models share a pool.
std::string poolName(const ResolvedModel &Model);

} // namespace turmericdyke
