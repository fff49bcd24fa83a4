#include "turmericdyke/src/Edge/ServiceHandler.h"

#include <algorithm>

#include <fmt/format.h>

#include "absl/time/clock.h"
#include "turmericdyke/src/Base/Bytes.h"
#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Edge/AttemptRun.h"
#include "turmericdyke/src/Edge/ControlPort.h"
#include "turmericdyke/src/Edge/EdgeServices.h"
#include "turmericdyke/src/Edge/ServiceRoute.h"
#include "turmericdyke/src/Requests/RetryPolicy.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr absl::Duration RetryAfterInProgress = absl::Seconds(1);
constexpr absl::Duration RetryAfterNoEndpoint = absl::Seconds(2);
constexpr absl::Duration RetryAfterNoLog = absl::Seconds(2);

ServiceReply errorReply(ErrorReply Error) {
  ServiceReply Reply;
  Reply.m_error = std::move(Error);
  return Reply;
}

std::string requestDigest(const ServiceCall &Call) {
  return sha256(fmt::format("{}\n{}\n{}\n{}", Call.m_service.str(),
                            Call.m_method, Call.m_path, Call.m_body));
}

ErrorReply errorOf(const AttemptResult &Result) {
  ErrorReply Reply;
  Reply.m_type = nameOf(Result.m_end);
  Reply.m_outcome = Result.outcome();
  Reply.m_status = Result.m_end == AttemptEnd::TimedOut ? 504 : 502;
  Reply.m_message = "the service gave no complete answer";
  if (Reply.m_outcome == Outcome::NotRun) {
    Reply.m_status = 503;
    Reply.m_message = "no target of the service took the call";
    Reply.m_retryAfter = RetryAfterNoEndpoint;
  }
  return Reply;
}

ErrorReply errorOf(BeginOnceOnlyStatus Start) {
  switch (Start) {
  case BeginOnceOnlyStatus::DigestMismatch:
    return {422, "key_reused",
            "the idempotency key belongs to a different request",
            Outcome::NotRun, std::nullopt};
  case BeginOnceOnlyStatus::Expired:
    return {409, "may_have_run",
            "the record of this idempotency key has expired",
            Outcome::MayHaveRun, std::nullopt};
  case BeginOnceOnlyStatus::Full:
    return {503, "once_only_records_full",
            "the bound on once-only records is reached", Outcome::NotRun,
            std::nullopt};
  default:
    return {503, "node_lost", "this node was declared lost", Outcome::NotRun,
            RetryAfterNoLog};
  }
}

/// Stores an answer in a record, without its body if that is too large.
void storeAnswer(int Status, const std::string &Body, FinishOnceOnly &Finish) {
  Finish.m_answerStatus = Status;
  Finish.m_bodyOmitted = Body.size() > MaxStoredAnswerBytes;
  if (!Finish.m_bodyOmitted)
    Finish.m_answerBody = Body;
}

OnceOnlyOutcome recordOutcome(Outcome Known) {
  constexpr OnceOnlyOutcome Outcomes[] = {OnceOnlyOutcome::NotRun,
                                          OnceOnlyOutcome::MayHaveRun,
                                          OnceOnlyOutcome::Ran};
  return Outcomes[static_cast<std::size_t>(Known)];
}

} // namespace
} // namespace internal

ServiceReply ServiceHandler::run(const ServiceCall &Call) {
  return Call.m_operation->m_repeatable ? runRepeatable(Call)
                                        : runOnceOnly(Call);
}

std::vector<ServiceEndpoint>
ServiceHandler::endpoints(const ServiceId &Service) {
  std::shared_ptr<const ClusterView> View = m_services.m_views.get();
  auto Found = View->m_services.find(Service);
  if (Found == View->m_services.end() || !View->mayStart(monotonicNow()))
    return {};
  std::vector<ServiceEndpoint> Endpoints = Found->second;
  std::size_t First = m_nextEndpoint++ % Endpoints.size();
  std::rotate(Endpoints.begin(),
              Endpoints.begin() + static_cast<std::ptrdiff_t>(First),
              Endpoints.end());
  return Endpoints;
}

bool ServiceHandler::mayCall(const ServiceId &Service,
                             const ServiceEndpoint &Endpoint) const {
  std::shared_ptr<const ClusterView> View = m_services.m_views.get();
  auto Found = View->m_services.find(Service);
  if (Found == View->m_services.end() || !View->mayStart(monotonicNow()))
    return false;
  return std::any_of(Found->second.begin(), Found->second.end(),
                     [&](const ServiceEndpoint &Listed) {
                       return Listed.m_target == Endpoint.m_target &&
                              Listed.m_incarnation == Endpoint.m_incarnation;
                     });
}

