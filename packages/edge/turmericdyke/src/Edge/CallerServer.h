#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <httplib.h>
#include <nlohmann/json_fwd.hpp>

#include "absl/synchronization/mutex.h"
#include "turmericdyke/src/Edge/EdgeServices.h"
#include "turmericdyke/src/Edge/Exchange.h"
#include "turmericdyke/src/Edge/HttpPort.h"
#include "turmericdyke/src/Edge/KeyTable.h"
#include "turmericdyke/src/Edge/Replies.h"
#include "turmericdyke/src/Edge/ServiceHandler.h"

namespace turmericdyke {

/// The HTTP port for callers: completions, models, plain services, health and
/// metrics.
class CallerServer {
public:
  CallerServer(EdgeServices &Services, ControlPort &Control,
               HttpPortOptions Options);

  /// Binds the port. Returns false if it cannot be bound.
  bool start() { return m_http.start(); }
  int port() const { return m_http.port(); }
  /// From now on `/readyz` reports not ready; requests are still served.
  void startDraining() { m_draining = true; }
  std::int64_t inFlight() const { return m_inFlight; }
  /// Closes the port and waits for the requests in flight.
  void stop() { m_http.stop(); }

private:
  struct Authenticated {
    std::shared_ptr<const ClusterView> m_view;
    CustomerId m_customer;
  };

  void addRoutes();
  void onCompletion(const httplib::Request &Request,
                    httplib::Response &Response);
  static CompletionCall completionCall(const httplib::Request &Request,
                                       const nlohmann::json &Body,
                                       const Customer &Owner);
  bool admit(const CompletionCall &Call, httplib::Response &Response);
  void answerStream(const std::shared_ptr<Exchange> &Running,
                    ExchangeStep First, httplib::Response &Response);
  void answerWhole(Exchange &Running, const ExchangeStep &Last,
                   httplib::Response &Response);
  bool writeStream(Exchange &Running, ExchangeStep Step,
                   httplib::DataSink &Sink);
  void onService(const httplib::Request &Request, httplib::Response &Response);
  void onModels(const httplib::Request &Request, httplib::Response &Response);
  std::optional<Authenticated> authenticate(const httplib::Request &Request,
                                            const RequestId &Id,
                                            httplib::Response &Response);
  std::shared_ptr<const KeyTable> keyTableFor(const ClusterView &View);
  void refuse(const ErrorReply &Reply, const RequestId &Id,
              const CustomerId &Customer, httplib::Response &Response);
  void recordRequestEnd(const Exchange &Running, const AttemptResult &Result);

  EdgeServices &m_services;
  ControlPort &m_control;
  ServiceHandler m_serviceHandler;
  std::atomic<bool> m_draining{false};
  std::atomic<std::int64_t> m_inFlight{0};
  absl::Mutex m_keysLock;
  std::shared_ptr<const KeyTable> m_keys ABSL_GUARDED_BY(m_keysLock);
  std::shared_ptr<const Declaration>
      m_keysDeclaration ABSL_GUARDED_BY(m_keysLock);
  /// Declared last, so that its threads end before the members that they use
  /// are destroyed.
  HttpPort m_http;
};

} // namespace turmericdyke
