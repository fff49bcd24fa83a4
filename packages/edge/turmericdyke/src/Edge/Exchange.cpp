#include "turmericdyke/src/Edge/Exchange.h"

#include <algorithm>

#include <fmt/format.h>

#include "absl/time/clock.h"
#include "turmericdyke/src/Base/Bytes.h"
#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Edge/AttemptRun.h"
#include "turmericdyke/src/Edge/EdgeServices.h"

namespace turmericdyke {

namespace internal {
namespace {

HttpFields attemptFields(const CompletionCall &Call, const AttemptId &Attempt,
                         const ServingReplica &Replica) {
  return {
      {"Content-Type", "application/json"},
      {"X-Turmericdyke-Request", Call.m_request.str()},
      {"X-Turmericdyke-Attempt", Attempt.str()},
      {"X-Turmericdyke-Replica", Replica.m_replica.str()},
      {"X-Turmericdyke-Generation", fmt::format("{}", Replica.m_generation)},
      {"X-Turmericdyke-Priority", fmt::format("{}", Call.m_rank)}};
}

} // namespace
} // namespace internal

Exchange::Exchange(EdgeServices &Services, ControlPort &Control,
                   CompletionCall Call)
    : m_services(Services), m_call(std::move(Call)),
      m_guard(Services, Control, {m_call.m_customer, sha256(m_call.m_body)},
              m_call.m_pool) {
  m_services.onRequest(m_call.m_pool);
  m_route.m_class = m_call.m_class;
  m_route.m_prefixHashes = m_call.m_prefixHashes;
}

Exchange::~Exchange() {
  if (m_run)
    finishAttempt(*m_run->abandon().m_result);
  m_services.m_gate.release(m_call.m_pool, m_call.m_request);
}

bool Exchange::mayStart() {
  SuspectState State = m_guard.state();
  if (State == SuspectState::Suspect &&
      !m_guard.acquireExclusiveRun(m_call.m_firstTokenBy)) {
    State = m_guard.state();
    if (State == SuspectState::Suspect)
      m_lastResult.m_end = AttemptEnd::SuspectWaiting;
  }
  if (State == SuspectState::Refused)
    m_lastResult.m_end = AttemptEnd::CrashingRequest;
  bool Stopped = m_lastResult.m_end == AttemptEnd::SuspectWaiting ||
                 m_lastResult.m_end == AttemptEnd::CrashingRequest;
  if (Stopped)
    m_lastResult.m_mayHaveBeenSent = false;
  return !Stopped;
}

RouteRequest Exchange::routeRequest(const ClusterView &View) const {
  RouteRequest Request = m_route;
  auto Isolated = View.m_isolated.find(m_call.m_pool);
  if (Isolated == View.m_isolated.end())
    return Request;
  if (m_guard.state() == SuspectState::Clear) {
    Request.m_excluded.push_back(Isolated->second);
    return Request;
  }
  Request.m_excluded.clear();
  auto Pool = View.m_pools.find(m_call.m_pool);
  if (Pool != View.m_pools.end())
    for (const ServingReplica &Serving : Pool->second)
      if (Serving.m_replica != Isolated->second)
        Request.m_excluded.push_back(Serving.m_replica);
  return Request;
}

AttemptResult Exchange::result(AttemptResult Last) const {
  Last.m_earlierMayHaveRun = m_earlierMayHaveRun;
  return Last;
}

bool Exchange::startAttempt() {
  if (!mayStart())
    return false;
  std::shared_ptr<const ClusterView> View = m_services.m_views.get();
  if (!View->mayStart(monotonicNow()))
    return false;
  m_attempt = AttemptId(m_services.nextId());
  m_replica = m_services.m_router.start(*View, m_call.m_pool, m_attempt,
                                        routeRequest(*View));
  if (!m_replica)
    return false;
  ++m_attempts;
  m_firstToken.reset();
  m_tokens = 0;
  Instant Now = monotonicNow();
  AttemptLimits Limits;
  Limits.m_deadline = m_call.m_deadline;
  Limits.m_firstByte =
      m_call.m_stream ? m_call.m_firstTokenBy - Now : m_call.m_deadline - Now;
  ResponseFormat Shape = m_call.m_stream ? ResponseFormat::EventStream
                                         : ResponseFormat::Completion;
  TargetCall Call;
  Call.m_address = m_replica->m_headAddress;
  Call.m_method = "POST";
  Call.m_path = m_call.m_path;
  Call.m_fields = internal::attemptFields(m_call, m_attempt, *m_replica);
  Call.m_body = m_call.m_body;
  m_run = std::make_unique<AttemptRun>(m_services.m_targets, m_attempt, Shape,
                                       Limits, Call);
  return true;
}

ExchangeStep Exchange::next(const std::function<bool()> &IsCallerConnected) {
  for (;;) {
    if (!m_run && !startAttempt())
      return {"", result(m_lastResult)};
    AttemptActions Actions = m_run->next(IsCallerConnected);
    if (!Actions.m_forward.empty())
      recordProgress();
    if (!Actions.m_result)
      return {std::move(Actions.m_forward), std::nullopt};
    finishAttempt(*Actions.m_result);
    if (retry(*Actions.m_result))
      continue;
    return {std::move(Actions.m_forward), result(*Actions.m_result)};
  }
}

void Exchange::recordProgress() {
  Instant Now = monotonicNow();
  if (!m_firstToken) {
    m_firstToken = Now;
    m_services.m_gate.firstToken(m_call.m_pool, m_call.m_request);
    m_services.m_metrics.observe("turmericdyke_first_token_seconds",
                                 absl::ToDoubleSeconds(Now - m_call.m_received),
                                 {{"customer", m_call.m_customer.str()},
                                  {"class", nameOf(m_route.m_class)}});
  } else {
    m_services.m_metrics.observe("turmericdyke_between_tokens_seconds",
                                 absl::ToDoubleSeconds(Now - m_lastToken),
                                 {{"customer", m_call.m_customer.str()},
                                  {"class", nameOf(m_route.m_class)}});
  }
  m_lastToken = Now;
  ++m_tokens;
  correctClass();
}

void Exchange::correctClass() {
  RequestClass Corrected = turmericdyke::correctClass(
      m_route.m_class, m_call.m_size, m_tokens, m_call.m_longTokens);
  if (Corrected == m_route.m_class)
    return;
  m_route.m_class = Corrected;
  m_services.m_gate.reclassify(m_call.m_pool, m_call.m_request, Corrected);
  m_services.m_router.reclassify(m_call.m_pool, m_attempt, Corrected);
}

std::optional<double> Exchange::secondsPerToken() const {
  if (!m_firstToken || m_tokens < 2)
    return std::nullopt;
  return absl::ToDoubleSeconds(m_lastToken - *m_firstToken) /
         static_cast<double>(m_tokens - 1);
}

void Exchange::finishAttempt(const AttemptResult &Result) {
  if (Result.m_end == AttemptEnd::Complete)
    m_body = m_run->machine().body();
  m_run.reset();
  m_lastResult = Result;
  m_services.m_router.finish(m_call.m_pool, m_attempt, m_replica->m_replica,
                             secondsPerToken());
  m_services.m_metrics.increment("turmericdyke_attempts_total",
                                 {{"end", nameOf(Result.m_end)}});
  LogLevel Level = Result.m_end == AttemptEnd::Complete ? LogLevel::Debug
                                                        : LogLevel::Warning;
  LogLine(Level, "attempt_ended")
      .field("request", m_call.m_request)
      .field("attempt", m_attempt)
      .field("customer", m_call.m_customer)
      .field("target", m_replica->m_head)
      .field("replica", m_replica->m_replica)
      .field("end", nameOf(Result.m_end))
      .field("status", Result.m_status)
      .field("tokens", Result.m_tokens);
}

bool Exchange::retry(const AttemptResult &Result) {
  if (Result.m_end == AttemptEnd::Complete)
    m_guard.onRequestFinished();
  if (Result.m_end == AttemptEnd::EndedEarly)
    (void)m_guard.onConnectionBroken(*m_replica);
  RetryRequest Retry;
  Retry.m_idempotent = true;
  Retry.m_attemptsMade = m_attempts;
  Retry.m_deadline = std::min(m_call.m_deadline, m_call.m_firstTokenBy);
  std::optional<absl::Duration> Delay =
      m_services.retryDelay(m_call.m_pool, Retry, Result);
  if (!Delay)
    return false;
  m_earlierMayHaveRun =
      m_earlierMayHaveRun || Result.outcome() == Outcome::MayHaveRun;
  m_route.m_excluded.push_back(m_replica->m_replica);
  m_services.m_metrics.increment("turmericdyke_retries_total",
                                 {{"pool", m_call.m_pool}});
  absl::SleepFor(*Delay);
  return true;
}

} // namespace turmericdyke