ServiceHandler::AttemptResponse
ServiceHandler::attempt(const ServiceCall &Call, const AttemptId &Attempt,
                        const ServiceEndpoint &Endpoint) {
  AttemptLimits Limits;
  Limits.m_deadline = Call.m_deadline;
  Limits.m_firstByte = Call.m_deadline - monotonicNow();
  TargetCall Sent;
  Sent.m_address = Endpoint.m_address;
  Sent.m_method = Call.m_method;
  Sent.m_path = Call.m_path;
  Sent.m_fields = {{"X-Turmericdyke-Request", Call.m_request.str()},
                   {"X-Turmericdyke-Attempt", Attempt.str()}};
  if (!Call.m_contentType.empty())
    Sent.m_fields.add("Content-Type", Call.m_contentType);
  if (!Call.m_idempotencyKey.empty())
    Sent.m_fields.add("Idempotency-Key", Call.m_idempotencyKey);
  Sent.m_body = Call.m_body;
  AttemptRun Run(m_services.m_targets, Attempt, ResponseFormat::Plain, Limits,
                 Sent);
  // Service calls are short. They are completed even if the caller has
  // disconnected, so that the record of a once-only call gets its outcome.
  AttemptActions Actions = Run.next([] { return true; });
  AttemptResponse Done{*Actions.m_result, Run.machine().body(),
                       Run.contentType()};
  m_services.m_metrics.increment("turmericdyke_service_attempts_total",
                                 {{"service", Call.m_service.str()},
                                  {"end", nameOf(Done.m_result.m_end)}});
  LogLine(LogLevel::Info, "service_attempt_ended")
      .field("request", Call.m_request)
      .field("attempt", Attempt)
      .field("customer", Call.m_customer)
      .field("service", Call.m_service)
      .field("operation", Call.m_operation->m_name)
      .field("target", Endpoint.m_target)
      .field("end", nameOf(Done.m_result.m_end))
      .field("status", Done.m_result.m_status);
  return Done;
}

ServiceReply ServiceHandler::runRepeatable(const ServiceCall &Call) {
  std::string Group = "service:" + Call.m_service.str();
  m_services.onRequest(Group);
  AttemptResponse Last;
  Last.m_result.m_end = AttemptEnd::ConnectFailed;
  bool MayHaveRun = false;
  RetryRequest Retry;
  Retry.m_idempotent = true;
  Retry.m_attemptsMade = 0;
  Retry.m_deadline = Call.m_deadline;
  for (const ServiceEndpoint &Endpoint : endpoints(Call.m_service)) {
    if (!mayCall(Call.m_service, Endpoint))
      continue;
    ++Retry.m_attemptsMade;
    Last = attempt(Call, AttemptId(m_services.nextId()), Endpoint);
    if (Last.m_result.m_end == AttemptEnd::Complete)
      return {std::nullopt, Last.m_result.m_status, Last.m_contentType,
              std::move(Last.m_body), false};
    std::optional<absl::Duration> Delay =
        m_services.retryDelay(Group, Retry, Last.m_result);
    MayHaveRun = MayHaveRun || Last.m_result.outcome() == Outcome::MayHaveRun;
    if (!Delay)
      break;
    absl::SleepFor(*Delay);
  }
  Last.m_result.m_earlierMayHaveRun = MayHaveRun;
  return internal::errorReply(internal::errorOf(Last.m_result));
}

ServiceReply ServiceHandler::runOnceOnly(const ServiceCall &Call) {
  if (Call.m_idempotencyKey.empty())
    return internal::errorReply(
        {400, "idempotency_key_missing",
         "this operation runs once only and needs an Idempotency-Key header",
         Outcome::NotRun, std::nullopt});
  BeginOnceOnly Begin = beginCommand(Call);
  SubmitResult Done = submitBegin(Begin);
  const auto *Begun = std::get_if<BeginOnceOnlyResult>(&Done.m_result);
  if (Begun != nullptr &&
      Begun->m_start == BeginOnceOnlyStatus::NodeDeclaredLost) {
    Begin.m_nodeIncarnation =
        m_services.renewOnceOnlyIncarnation(Begin.m_nodeIncarnation);
    Done = submitBegin(Begin);
    Begun = std::get_if<BeginOnceOnlyResult>(&Done.m_result);
  }
  // Without a timely result the call is not sent. If the record is committed
  // later, this node closes it as not run.
  if (Done.m_status != SubmitStatus::Committed || Begun == nullptr)
    return internal::errorReply({503, "log_unavailable",
                                 "the once-only record was not committed",
                                 Outcome::NotRun, internal::RetryAfterNoLog});
  if (Begun->m_start == BeginOnceOnlyStatus::Begun)
    return runRecorded(Call, Begin);
  if (Begun->m_start == BeginOnceOnlyStatus::Known)
    return replyFromRecord(Call, Begun->m_record);
  return internal::errorReply(internal::errorOf(Begun->m_start));
}

