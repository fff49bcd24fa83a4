#include "turmericdyke/src/Edge/CallerServer.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Edge/PromptText.h"
#include "turmericdyke/src/Edge/ServiceRoute.h"

namespace turmericdyke {

namespace internal {
namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxIdempotencyKeyBytes = 255;
constexpr std::size_t ServicePrefixBytes =
    std::string_view("/v1/services/").size();
constexpr absl::Duration RetryAfterNoLease = absl::Seconds(1);
constexpr absl::Duration RetryAfterNoReplica = absl::Seconds(2);

/// The error reply for a failed completion request.
ErrorReply errorOf(const AttemptResult &Result) {
  ErrorReply Reply;
  Reply.m_outcome = Result.outcome();
  Reply.m_type = nameOf(Result.m_end);
  switch (Result.m_end) {
  case AttemptEnd::ConnectFailed:
  case AttemptEnd::RefusedByTarget:
    Reply.m_status = 503;
    Reply.m_message = "no replica took the request";
    Reply.m_retryAfter = RetryAfterNoReplica;
    break;
  case AttemptEnd::CrashingRequest:
    Reply.m_status = 422;
    Reply.m_message = "the request took down two targets and is refused";
    break;
  case AttemptEnd::SuspectWaiting:
    Reply.m_status = 429;
    Reply.m_message = "the request was on a target that died; it must run "
                      "alone, and could not in time";
    Reply.m_retryAfter = RetryAfterNoReplica;
    break;
  case AttemptEnd::TimedOut:
    Reply.m_status = 504;
    Reply.m_message = "the answer did not come in time";
    break;
  case AttemptEnd::TargetError:
    Reply.m_status = Result.m_status < 500 ? Result.m_status : 502;
    Reply.m_message = "the target answered with an error";
    break;
  default:
    Reply.m_status = 502;
    Reply.m_message = "the answer of the target was not complete";
    break;
  }
  return Reply;
}

/// The error reply for a request that admission rejected.
ErrorReply errorOf(const AdmissionDecision &Decision) {
  switch (Decision.m_reason) {
  case RefusalReason::QueueFull:
    return {429, "queue_full", "the queue of the customer is full",
            Outcome::NotRun, Decision.m_retryAfter};
  case RefusalReason::WouldMissDeadline:
  case RefusalReason::Expired:
    return {429, "deadline_unreachable",
            "the first token would come after its deadline", Outcome::NotRun,
            Decision.m_retryAfter};
  default:
    return {503, "not_configured", "the customer is not served at this node",
            Outcome::NotRun, RetryAfterNoReplica};
  }
}

std::optional<ErrorReply> checkCompletionBody(const Json &Body) {
  ErrorReply Reply;
  Reply.m_status = 400;
  Reply.m_type = "invalid_request";
  if (!Body.is_object())
    Reply.m_message = "the body is not a JSON object";
  else if (Body.contains("stream") && !Body["stream"].is_boolean())
    Reply.m_message = "stream is neither true nor false";
  else if (Body.contains("max_tokens") &&
           !Body["max_tokens"].is_number_unsigned())
    Reply.m_message = "max_tokens is not a whole number of 0 or more";
  else
    return std::nullopt;
  return Reply;
}

} // namespace
} // namespace internal

CallerServer::CallerServer(EdgeServices &Services, ControlPort &Control,
                           HttpPortOptions Options)
    : m_services(Services), m_control(Control),
      m_serviceHandler(Services, Control), m_http(std::move(Options)) {
  addRoutes();
}

