#pragma once

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>

#include <httplib.h>

#include "turmericdyke/src/Control/Command.h"
#include "turmericdyke/src/Control/CommandResult.h"
#include "turmericdyke/src/Declaration/Declaration.h"
#include "turmericdyke/src/Edge/ClusterView.h"
#include "turmericdyke/src/Edge/Replies.h"
#include "turmericdyke/src/Requests/AttemptTypes.h"

namespace turmericdyke {

class ControlPort;
struct EdgeServices;
struct SubmitResult;

/// One call to a plain service.
struct ServiceCall {
  RequestId m_request;
  CustomerId m_customer;
  ServiceId m_service;
  const ServiceOperation *m_operation = nullptr;
  std::string m_method;
  /// Path below the service, with the query.
  std::string m_path;
  std::string m_contentType;
  std::string m_body;
  std::string m_idempotencyKey;
  Instant m_deadline;
};

/// The reply to a service call: an answer of the service, or an error.
struct ServiceReply {
  std::optional<ErrorReply> m_error;
  int m_status = 0;
  std::string m_contentType;
  std::string m_body;
  /// Whether the answer is that of an earlier call with the same idempotency
  /// key.
  bool m_replayed = false;
};

/// Runs calls to plain services. A once-only call is sent only after its
/// record, which names this node and the attempt, has been committed.
class ServiceHandler {
public:
  ServiceHandler(EdgeServices &Services, ControlPort &Control)
      : m_services(Services), m_control(Control) {}

  ServiceReply run(const ServiceCall &Call);

private:
  struct AttemptResponse {
    AttemptResult m_result;
    std::string m_body;
    std::string m_contentType;
  };

  ServiceReply runRepeatable(const ServiceCall &Call);
  ServiceReply runOnceOnly(const ServiceCall &Call);
  BeginOnceOnly beginCommand(const ServiceCall &Call);
  SubmitResult submitBegin(const BeginOnceOnly &Begin);
  ServiceReply runRecorded(const ServiceCall &Call, const BeginOnceOnly &Begin);
  ServiceReply replyFromRecord(const ServiceCall &Call,
                               const OnceOnlyRecord &Record);
  ServiceReply queryStatus(const ServiceCall &Call,
                           const OnceOnlyRecord &Record);
  void finishRecord(const BeginOnceOnly &Begun, const AttemptResponse &Done);
  AttemptResponse attempt(const ServiceCall &Call, const AttemptId &Attempt,
                          const ServiceEndpoint &Endpoint);
  /// Returns the endpoints of the service, starting with a different one each
  /// time (round robin).
  std::vector<ServiceEndpoint> endpoints(const ServiceId &Service);
  /// Whether an endpoint from an earlier list still accepts calls.
  bool mayCall(const ServiceId &Service, const ServiceEndpoint &Endpoint) const;

  EdgeServices &m_services;
  ControlPort &m_control;
  std::atomic<std::size_t> m_nextEndpoint{0};
};

} // namespace turmericdyke