BeginOnceOnly ServiceHandler::beginCommand(const ServiceCall &Call) {
  BeginOnceOnly Begin;
  Begin.m_customer = Call.m_customer;
  Begin.m_key = Call.m_idempotencyKey;
  Begin.m_requestDigest = internal::requestDigest(Call);
  Begin.m_node = m_services.m_node;
  Begin.m_nodeIncarnation = m_services.m_onceOnlyIncarnation;
  Begin.m_attempt = AttemptId(m_services.nextId());
  Begin.m_time = absl::Now();
  return Begin;
}

SubmitResult ServiceHandler::submitBegin(const BeginOnceOnly &Begin) {
  Instant Start = monotonicNow();
  SubmitResult Done = m_control.submit(Begin);
  m_services.m_metrics.observe("turmericdyke_once_only_commit_seconds",
                               absl::ToDoubleSeconds(monotonicNow() - Start));
  return Done;
}

ServiceReply ServiceHandler::runRecorded(const ServiceCall &Call,
                                         const BeginOnceOnly &Begin) {
  AttemptResponse Last;
  Last.m_result.m_end = AttemptEnd::ConnectFailed;
  for (const ServiceEndpoint &Endpoint : endpoints(Call.m_service)) {
    if (!mayCall(Call.m_service, Endpoint))
      continue;
    Last = attempt(Call, Begin.m_attempt, Endpoint);
    // Another endpoint is tried only if nothing has been sent.
    if (Last.m_result.m_end != AttemptEnd::ConnectFailed)
      break;
  }
  finishRecord(Begin, Last);
  if (Last.m_result.m_end == AttemptEnd::Complete)
    return {std::nullopt, Last.m_result.m_status, Last.m_contentType,
            std::move(Last.m_body), false};
  return internal::errorReply(internal::errorOf(Last.m_result));
}

void ServiceHandler::finishRecord(const BeginOnceOnly &Begun,
                                  const AttemptResponse &Done) {
  FinishOnceOnly Finish = makeFinishOnceOnly(
      Begun, internal::recordOutcome(Done.m_result.outcome()));
  internal::storeAnswer(Done.m_result.m_status, Done.m_body, Finish);
  // If this is not committed, a retry gets "in progress", or "may have run"
  // once this node is lost. Both are correct.
  (void)m_control.submit(Finish);
}

ServiceReply ServiceHandler::replyFromRecord(const ServiceCall &Call,
                                             const OnceOnlyRecord &Record) {
  switch (Record.m_outcome) {
  case OnceOnlyOutcome::Ran:
    if (Record.m_bodyOmitted)
      return internal::errorReply({409, "answer_not_kept",
                                   "the call ran; its answer was too large to "
                                   "keep",
                                   Outcome::Ran, std::nullopt});
    return {std::nullopt, static_cast<int>(Record.m_answerStatus),
            "application/json", Record.m_answerBody, true};
  case OnceOnlyOutcome::InProgress:
    return internal::errorReply(
        {409, "in_progress", "the call with this key is in progress",
         Outcome::MayHaveRun, internal::RetryAfterInProgress});
  case OnceOnlyOutcome::NotRun:
    return internal::errorReply({503, "not_run",
                                 "the call with this key was not run",
                                 Outcome::NotRun, std::nullopt});
  case OnceOnlyOutcome::MayHaveRun:
    break;
  }
  return queryStatus(Call, Record);
}

ServiceReply ServiceHandler::queryStatus(const ServiceCall &Call,
                                         const OnceOnlyRecord &Record) {
  ServiceReply Unknown = internal::errorReply(
      {409, "may_have_run", "the outcome of the call is not known",
       Outcome::MayHaveRun, std::nullopt});
  if (Call.m_operation->m_statusPath.empty())
    return Unknown;
  ServiceCall Query = Call;
  Query.m_method = "GET";
  Query.m_path = statusPath(*Call.m_operation, Call.m_idempotencyKey);
  Query.m_body.clear();
  Query.m_idempotencyKey.clear();
  ServiceReply Answer = runRepeatable(Query);
  // Only a positive answer is conclusive: a call that the service does not know
  // may still be in flight.
  if (Answer.m_error || Answer.m_status != 200)
    return Unknown;
  FinishOnceOnly Finish;
  Finish.m_customer = Call.m_customer;
  Finish.m_key = Call.m_idempotencyKey;
  Finish.m_node = Record.m_node;
  Finish.m_nodeIncarnation = Record.m_nodeIncarnation;
  Finish.m_attempt = Record.m_attempt;
  Finish.m_fromStatusQuery = true;
  Finish.m_outcome = OnceOnlyOutcome::Ran;
  internal::storeAnswer(Answer.m_status, Answer.m_body, Finish);
  (void)m_control.submit(Finish);
  Answer.m_replayed = true;
  return Answer;
}

} // namespace turmericdyke