void CallerServer::addRoutes() {
  httplib::Server &Server = m_http.server();
  auto Completion = [this](const auto &Request, auto &Response) {
    onCompletion(Request, Response);
  };
  Server.Post("/v1/chat/completions", Completion);
  Server.Post("/v1/completions", Completion);
  auto Service = [this](const auto &Request, auto &Response) {
    onService(Request, Response);
  };
  constexpr const char *ServicePattern = R"(/v1/services/([^/]+)(/.*))";
  Server.Get(ServicePattern, Service);
  Server.Post(ServicePattern, Service);
  Server.Put(ServicePattern, Service);
  Server.Delete(ServicePattern, Service);
  Server.Get("/v1/models", [this](const auto &Request, auto &Response) {
    onModels(Request, Response);
  });
  Server.Get("/healthz", [](const auto &, auto &Response) {
    Response.set_content("ok\n", "text/plain");
  });
  Server.Get("/readyz", [this](const auto &, auto &Response) {
    bool Ready =
        !m_draining && m_services.m_views.get()->mayStart(monotonicNow());
    Response.status = Ready ? 200 : 503;
    Response.set_content(Ready ? "ready\n" : "not ready\n", "text/plain");
  });
  Server.Get("/metrics", [this](const auto &, auto &Response) {
    Response.set_content(m_services.m_metrics.prometheusText(),
                         "text/plain; version=0.0.4");
  });
}

std::shared_ptr<const KeyTable>
CallerServer::keyTableFor(const ClusterView &View) {
  absl::MutexLock Lock(&m_keysLock);
  if (m_keysDeclaration != View.m_declaration) {
    m_keys = std::make_shared<KeyTable>(*View.m_declaration);
    m_keysDeclaration = View.m_declaration;
  }
  return m_keys;
}

void CallerServer::refuse(const ErrorReply &Reply, const RequestId &Id,
                          const CustomerId &Customer,
                          httplib::Response &Response) {
  m_services.m_metrics.increment(
      "turmericdyke_refusals_total",
      {{"customer", Customer.str()}, {"reason", Reply.m_type}});
  LogLine(LogLevel::Info, "request_refused")
      .field("request", Id)
      .field("customer", Customer)
      .field("reason", Reply.m_type)
      .field("outcome", nameOf(Reply.m_outcome));
  writeError(Reply, Id, Response);
}

std::optional<CallerServer::Authenticated>
CallerServer::authenticate(const httplib::Request &Request, const RequestId &Id,
                           httplib::Response &Response) {
  Authenticated Caller;
  Caller.m_view = m_services.m_views.get();
  if (!Caller.m_view->mayStart(monotonicNow())) {
    refuse({503, "no_lease", "this node does not know the newest revision",
            Outcome::NotRun, internal::RetryAfterNoLease},
           Id, CustomerId(), Response);
    return std::nullopt;
  }
  std::optional<CustomerId> Customer =
      keyTableFor(*Caller.m_view)
          ->findCustomer(bearerKey(Request).value_or(""));
  if (!Customer) {
    refuse({401, "unknown_key", "the bearer key belongs to no customer",
            Outcome::NotRun, std::nullopt},
           Id, CustomerId(), Response);
    return std::nullopt;
  }
  Caller.m_customer = *Customer;
  return Caller;
}

void CallerServer::onModels(const httplib::Request &Request,
                            httplib::Response &Response) {
  RequestId Id(m_services.nextId());
  std::optional<Authenticated> Caller = authenticate(Request, Id, Response);
  if (!Caller)
    return;
  const Customer &Owner =
      Caller->m_view->m_declaration->m_customers.at(Caller->m_customer);
  internal::Json Model = {{"id", Owner.m_resolved.m_model},
                          {"object", "model"},
                          {"owned_by", "turmericdyke"}};
  Response.set_content(internal::Json{{"object", "list"},
                                      {"data", internal::Json::array({Model})}}
                           .dump(),
                       "application/json");
}

