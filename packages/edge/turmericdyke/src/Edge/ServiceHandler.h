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

/// One call of a plain service on its way.
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

/// What a caller of a service gets: an answer of the service, or an error.
struct ServiceReply {
  std::optional<ErrorReply> m_error;
  int m_status = 0;
  std::string m_contentType;
  std::string m_body;
  /// The answer is that of an earlier call with the same key.
  bool m_replayed = false;
};

/// Runs calls of plain services. A once-only call leaves this node only after
/// its record, which names this node and attempt, was committed.
class ServiceHandler {
public:
  ServiceHandler(EdgeServices &Services, ControlPort &Control)
      : m_services(Services), m_control(Control) {}

  ServiceReply run(const ServiceCall &Call);

private:
  struct Tried {
    AttemptResult m_result;
    std::string m_body;
    std::string m_contentType;
  };

  ServiceReply runRepeatable(const ServiceCall &Call);
  ServiceReply runOnce(const ServiceCall &Call);
  BeginOnceOnly beginCommand(const ServiceCall &Call);
  SubmitResult submitBegin(const BeginOnceOnly &Begin);
  ServiceReply runBegun(const ServiceCall &Call, const BeginOnceOnly &Begin);
  ServiceReply fromRecord(const ServiceCall &Call,
                          const OnceOnlyRecord &Record);
  ServiceReply askStatus(const ServiceCall &Call, const OnceOnlyRecord &Record);
  void finishRecord(const BeginOnceOnly &Begun, const Tried &Done);
  Tried attempt(const ServiceCall &Call, const AttemptId &Attempt,
                const ServiceEndpoint &Endpoint);
  /// The endpoints of the service, starting with another one each time.
  std::vector<ServiceEndpoint> endpoints(const ServiceId &Service);
  /// Whether an endpoint from an earlier list may still take a call.
  bool mayCall(const ServiceId &Service, const ServiceEndpoint &Endpoint) const;

  EdgeServices &m_services;
  ControlPort &m_control;
  std::atomic<std::size_t> m_nextEndpoint{0};
};

} // namespace turmericdyke
