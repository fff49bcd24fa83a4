#include "turmericdyke/src/Entry/EntryExchange.h"

#include <algorithm>
#include <utility>

#include "absl/random/distributions.h"
#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Entry/EntryServices.h"
#include "turmericdyke/src/Http/ServerExchange.h"

namespace turmericdyke {

namespace internal {
namespace {

/// A whole answer is held up to this size, so that a broken one can be repeated
/// before the caller has seen any of it; answers of services are about 1 KB.
constexpr std::size_t MaxHeldAnswerBytes = 1 << 20;
/// A once-only request goes over a connection that was used this recently at
/// most: over one that its server has just closed, nobody can tell whether the
/// request ran.
constexpr absl::Duration OnceOnlyMostIdle = absl::Milliseconds(400);
/// A caller that has not taken this many bytes of a stream stops the reading
/// from the target.
constexpr std::size_t MaxUnsentBytes = 256 << 10;
/// A stream leaves a closing target only for one that keeps this part of its
/// slots free: a second refusal would end it.
constexpr double SlotsKeptFree = 0.25;
/// Repeats of this node that streams of closing targets leave to failures.
constexpr double RepeatsKeptForFailures = 3;

constexpr int FirstFailure = 300;
constexpr int FirstServerFailure = 500;

/// Why a refused caller may come back; nothing if it should not.
std::optional<RetryAfterCause> causeOf(Refusal Reason) {
  switch (Reason) {
  case Refusal::NotInformed:
    return RetryAfterCause::NotInformed;
  case Refusal::NoTarget:
    return RetryAfterCause::NoTarget;
  case Refusal::Overloaded:
    return RetryAfterCause::Full;
  case Refusal::AttemptsFailed:
    return RetryAfterCause::AttemptsFailed;
  default:
    return std::nullopt;
  }
}

double seconds(absl::Duration Value) { return absl::ToDoubleSeconds(Value); }

} // namespace
} // namespace internal

std::string_view nameOf(Refusal Reason) {
  constexpr std::string_view Names[] = {
      "no_route",  "no_key",           "bad_request",     "not_informed",
      "no_target", "overloaded",       "attempts_failed", "may_have_run",
      "timed_out", "timed_out_not_run"};
  return Names[static_cast<std::size_t>(Reason)];
}

SharedRetryBudget &EntryServices::repeats(const ServiceId &Service) {
  auto [At, New] = m_repeats.try_emplace(Service, m_settings.m_repeats);
  At->second.setNodes(static_cast<double>(m_feed.entryNodes()));
  return At->second;
}

EntryExchange::EntryExchange(EntryServices &Services,
                             std::shared_ptr<ServerExchange> Exchange)
    : m_services(Services), m_exchange(std::move(Exchange)),
      m_routes(Services.m_routes) {}

EntryExchange::~EntryExchange() { m_services.m_loop.cancel(m_timer); }

void EntryExchange::begin() {
  m_self = shared_from_this();
  const HttpRequest &Request = m_exchange->request();
  m_caller = m_services.m_dialect.readRequest(Request);
  m_received = Request.m_received;
  m_exchange->onGone([this] { onCallerGone(); });
  if (std::optional<Refusal> Reason = admit())
    return refuse(*Reason);
  absl::Duration Patience = std::min(
      m_caller.m_patience.value_or(m_route->m_timeout), m_route->m_timeout);
  m_deadline = m_received + Patience;
  m_timer = m_services.m_loop.at(m_deadline, [this] { onTimeout(); });
  m_service = drawService();
  m_services.repeats(m_service).onRequest(monotonicNow());
  if (!m_caller.m_model.empty())
    ++m_services.m_modelRequests;
  attempt();
}

std::optional<Refusal> EntryExchange::admit() {
  if (m_routes == nullptr)
    return Refusal::NotInformed;
  bool Informed = monotonicNow() < m_services.m_feed.leaseUntil();
  if (m_caller.m_host.empty())
    return Refusal::BadRequest;
  m_route = m_routes->find(m_caller.m_host, m_exchange->request().m_target);
  // Without a lease the newest routes and keys may be missing here.
  if (m_route == nullptr)
    return Informed ? Refusal::NoRoute : Refusal::NotInformed;
  m_priority = m_route->m_priority;
  if (m_route->m_public || !m_routes->catalog().needsKeys())
    return std::nullopt;
  if (!Informed)
    return Refusal::NotInformed;
  const CustomerEntry *Customer = m_routes->customerOf(m_caller.m_key);
  if (m_caller.m_key.empty() || Customer == nullptr)
    return Refusal::NoKey;
  m_customer = Customer->m_id;
  m_priority = Customer->m_priority.value_or(m_priority);
  return std::nullopt;
}

ServiceId EntryExchange::drawService() {
  const std::vector<WeightedService> &Parts = m_route->m_services;
  std::uint64_t Sum = 0;
  for (const WeightedService &Part : Parts)
    Sum += Part.m_weight;
  std::uint64_t Drawn =
      absl::Uniform<std::uint64_t>(m_services.m_random, 0, Sum);
  for (const WeightedService &Part : Parts) {
    if (Drawn < Part.m_weight)
      return Part.m_service;
    Drawn -= Part.m_weight;
  }
  return Parts.back().m_service;
}

std::vector<PlacementOption> EntryExchange::options() const {
  Instant Now = monotonicNow();
  bool Engines = m_routes->catalog().service(m_service)->m_engine.has_value();
  std::vector<PlacementOption> Options;
  for (const auto &[Id, Target] : m_services.m_feed.targets()) {
    if (Target.m_service != m_service || m_tried.count(Id) > 0)
      continue;
    if (Engines && Target.m_model != m_caller.m_model)
      continue;
    PlacementOption Option;
    Option.m_target = &Target;
    auto Used = m_services.m_uses.find(Id);
    Option.m_ownRequests = Used == m_services.m_uses.end() ? 0 : Used->second;
    Option.m_otherRequests = m_services.m_feed.requestsOfOthers(Id);
    Option.m_otherRequestsAge = Now - m_services.m_feed.othersUpdatedAt();
    Option.m_avoided = m_services.m_health.isAvoided(Now, Id);
    Option.m_quiet = m_services.m_stalls.isQuiet(Now, Id);
    Options.push_back(Option);
  }
  return Options;
}

void EntryExchange::attempt() {
  Instant Now = monotonicNow();
  bool NeedsLease = !m_customer.empty();
  if (NeedsLease && Now >= m_services.m_feed.leaseUntil())
    return refuse(m_mayHaveRun ? Refusal::MayHaveRun : Refusal::NotInformed);
  std::vector<PlacementOption> Options = options();
  PlacementDecision Decision =
      place(Options, m_services.m_placement, m_services.m_random);
  if (Decision.m_outcome != PlacementOutcome::Placed) {
    LogLine(LogLevel::Info, "request_not_placed")
        .field("request", m_caller.m_id)
        .field("service", m_service)
        .field("model", m_caller.m_model)
        .field("outcome", nameOf(Decision.m_outcome))
        .field("options", Options.size())
        .field("least_load", Decision.m_load)
        .field("attempts", m_attempts)
        .field("feed_term", m_services.m_feed.term())
        .field("others_age_ms", absl::ToInt64Milliseconds(
                                    Now - m_services.m_feed.othersUpdatedAt()));
    if (m_mayHaveRun)
      return refuse(Refusal::MayHaveRun);
    return refuse(Decision.m_outcome == PlacementOutcome::NoTarget
                      ? Refusal::NoTarget
                      : Refusal::Overloaded);
  }
  send(*Options[Decision.m_index].m_target);
}

void EntryExchange::send(const ServingTarget &Target) {
  m_target = Target;
  ++m_attempts;
  m_tried.insert(Target.m_id);
  m_attemptBegun = monotonicNow();
  m_headSeen = false;
  m_invalid = false;
  m_said = TargetStatement();
  m_body.clear();
  AttemptStatement Statement;
  Statement.m_target = Target.m_id;
  Statement.m_customer = m_customer;
  Statement.m_timeLeft = m_deadline - m_attemptBegun;
  if (!Target.m_model.empty())
    Statement.m_priority = m_priority;
  Statement.m_resumeAfter = m_events.lastId();
  const HttpRequest &Request = m_exchange->request();
  std::string Bytes = requestBytes(
      Request.m_method, Request.m_target,
      m_services.m_dialect.attemptFields(Request, Statement), Request.m_body);
  absl::Duration MostIdle = m_route->m_kind == RouteKind::AtMostOnce
                                ? internal::OnceOnlyMostIdle
                                : absl::InfiniteDuration();
  m_connection = m_services.m_pool.take(Target.m_address, MostIdle);
  ++m_services.m_uses[Target.m_id];
  m_services.m_attempts[Target.m_id].insert(this);
  m_progressed = false;
  m_staleConnection = false;
  m_watched = m_route->m_kind == RouteKind::Stream;
  if (m_watched)
    m_services.m_stalls.streamStarted(m_attemptBegun, Target.m_id);
  m_connection->call(std::move(Bytes), Request.m_method == "HEAD", *this);
}

std::unique_ptr<HttpClientConnection> EntryExchange::releaseTarget() {
  if (std::exchange(m_watched, false))
    m_services.m_stalls.streamEnded(m_target.m_id, m_progressed);
  if (--m_services.m_uses[m_target.m_id] <= 0)
    m_services.m_uses.erase(m_target.m_id);
  std::set<EntryExchange *> &Here = m_services.m_attempts[m_target.m_id];
  Here.erase(this);
  if (Here.empty())
    m_services.m_attempts.erase(m_target.m_id);
  return std::move(m_connection);
}

void EntryExchange::endAttempt(bool Keep) {
  if (m_connection == nullptr)
    return;
  // Given back or freed on a later turn: this may run within one of the
  // connection's callbacks.
  auto Ended =
      std::make_shared<std::unique_ptr<HttpClientConnection>>(releaseTarget());
  m_services.m_loop.post([&Pool = m_services.m_pool, Ended, Keep] {
    if (Keep)
      Pool.give(std::move(*Ended));
  });
}

bool EntryExchange::onResponseHead(const HttpResponseHead &Head) {
  TargetStatement Said = m_services.m_dialect.readAnswer(Head);
  if (!Said.m_id.empty() && Said.m_id != m_caller.m_id) {
    m_services.m_metrics.increment("turmericdyke_foreign_answers_total");
    LogLine(LogLevel::Warning, "foreign_answer_dropped")
        .field("request", m_caller.m_id)
        .field("answer_of", Said.m_id)
        .field("target", m_target.m_id);
    return false;
  }
  m_headSeen = true;
  m_head = Head;
  m_said = Said;
  bool Success = Head.m_status < internal::FirstFailure;
  m_invalid = (Success && !Said.m_signed) || Said.m_recoded;
  if (Success && !m_invalid && Said.m_events && !m_callerGone)
    startRelay(Head);
  return true;
}

void EntryExchange::startRelay(const HttpResponseHead &Head) {
  m_events.dropPartial();
  if (m_relaying)
    return;
  m_relaying = true;
  m_exchange->start(Head.m_status, m_services.m_dialect.answerFields(Head));
}

void EntryExchange::onResponseBody(std::string_view Bytes) {
  if (m_invalid)
    return;
  if (relays() && m_said.m_events)
    return relay(Bytes);
  if (m_body.size() + Bytes.size() > internal::MaxHeldAnswerBytes)
    m_invalid = true;
  else
    m_body.append(Bytes);
}

void EntryExchange::relay(std::string_view Bytes) {
  std::string Whole = m_events.feed(Bytes);
  if (Whole.empty())
    return;
  Instant Now = monotonicNow();
  bool First = !std::exchange(m_progressed, true);
  if (First)
    m_services.m_health.recordSuccess(m_target.m_id);
  if (m_watched)
    m_services.m_stalls.streamProgressed(Now, m_target.m_id, First);
  m_firstByte = std::min(m_firstByte, Now);
  m_exchange->write(Whole);
  if (m_exchange->unsentBytes() > internal::MaxUnsentBytes && m_connection) {
    m_connection->setReading(false);
    m_services.m_loop.after(absl::Milliseconds(50), [Weak = weak_from_this()] {
      auto Self = Weak.lock();
      if (Self && Self->m_connection)
        Self->m_connection->setReading(true);
    });
  }
}

AttemptOutcome EntryExchange::outcomeOf(ClientEnd End) const {
  if (End == ClientEnd::ConnectFailed || End == ClientEnd::ConnectRefused)
    return AttemptOutcome::NotSent;
  if (!m_headSeen || End != ClientEnd::Complete || m_invalid)
    return m_headSeen && m_said.m_notRun ? AttemptOutcome::StatedNotRun
                                         : AttemptOutcome::Lost;
  if (m_said.m_notRun)
    return AttemptOutcome::StatedNotRun;
  if (m_head.m_status >= internal::FirstServerFailure)
    return AttemptOutcome::FailureAnswered;
  // A stream that ends within an event was cut off by its server.
  if (relays() && (!m_said.m_events || !m_events.atBoundary()))
    return AttemptOutcome::Lost;
  return AttemptOutcome::Answered;
}

void EntryExchange::onCallEnd(ClientEnd End) {
  AttemptOutcome Outcome = outcomeOf(End);
  // A kept connection that its server had closed says nothing about the server:
  // it may be tried again, and is not avoided.
  m_staleConnection = End == ClientEnd::Broken && !m_headSeen && m_connection &&
                      m_connection->calls() > 1;
  if (m_staleConnection)
    m_tried.erase(m_target.m_id);
  endAttempt(End == ClientEnd::Complete && !m_invalid);
  settle(Outcome);
}

void EntryExchange::onTargetEnded() {
  // The head of a group that has lost a member stands still. What may not run
  // again is left to its target.
  if (!m_connection || !mayRepeatByKind() || m_callerGone)
    return;
  m_connection->cancel();
  endAttempt(false);
  settle(AttemptOutcome::GroupEnded);
}

void EntryExchange::onTargetClosing() {
  if (!m_connection || m_callerGone || m_route->m_kind != RouteKind::Stream ||
      !mayRepeatByKind() || m_attempts >= m_route->m_maxAttempts)
    return;
  Instant Now = monotonicNow();
  if (m_services.repeats(m_service).available(Now) <
      internal::RepeatsKeptForFailures)
    return;
  PlacementOptions AmpleRoom;
  AmpleRoom.m_waitingPerSlot = -internal::SlotsKeptFree;
  if (place(options(), AmpleRoom, m_services.m_random).m_outcome !=
      PlacementOutcome::Placed)
    return;
  m_connection->cancel();
  endAttempt(false);
  settle(AttemptOutcome::GroupEnded);
}

bool EntryExchange::mayRepeatByKind() const {
  return m_route->m_kind == RouteKind::Idempotent ||
         (m_route->m_kind == RouteKind::Stream && m_route->m_resumable);
}

void EntryExchange::settle(AttemptOutcome Outcome) {
  Instant Now = monotonicNow();
  bool Failed = Outcome == AttemptOutcome::NotSent ||
                (Outcome == AttemptOutcome::Lost && !m_staleConnection);
  if (Outcome == AttemptOutcome::Answered)
    m_services.m_runs.recordRun(m_service, m_caller.m_model,
                                Now - m_attemptBegun);
  if (Failed)
    m_services.m_health.recordFailure(Now, m_target.m_id);
  else if (Outcome == AttemptOutcome::Answered)
    m_services.m_health.recordSuccess(m_target.m_id);
  if (Outcome == AttemptOutcome::NotSent || m_staleConnection)
    m_services.m_pool.drop(m_target.m_address);
  if (m_done)
    return;
  if (m_callerGone)
    return finish("caller_gone", 0);
  AttemptSummary Facts;
  Facts.m_outcome = Outcome;
  Facts.m_kind = m_route->m_kind;
  Facts.m_resumable = m_route->m_resumable;
  Facts.m_attempts = m_attempts;
  Facts.m_maxAttempts = m_route->m_maxAttempts;
  Facts.m_mayHaveRun = m_mayHaveRun;
  Facts.m_deadline = m_deadline;
  RetryDecision Next = decideRetry(Now, Facts, m_services.repeats(m_service));
  if (Outcome != AttemptOutcome::NotSent &&
      Outcome != AttemptOutcome::StatedNotRun)
    m_mayHaveRun = true;
  if (Outcome != AttemptOutcome::Answered)
    logAttempt(Outcome, Next);
  m_services.m_metrics.increment("turmericdyke_attempts_total",
                                 {{"ending", nameOf(Outcome)}});
  switch (Next) {
  case RetryDecision::Retry:
    return attempt();
  case RetryDecision::Forward:
    return handOn();
  case RetryDecision::RefuseNotRun:
    return refuse(Refusal::AttemptsFailed);
  case RetryDecision::FailMayHaveRun:
    return refuse(Refusal::MayHaveRun);
  }
}

void EntryExchange::handOn() {
  if (relays() && m_said.m_events) {
    m_exchange->finish();
    return finish("answered", m_head.m_status);
  }
  if (relays())
    return breakOff("failure_in_stream");
  HttpResponse Response;
  Response.m_status = m_head.m_status;
  Response.m_fields = m_services.m_dialect.answerFields(m_head);
  Response.m_body = std::move(m_body);
  m_firstByte = monotonicNow();
  m_exchange->respond(Response);
  finish("answered", m_head.m_status);
}

void EntryExchange::breakOff(std::string_view Reason) {
  m_exchange->abort();
  finish(Reason, 0);
}

std::optional<absl::Duration> EntryExchange::returnAfter(Refusal Reason) const {
  std::optional<RetryAfterCause> Cause = internal::causeOf(Reason);
  if (!Cause)
    return std::nullopt;
  RetryAfterInput Input;
  Input.m_cause = *Cause;
  Input.m_uptime = monotonicNow() - m_services.m_started;
  Input.m_everInformed = m_services.m_feed.leaseUntil() != absl::InfinitePast();
  Input.m_meanRunTime = m_services.m_runs.mean(m_service, m_caller.m_model);
  return retryAfter(Input, m_services.m_random);
}

void EntryExchange::refuse(Refusal Reason) {
  // The caller has part of a stream already; only breaking it off shows that it
  // is not complete.
  if (relays())
    return breakOff(nameOf(Reason));
  HttpResponse Response =
      m_services.m_dialect.refusal(Reason, m_caller.m_id, returnAfter(Reason));
  m_services.m_metrics.increment("turmericdyke_refusals_total",
                                 {{"reason", nameOf(Reason)}});
  m_exchange->respond(Response);
  finish(nameOf(Reason), Response.m_status);
}

void EntryExchange::onCallerGone() {
  m_callerGone = true;
  if (m_connection && m_route != nullptr &&
      m_route->m_kind == RouteKind::AtMostOnce)
    return;
  if (m_connection) {
    m_connection->cancel();
    endAttempt(false);
  }
  finish("caller_gone", 0);
}

void EntryExchange::onTimeout() {
  m_timer = EventLoop::Timer{};
  bool InFlight = m_connection != nullptr;
  if (InFlight) {
    m_connection->cancel();
    endAttempt(false);
  }
  if (m_callerGone)
    return finish("caller_gone", 0);
  refuse(InFlight || m_mayHaveRun ? Refusal::TimedOut
                                  : Refusal::TimedOutNotRun);
}

void EntryExchange::logAttempt(AttemptOutcome Outcome,
                               RetryDecision Next) const {
  Instant Now = monotonicNow();
  LogLine(LogLevel::Info, "attempt_ended")
      .field("request", m_caller.m_id)
      .field("attempt", m_attempts)
      .field("of", m_route->m_maxAttempts)
      .field("target", m_target.m_id)
      .field("address", m_target.m_address)
      .field("ending", nameOf(Outcome))
      .field("status", m_headSeen ? m_head.m_status : 0)
      .field("events", m_events.events())
      .field("ms", absl::ToInt64Milliseconds(Now - m_attemptBegun))
      .field("left_ms", absl::ToInt64Milliseconds(m_deadline - Now))
      .field("next", nameOf(Next));
}

void EntryExchange::finish(std::string_view Outcome, int Status) {
  if (m_done)
    return;
  m_done = true;
  m_services.m_loop.cancel(m_timer);
  Instant Now = monotonicNow();
  std::string_view Kind = m_route == nullptr ? "none" : nameOf(m_route->m_kind);
  bool Answered = m_firstByte != absl::InfiniteFuture();
  LogLine(LogLevel::Info, "request_done")
      .field("request", m_caller.m_id)
      .field("route", m_route == nullptr ? std::string_view() : m_route->m_name)
      .field("customer", m_customer)
      .field("kind", Kind)
      .field("model", m_caller.m_model)
      .field("target", m_target.m_id)
      .field("attempts", m_attempts)
      .field("outcome", Outcome)
      .field("status", Status)
      .field("routing_version",
             m_routes == nullptr ? 0 : m_routes->catalog().m_version)
      .field("first_ms",
             Answered ? absl::ToInt64Milliseconds(m_firstByte - m_received)
                      : -1)
      .field("ms", absl::ToInt64Milliseconds(Now - m_received));
  m_services.m_metrics.increment("turmericdyke_requests_total",
                                 {{"kind", Kind}, {"outcome", Outcome}});
  if (Answered)
    m_services.m_metrics.observe(
        "turmericdyke_first_byte_seconds",
        internal::seconds(m_firstByte - m_received),
        {{"customer", m_customer.str()}, {"kind", Kind}});
  m_services.m_metrics.observe("turmericdyke_request_seconds",
                               internal::seconds(Now - m_received),
                               {{"kind", Kind}});
  // Released on a later turn: callers of this still hold references.
  m_services.m_loop.post([Self = std::move(m_self)] {});
}

} // namespace turmericdyke