void CallerServer::onService(const httplib::Request &Request,
                             httplib::Response &Response) {
  Instant Now = monotonicNow();
  RequestId Id(m_services.nextId());
  std::optional<Authenticated> Caller = authenticate(Request, Id, Response);
  if (!Caller)
    return;
  const Declaration &Declared = *Caller->m_view->m_declaration;
  ServiceCall Call;
  Call.m_request = Id;
  Call.m_customer = Caller->m_customer;
  Call.m_service = ServiceId(Request.matches[1].str());
  const std::vector<ServiceId> &Allowed =
      Declared.m_customers.at(Call.m_customer).m_services;
  auto Service = Declared.m_services.find(Call.m_service);
  bool MayCall = std::find(Allowed.begin(), Allowed.end(), Call.m_service) !=
                 Allowed.end();
  if (!MayCall || Service == Declared.m_services.end())
    return refuse({403, "service_not_allowed",
                   "the customer may not call this service", Outcome::NotRun,
                   std::nullopt},
                  Id, Call.m_customer, Response);
  Call.m_method = Request.method;
  Call.m_operation =
      findOperation(Service->second, Request.method, Request.matches[2].str());
  if (Call.m_operation == nullptr)
    return refuse({404, "unknown_operation",
                   "the service declares no such operation", Outcome::NotRun,
                   std::nullopt},
                  Id, Call.m_customer, Response);
  Call.m_idempotencyKey = Request.get_header_value("Idempotency-Key");
  if (Call.m_idempotencyKey.size() > internal::MaxIdempotencyKeyBytes)
    return refuse({400, "idempotency_key_too_long",
                   "the idempotency key is longer than 255 bytes",
                   Outcome::NotRun, std::nullopt},
                  Id, Call.m_customer, Response);
  // `Request.target` holds the path and query exactly as they were sent.
  Call.m_path = Request.target.substr(
      Request.target.find('/', internal::ServicePrefixBytes));
  Call.m_contentType = Request.get_header_value("Content-Type");
  Call.m_body = Request.body;
  Call.m_deadline = Now + Service->second.m_deadline;
  ++m_inFlight;
  ServiceReply Reply = m_serviceHandler.run(Call);
  --m_inFlight;
  if (Reply.m_error)
    return refuse(*Reply.m_error, Id, Call.m_customer, Response);
  Response.status = Reply.m_status;
  Response.set_header("X-Turmericdyke-Outcome", "ran");
  Response.set_header("X-Turmericdyke-Request", Id.str());
  if (Reply.m_replayed)
    Response.set_header("Idempotent-Replayed", "true");
  Response.set_content(Reply.m_body, Reply.m_contentType);
}

CompletionCall CallerServer::completionCall(const httplib::Request &Request,
                                            const nlohmann::json &Body,
                                            const Customer &Owner) {
  CompletionCall Call;
  Call.m_customer = Owner.m_id;
  Call.m_pool = poolName(Owner.m_resolved);
  Call.m_rank = Owner.m_rank;
  Call.m_path = Request.path;
  Call.m_body = Request.body;
  Call.m_stream = Body.value("stream", false);
  Call.m_received = monotonicNow();
  Call.m_firstTokenBy = Call.m_received + Owner.m_firstTokenDeadline;
  Call.m_deadline = Call.m_received + Owner.m_deadline;
  std::string Prompt = promptText(Body);
  Call.m_size = requestSize(Body, Prompt.size());
  Call.m_longTokens = Owner.m_longTokens;
  Call.m_class = estimateClass(Call.m_size, Owner.m_longTokens);
  Call.m_prefixHashes = prefixHashes(Prompt);
  return Call;
}

void CallerServer::onCompletion(const httplib::Request &Request,
                                httplib::Response &Response) {
  RequestId Id(m_services.nextId());
  std::optional<Authenticated> Caller = authenticate(Request, Id, Response);
  if (!Caller)
    return;
  internal::Json Body = internal::Json::parse(Request.body, nullptr, false);
  if (std::optional<ErrorReply> Invalid = internal::checkCompletionBody(Body))
    return refuse(*Invalid, Id, Caller->m_customer, Response);
  const auto &Customers = Caller->m_view->m_declaration->m_customers;
  CompletionCall Call =
      completionCall(Request, Body, Customers.at(Caller->m_customer));
  Call.m_request = Id;
  ++m_inFlight;
  if (!admit(Call, Response)) {
    --m_inFlight;
    return;
  }
  auto Running = std::shared_ptr<Exchange>(
      new Exchange(m_services, m_control, std::move(Call)),
      [this](Exchange *Done) {
        delete Done;
        --m_inFlight;
      });
  // The handler cannot poll the caller's socket until the response stream has
  // begun.
  ExchangeStep First = Running->next([] { return true; });
  if (First.m_end)
    return answerWhole(*Running, First, Response);
  answerStream(Running, std::move(First), Response);
}

