#pragma once

#include <cstdint>
#include <optional>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/RequestClass.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

struct AdmissionRequest {
  RequestId m_id;
  CustomerId m_customer;
  RequestClass m_class = RequestClass::Short;
  /// Memory that the request holds while it is queued, in bytes.
  std::int64_t m_bytes = 0;
  /// From receipt to the first token, when the caller wants less than the
  /// customer's declared deadline.
  std::optional<absl::Duration> m_firstTokenWithin;
};

/// `Queued` is followed by exactly one `Admitted` or `Refused`, unless the
/// request is cancelled before.
enum class AdmissionOutcome { Admitted, Queued, Refused };

enum class RefusalReason {
  None,
  UnknownCustomer,
  /// The identifier is already running or queued.
  DuplicateRequest,
  QueueFull,
  /// The predicted wait is longer than the deadline allows.
  WouldMissDeadline,
  /// The request was queued and can no longer make its deadline.
  Expired,
  CustomerRemoved
};

struct AdmissionDecision {
  RequestId m_id;
  AdmissionOutcome m_outcome = AdmissionOutcome::Refused;
  RefusalReason m_reason = RefusalReason::None;
  /// When a refused caller may try again, for the `Retry-After` header.
  absl::Duration m_retryAfter = absl::ZeroDuration();
};

/// What a customer may run on one node: its declared capacity, or this node's
/// part of it under a quota lease.
struct CustomerShare {
  std::int64_t m_held = 0;
  std::int64_t m_limit = 0;

  friend bool operator==(const CustomerShare &,
                         const CustomerShare &) = default;
};

} // namespace turmericdyke