bool CallerServer::admit(const CompletionCall &Call,
                         httplib::Response &Response) {
  AdmissionRequest Request;
  Request.m_id = Call.m_request;
  Request.m_customer = Call.m_customer;
  Request.m_class = Call.m_class;
  Request.m_bytes = static_cast<std::int64_t>(Call.m_body.size());
  AdmissionDecision Decision = m_services.m_gate.acquire(Call.m_pool, Request);
  double Waited = absl::ToDoubleSeconds(monotonicNow() - Call.m_received);
  m_services.m_metrics.observe(
      "turmericdyke_queue_wait_seconds", Waited,
      {{"customer", Call.m_customer.str()}, {"class", nameOf(Call.m_class)}});
  if (Decision.m_outcome == AdmissionOutcome::Admitted)
    return true;
  refuse(internal::errorOf(Decision), Call.m_request, Call.m_customer,
         Response);
  return false;
}

void CallerServer::answerWhole(Exchange &Running, const ExchangeStep &Last,
                               httplib::Response &Response) {
  recordRequestEnd(Running, *Last.m_end);
  if (Last.m_end->m_end != AttemptEnd::Complete)
    return refuse(internal::errorOf(*Last.m_end), Running.call().m_request,
                  Running.call().m_customer, Response);
  Response.set_header("X-Turmericdyke-Outcome", "ran");
  Response.set_header("X-Turmericdyke-Request", Running.call().m_request.str());
  if (Running.call().m_stream)
    Response.set_content(Last.m_forward, "text/event-stream");
  else
    Response.set_content(Running.body(), "application/json");
}

void CallerServer::answerStream(const std::shared_ptr<Exchange> &Running,
                                ExchangeStep First,
                                httplib::Response &Response) {
  Response.set_header("X-Turmericdyke-Request",
                      Running->call().m_request.str());
  auto Step = std::make_shared<ExchangeStep>(std::move(First));
  Response.set_chunked_content_provider(
      "text/event-stream",
      [this, Running, Step](std::size_t, httplib::DataSink &Sink) {
        return writeStream(*Running, std::move(*Step), Sink);
      });
}

bool CallerServer::writeStream(Exchange &Running, ExchangeStep Step,
                               httplib::DataSink &Sink) {
  for (;;) {
    if (!Step.m_forward.empty() &&
        !Sink.write(Step.m_forward.data(), Step.m_forward.size()))
      return false;
    if (Step.m_end)
      break;
    Step = Running.next([&Sink] { return Sink.is_writable(); });
  }
  recordRequestEnd(Running, *Step.m_end);
  if (Step.m_end->m_end != AttemptEnd::Complete) {
    // No `[DONE]` follows, so the caller cannot mistake the answer for a
    // complete one.
    std::string Event = fmt::format(
        "event: error\ndata: {}\n\n",
        errorBody(internal::errorOf(*Step.m_end), Running.call().m_request));
    Sink.write(Event.data(), Event.size());
  }
  Sink.done();
  return true;
}

void CallerServer::recordRequestEnd(const Exchange &Running,
                                    const AttemptResult &Result) {
  const CompletionCall &Call = Running.call();
  double Seconds = absl::ToDoubleSeconds(monotonicNow() - Call.m_received);
  m_services.m_metrics.observe(
      "turmericdyke_request_seconds", Seconds,
      {{"customer", Call.m_customer.str()}, {"class", nameOf(Call.m_class)}});
  LogLine(LogLevel::Info, "request_ended")
      .field("request", Call.m_request)
      .field("customer", Call.m_customer)
      .field("end", nameOf(Result.m_end))
      .field("outcome", nameOf(Result.outcome()))
      .field("attempts", Running.attempts())
      .field("tokens", Result.m_tokens)
      .field("ms", absl::ToInt64Milliseconds(monotonicNow() - Call.m_received));
}

} // namespace turmericdyke
