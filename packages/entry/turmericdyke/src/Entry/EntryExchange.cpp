#include "turmericdyke/src/Entry/EntryExchange.h"

#include <algorithm>
#include <system_error>
#include <utility>

#include "absl/random/distributions.h"
#include "absl/strings/str_join.h"
#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Base/Text.h"
#include "turmericdyke/src/Entry/AttemptRequest.h"
#include "turmericdyke/src/Entry/EntryServices.h"
#include "turmericdyke/src/Entry/PeerAttempt.h"
#include "turmericdyke/src/Entry/RequestArrival.h"
#include "turmericdyke/src/Entry/TargetAttempt.h"
#include "turmericdyke/src/Http/ServerExchange.h"
#include "turmericdyke/src/Serving/PassOnDecision.h"
#include "turmericdyke/src/Serving/PeerChoice.h"
#include "turmericdyke/src/Serving/PromptTime.h"
#include "turmericdyke/src/Serving/RequestKeys.h"

namespace turmericdyke {

namespace internal {
namespace {

/// One event of a stream is held back up to this size. Events hold some tokens.
constexpr std::size_t MaxEventBytes = 256 << 10;
/// Reading from the target pauses while the caller has more than this many
/// unread bytes of a stream.
constexpr std::size_t MaxUnsentBytes = 64 << 10;
constexpr absl::Duration UnsentPause = absl::Milliseconds(50);

/// An attempt without any progress for this long is passed on when this node
/// finds itself cut off. Events come every 50 ms at full batches.
constexpr absl::Duration ProgressExpected = absl::Milliseconds(250);

/// Why a rejected caller may retry; nothing if it should not.
std::optional<RetryAfterCause> retryAfterCause(Refusal Reason) {
  switch (Reason) {
  case Refusal::NotInformed:
    return RetryAfterCause::NotInformed;
  case Refusal::NoTarget:
    return RetryAfterCause::NoTarget;
  case Refusal::Overloaded:
    return RetryAfterCause::Full;
  case Refusal::AttemptsFailed:
    return RetryAfterCause::AttemptsFailed;
  case Refusal::CrashesTargets:
    return RetryAfterCause::CrashesTargets;
  case Refusal::CutOff:
    return RetryAfterCause::CutOff;
  case Refusal::Stopping:
    return RetryAfterCause::Stopping;
  default:
    return std::nullopt;
  }
}

double seconds(absl::Duration Value) { return absl::ToDoubleSeconds(Value); }

} // namespace
} // namespace internal

EntryExchange::EntryExchange(EntryServices &Services,
                             std::shared_ptr<ServerExchange> Exchange,
                             std::optional<RelayedRequest> Relayed)
    : m_services(Services), m_exchange(std::move(Exchange)),
      m_relayed(std::move(Relayed)), m_routes(Services.m_routes),
      m_partialEvent(Services.m_buffers) {
  m_services.m_carried += m_relayed ? 1 : 0;
}

EntryExchange::~EntryExchange() {
  m_services.m_loop.cancel(m_timer);
  m_services.m_carried -= m_relayed ? 1 : 0;
}

void EntryExchange::begin() {
  m_self = shared_from_this();
  const HttpRequest &Request = m_exchange->request();
  m_caller = m_services.m_protocol.readRequest(Request);
  m_received = Request.m_received;
  m_exchange->onDisconnect([this] { onCallerGone(); });
  if (std::optional<Refusal> Reason = admit())
    return refuse(*Reason);
  absl::Duration Timeout = std::min(
      m_caller.m_timeout.value_or(m_route->m_timeout), m_route->m_timeout);
  m_deadline = m_received + Timeout;
  m_timer = m_services.m_loop.at(m_deadline, [this] { onTimeout(); });
  m_maxAttempts = m_route->m_maxAttempts;
  if (m_relayed)
    m_maxAttempts = std::min(m_maxAttempts, m_relayed->m_attemptsLeft);
  m_service = chooseService();
  // The node that passes a request on has counted it.
  if (!m_relayed) {
    m_services.retryBudget(m_service).onRequest(monotonicNow());
    if (!m_caller.m_model.empty()) {
      ++m_services.m_modelRequests;
      m_services.m_arrivals.add(arrivalOf(
          *m_routes->catalog().service(m_service), m_caller,
          m_services.m_outputSizes.relativeSize(m_service, m_caller.m_model)));
    }
  }
  if (!mayBeginAttempt())
    return refuse(Refusal::Stopping);
  attempt();
}

void EntryExchange::refuseToCarry() {
  m_self = shared_from_this();
  m_caller = m_services.m_protocol.readRequest(m_exchange->request());
  m_received = m_exchange->request().m_received;
  refuse(Refusal::CutOff);
}

std::optional<Refusal> EntryExchange::admit() {
  if (m_caller.m_host.empty())
    return Refusal::BadRequest;
  // Without a lease, routes and keys may have been added, moved or removed, on
  // public routes too.
  if (!m_services.isInformed(monotonicNow()))
    return Refusal::NotInformed;
  m_route = m_routes->find(m_caller.m_host, m_exchange->request().m_target);
  if (m_route == nullptr)
    return Refusal::NoRoute;
  m_priority = m_route->m_priority;
  if (m_route->m_public || !m_routes->catalog().needsKeys())
    return std::nullopt;
  const CustomerEntry *Customer = m_routes->customerOf(m_caller.m_key);
  if (m_caller.m_key.empty() || Customer == nullptr)
    return Refusal::NoKey;
  m_customer = Customer->m_id;
  m_priority = Customer->m_priority.value_or(m_priority);
  return std::nullopt;
}

ServiceId EntryExchange::chooseService() {
  const std::vector<WeightedService> &Parts = m_route->m_services;
  std::uint64_t Sum = 0;
  for (const WeightedService &Part : Parts) {
    // A stream must not be resumed at another service.
    if (m_relayed && Part.m_weight > 0 &&
        serviceHash(Part.m_service) == m_relayed->m_serviceHash)
      return Part.m_service;
    Sum += Part.m_weight;
  }
  std::uint64_t Draw =
      absl::Uniform<std::uint64_t>(m_services.m_random, 0, Sum);
  for (const WeightedService &Part : Parts) {
    if (Draw < Part.m_weight)
      return Part.m_service;
    Draw -= Part.m_weight;
  }
  return Parts.back().m_service;
}

absl::Duration EntryExchange::meanRunTime() const {
  absl::Duration Measured =
      m_services.m_runTimes.mean(m_service, m_caller.m_model);
  if (Measured > absl::ZeroDuration())
    return Measured;
  const ServiceEntry *Service = m_routes->catalog().service(m_service);
  const EngineModel *Model = Service != nullptr && Service->m_engine
                                 ? Service->m_engine->model(m_caller.m_model)
                                 : nullptr;
  return Model == nullptr
             ? absl::ZeroDuration()
             : expectedRunTime(*Service->m_engine, *Model,
                               Service->m_engine->m_typicalPromptTokens,
                               Service->m_engine->m_typicalOutputTokens);
}

std::vector<PlacementOption> EntryExchange::placementOptions() {
  Instant Now = monotonicNow();
  bool Engines = m_routes->catalog().service(m_service)->m_engine.has_value();
  std::vector<PlacementOption> Options;
  Instant Reopens = absl::InfiniteFuture();
  m_coldClosed = 0;
  m_services.m_signals.setNodes(m_services.m_feed.possibleEntryNodes());
  absl::Duration RunTime = meanRunTime();
  for (const auto &[Id, Target] : m_services.m_feed.targets()) {
    if (Target.m_service != m_service ||
        (Engines && Target.m_model != m_caller.m_model) ||
        m_services.m_signals.isLeaving(Target))
      continue;
    Instant NextUse =
        m_services.m_signals.nextUse(Now, Target, m_services.m_random);
    bool Closed = NextUse > Now;
    if (Closed)
      NextUse =
          m_services.m_signals.expectedUse(Now, Target, m_services.m_random);
    Reopens = std::min(Reopens, NextUse);
    m_coldClosed +=
        Closed && m_services.m_signals.coldRate(Now, Target) ? 1 : 0;
    if (m_tried.count(Id) > 0)
      continue;
    PlacementOption Option;
    Option.m_target = &Target;
    auto Used = m_services.m_uses.find(Id);
    Option.m_ownRequests = Used == m_services.m_uses.end() ? 0 : Used->second;
    Option.m_otherRequests = m_services.m_feed.requestsOfOthers(Id);
    Option.m_otherRequestsAge = Now - m_services.m_feed.othersUpdatedAt();
    Option.m_meanRunTime = RunTime;
    Option.m_remote =
        Target.m_failureDomain != m_services.m_settings.m_failureDomain;
    Option.m_closed = Closed;
    Option.m_avoided = m_services.m_health.isAvoided(Now, Id);
    Option.m_quiet = m_services.m_stalls.isQuiet(Now, Id);
    Options.push_back(Option);
  }
  m_reopens = Reopens > Now ? Reopens : absl::InfiniteFuture();
  return Options;
}

const std::vector<SuspectKey> &EntryExchange::keys() {
  if (m_keys.empty()) {
    const HttpRequest &Request = m_exchange->request();
    m_keys =
        requestKeys({m_customer, Request.m_method, Request.m_target,
                     m_caller.m_model, Request.m_body, m_caller.m_promptParts});
  }
  return m_keys;
}

bool EntryExchange::isRefused() {
  return m_services.m_suspects.active() &&
         m_services.m_suspects.isRefused(keys());
}

void EntryExchange::reportCrash() {
  CrashReport Report;
  Report.m_target = m_attempt->destination().m_id;
  Report.m_generation = m_attempt->destination().m_generation;
  Report.m_began = m_attempt->headReceived();
  Report.m_events = streamEvents();
  Report.m_pastStart = hasPastStart();
  Report.m_keys = Report.m_pastStart ? std::vector{keys().back()} : keys();
  LogLine(LogLevel::Info, "crash_reported")
      .field("request", m_caller.m_id)
      .field("target", Report.m_target)
      .field("generation", Report.m_generation)
      .field("began", Report.m_began)
      .field("events", Report.m_events)
      .field("past_start", Report.m_pastStart)
      .field("keys", absl::StrJoin(Report.m_keys, ","));
  m_services.m_suspects.attemptCrashed(monotonicNow(), std::move(Report));
  m_services.m_feed.requestNow(monotonicNow());
}

bool EntryExchange::mayBeginAttempt() const {
  if (!m_services.m_stop.hasBegun())
    return true;
  StopRequest Request;
  Request.m_deadline = m_deadline;
  Request.m_repeatable = mayRunAgain(m_route->m_kind, m_route->m_resumable);
  const ServiceEntry *Service = m_routes->catalog().service(m_service);
  const EngineModel *Model = Service != nullptr && Service->m_engine
                                 ? Service->m_engine->model(m_caller.m_model)
                                 : nullptr;
  if (Model != nullptr)
    Request.m_runTime =
        expectedRunTime(*Service->m_engine, *Model, m_caller.m_promptTokens,
                        m_caller.m_maxOutputTokens);
  if (Request.m_runTime <= absl::ZeroDuration())
    Request.m_runTime = m_services.m_runTimes.mean(m_service, m_caller.m_model);
  return m_services.m_stop.mayBegin(monotonicNow(), Request);
}

bool EntryExchange::isRunning() const {
  return m_attempt != nullptr && m_attempt->running();
}

void EntryExchange::onRefusedKeys() {
  bool Begun = m_events.events() > m_eventsBefore;
  if (!isRunning() || Begun || m_route->m_kind == RouteKind::AtMostOnce ||
      m_callerGone || !isRefused())
    return;
  m_attempt->cancel();
  refuse(Refusal::MayHaveRun);
}

void EntryExchange::attempt() {
  Instant Now = monotonicNow();
  if (isRefused())
    return refuse(m_mayHaveRun ? Refusal::MayHaveRun : Refusal::CrashesTargets);
  if (!m_services.isInformed(Now))
    return refuse(m_mayHaveRun ? Refusal::MayHaveRun : Refusal::NotInformed);
  if (m_successor)
    return attemptAt(*std::exchange(m_successor, std::nullopt));
  if (passesOn())
    return passOn();
  place();
}

bool EntryExchange::passesOn() const {
  // Without a node that takes requests of others this one is not the only one
  // whose connections fail, and a target may still be reached.
  return m_services.m_reach.isCutOff(m_service) &&
         !m_services.m_feed.peers().empty();
}

void EntryExchange::attemptAt(const ServingTarget &Target) {
  m_tried.insert(Target.m_id);
  start(std::make_shared<TargetAttempt>(m_services, *this, *this, Target));
}

void EntryExchange::place() {
  std::vector<PlacementOption> Options = placementOptions();
  PlacementDecision Decision =
      turmericdyke::place(Options, m_services.m_placement, m_services.m_random);
  // Labels are those of a target, as callers may state any model.
  if (!Options.empty())
    m_services.m_metrics.set("turmericdyke_placement_level", Decision.m_level,
                             {{"service", m_service.str()},
                              {"model", Options.front().m_target->m_model}});
  if (Decision.m_outcome == PlacementOutcome::Placed)
    return attemptAt(*Options[Decision.m_index].m_target);
  logNotPlaced(Options, Decision);
  if (m_coldClosed > 0)
    m_services.m_metrics.increment("turmericdyke_cold_refusals_total");
  if (m_mayHaveRun)
    return refuse(Refusal::MayHaveRun);
  refuse(Decision.m_outcome == PlacementOutcome::NoTarget
             ? Refusal::NoTarget
             : Refusal::Overloaded);
}

bool EntryExchange::mayPassOn() const {
  PassOnInput Input;
  Input.m_relayed = m_relayed.has_value();
  Input.m_earlierAttempts = m_freeAttempts;
  Input.m_timeLeft = m_deadline - monotonicNow();
  return turmericdyke::mayPassOn(Input);
}

std::vector<const EntryPeer *> EntryExchange::untriedPeers() const {
  std::vector<const EntryPeer *> Untried;
  for (const EntryPeer &Peer : m_services.m_feed.peers())
    if (m_tried.count(TargetId(Peer.m_node.str())) == 0)
      Untried.push_back(&Peer);
  return Untried;
}

void EntryExchange::passOn() {
  std::vector<const EntryPeer *> Untried = untriedPeers();
  std::vector<PeerOption> Options;
  Options.reserve(Untried.size());
  for (const EntryPeer *Peer : Untried)
    Options.push_back(m_services.peerOption(monotonicNow(), *Peer));
  std::optional<std::size_t> Chosen;
  if (mayPassOn())
    Chosen = choosePeer(Options, m_services.m_random);
  if (!Chosen) {
    LogLine(LogLevel::Info, "request_not_passed_on")
        .field("request", m_caller.m_id)
        .field("service", m_service)
        .field("peers", m_services.m_feed.peers().size())
        .field("untried", Untried.size())
        .field("relayed", m_relayed.has_value())
        .field("may_have_run", m_mayHaveRun);
    return refuse(m_mayHaveRun ? Refusal::MayHaveRun : Refusal::CutOff);
  }
  const EntryPeer &Peer = *Untried[*Chosen];
  LogLine(LogLevel::Info, "request_passed_on")
      .field("request", m_caller.m_id)
      .field("service", m_service)
      .field("to", Peer.m_node)
      .field("own_requests", Options[*Chosen].m_ownRequests)
      .field("peers", m_services.m_feed.peers().size())
      .field("attempts_left", m_maxAttempts - m_attempts);
  m_services.m_metrics.increment("turmericdyke_requests_passed_on_total");
  m_tried.insert(TargetId(Peer.m_node.str()));
  start(
      std::make_shared<PeerAttempt>(m_services, *this, *this, Peer, m_service));
}

AttemptRequest EntryExchange::attemptRequest() const {
  AttemptRequest Request{m_exchange->request(), m_caller, *m_routes, *m_route};
  Request.m_service = m_service;
  Request.m_customer = m_customer;
  Request.m_priority = m_priority;
  Request.m_deadline = m_deadline;
  Request.m_resumeAfter = m_events.lastId();
  Request.m_attemptsLeft =
      std::max<std::int64_t>(1, m_maxAttempts - m_attempts + 1);
  return Request;
}

void EntryExchange::start(std::shared_ptr<EntryAttempt> Next) {
  ++m_attempts;
  m_keptFor.reset();
  m_eventsBefore = m_events.events();
  m_attempt = std::move(Next);
  m_attempt->begin(attemptRequest());
}

bool EntryExchange::onStreamBegun(const HttpResponseHead &Head) {
  if (m_callerGone)
    return false;
  m_events.dropPartial();
  if (m_relaying)
    return true;
  m_relaying = true;
  HttpFields Fields = m_services.m_protocol.responseFields(Head);
  addRelayFields(Fields, std::nullopt);
  m_exchange->start(Head.m_status, Fields);
  return true;
}

bool EntryExchange::hasPastStart() const {
  return attemptEvents() >= EventsPastCrash;
}

std::uint64_t EntryExchange::streamEvents() const {
  // Events are numbered, and a caller may have resumed the stream.
  const std::optional<std::string> &Last = m_events.lastId();
  std::optional<std::int64_t> Number =
      Last ? parseInteger(*Last) : m_caller.m_resumeAfter;
  if (Number && *Number >= 0)
    return static_cast<std::uint64_t>(*Number);
  return m_events.events();
}

void EntryExchange::onStreamBytes(std::string_view Bytes) {
  std::string Complete = m_events.feed(Bytes);
  std::size_t Partial = m_events.partialBytes();
  if (Partial > internal::MaxEventBytes || !m_partialEvent.resize(Partial))
    return m_attempt->abandonEndless();
  if (Complete.empty())
    return;
  Instant Now = monotonicNow();
  m_attempt->onEventRelayed(Now);
  m_firstByte = std::min(m_firstByte, Now);
  if (m_services.m_suspects.active() && hasPastStart())
    m_services.m_suspects.requestProgressed(Now, keys(),
                                            {attemptEvents(), streamEvents()});
  m_exchange->write(Complete);
  awaitCaller();
}

void EntryExchange::awaitCaller() {
  if (!isRunning())
    return;
  bool Behind = m_exchange->unsentBytes() > internal::MaxUnsentBytes;
  m_attempt->setReading(!Behind);
  if (!Behind || m_awaitsCaller)
    return;
  m_awaitsCaller = true;
  m_attempt->onReadingPaused(monotonicNow());
  m_services.m_loop.after(internal::UnsentPause, [Weak = weak_from_this()] {
    if (auto Self = Weak.lock()) {
      Self->m_awaitsCaller = false;
      Self->awaitCaller();
    }
  });
}

bool EntryExchange::completesResponse(const EntryAttempt &Attempt) const {
  if (!isRelaying())
    return true;
  // A stream that ends within an event was cut off by its server.
  if (!Attempt.streams() || !m_events.atBoundary())
    return false;
  // The end of the connection is the only sign of completeness here.
  return !Attempt.head().m_endsWithConnection || m_events.events() > 0;
}

void EntryExchange::onTargetEnded() { considerMove(MoveCause::Silent); }

void EntryExchange::onTargetClosing() { considerMove(MoveCause::Closing); }

void EntryExchange::onCutOff(const ServiceId &Service) {
  if (Service != m_service || !isRunning() || m_attempt->isPeer() ||
      monotonicNow() - m_attempt->lastProgress() < internal::ProgressExpected)
    return;
  considerMove(MoveCause::Silent);
}

absl::Duration EntryExchange::silence(Instant Now) const {
  const StallDetector &Stalls =
      m_attempt->isPeer() ? m_services.m_peerStalls : m_services.m_stalls;
  return Stalls.silence(Now, m_attempt->destination().m_id);
}

void EntryExchange::considerMove(MoveCause Cause) {
  if (!isRunning() || m_callerGone)
    return;
  Instant Now = monotonicNow();
  // While this node is cut off from the targets, only another node can take
  // over.
  std::vector<PlacementOption> Options;
  if (!m_services.m_reach.isCutOff(m_service))
    Options = placementOptions();
  MoveInput Input;
  Input.m_cause = Cause;
  Input.m_kind = m_route->m_kind;
  Input.m_resumable = m_route->m_resumable;
  Input.m_permitted =
      m_services.isInformed(Now) && !isRefused() && mayBeginAttempt();
  Input.m_attempts = m_attempts;
  Input.m_maxAttempts = m_maxAttempts;
  Input.m_retries = m_services.retryBudget(m_service).available(Now);
  Input.m_timeLeft = m_deadline - Now;
  Input.m_silence = silence(Now);
  Input.m_passesOn = passesOn() && mayPassOn() && !untriedPeers().empty();
  MoveChoice Choice = decideMove(Input, Options, m_services.m_random);
  m_services.m_metrics.increment(
      "turmericdyke_moves_total",
      {{"cause", nameOf(Cause)}, {"decision", nameOf(Choice.m_decision)}});
  if (Choice.m_decision != MoveDecision::Move)
    return logKept(Input, Choice.m_decision, Options.size());
  if (!Input.m_passesOn)
    m_successor = *Options[Choice.m_index].m_target;
  m_attempt->abandon(AttemptOutcome::GroupEnded);
}

void EntryExchange::logKept(const MoveInput &Input, MoveDecision Reason,
                            std::size_t Options) {
  if (Reason == MoveDecision::KeepKind || m_keptFor == Reason)
    return;
  m_keptFor = Reason;
  LogLine(LogLevel::Info, "attempt_kept")
      .field("request", m_caller.m_id)
      .field("target", m_attempt->destination().m_id)
      .field("cause", nameOf(Input.m_cause))
      .field("reason", nameOf(Reason))
      .field("attempt", Input.m_attempts)
      .field("of", Input.m_maxAttempts)
      .field("retries", Input.m_retries)
      .field("left_ms", absl::ToInt64Milliseconds(Input.m_timeLeft))
      .field("silent_ms", absl::ToInt64Milliseconds(Input.m_silence))
      .field("passes_on", Input.m_passesOn)
      .field("options", Options);
}

void EntryExchange::countAttempt(AttemptOutcome Outcome) {
  m_offered = m_offered || wasOffered(Outcome);
  if (m_attempt->isPeer())
    m_attempts += std::max<std::int64_t>(
        0,
        static_cast<const PeerAttempt &>(*m_attempt).stated().m_attempts - 1);
}

PassOnPath EntryExchange::passOnPath() const {
  if (!mayPassOn() || m_services.m_feed.peers().empty())
    return PassOnPath::None;
  if (m_attempt->isPeer() || passesOn())
    return PassOnPath::Preferred;
  return m_services.m_reach.isSuspected(m_service) ? PassOnPath::LastResort
                                                   : PassOnPath::None;
}

AttemptSummary EntryExchange::summary(AttemptOutcome Outcome) const {
  AttemptSummary Summary;
  Summary.m_outcome = Outcome;
  Summary.m_kind = m_route->m_kind;
  Summary.m_resumable = m_route->m_resumable;
  Summary.m_attempts = m_attempts;
  Summary.m_maxAttempts = m_maxAttempts;
  Summary.m_mayHaveRun = m_mayHaveRun;
  Summary.m_deadline = m_deadline;
  Summary.m_mayBegin = mayBeginAttempt();
  Summary.m_passOn = passOnPath();
  return Summary;
}

void EntryExchange::onAttemptEnded(AttemptOutcome Outcome) {
  Instant Now = monotonicNow();
  if (Outcome == AttemptOutcome::Answered && m_services.m_suspects.active())
    m_services.m_suspects.requestProgressed(Now, keys(),
                                            RequestProgress::whole());
  if (m_attempt->mayRetryThere())
    m_tried.erase(m_attempt->destination().m_id);
  if (m_attempt->brokeOff() && !m_attempt->isPeer())
    reportCrash();
  if (m_done)
    return;
  if (m_callerGone)
    return finish("caller_gone", 0);
  countAttempt(Outcome);
  m_services.m_metrics.increment("turmericdyke_attempts_total",
                                 {{"ending", nameOf(Outcome)}});
  RetryDecision Next =
      decideRetry(Now, summary(Outcome), m_services.retryBudget(m_service));
  if (wasOffered(Outcome) && Outcome != AttemptOutcome::StatedNotRun)
    m_mayHaveRun = true;
  if (Outcome != AttemptOutcome::Answered)
    logAttempt(Outcome, nameOf(Next));
  switch (Next) {
  case RetryDecision::Retry:
    return attempt();
  case RetryDecision::Forward:
    return forwardResponse();
  case RetryDecision::RefuseNotRun:
    return refuse(refusalNotRun());
  case RetryDecision::FailMayHaveRun:
    return refuse(Refusal::MayHaveRun);
  case RetryDecision::PassOn:
    --m_attempts;
    ++m_freeAttempts;
    // A node that reaches the targets again uses them itself.
    return passesOn() || !m_attempt->isPeer() ? passOn() : attempt();
  }
}

Refusal EntryExchange::refusalNotRun() const {
  if (!mayBeginAttempt())
    return Refusal::Stopping;
  // Another node may know better why the request cannot be served.
  if (m_attempt->isPeer())
    return static_cast<const PeerAttempt &>(*m_attempt)
        .stated()
        .m_reason.value_or(Refusal::AttemptsFailed);
  return Refusal::AttemptsFailed;
}

void EntryExchange::forwardResponse() {
  const HttpResponseHead &Head = m_attempt->head();
  if (m_attempt->streams()) {
    if (!m_caller.m_model.empty())
      m_services.m_outputSizes.record(m_service, m_caller.m_model,
                                      m_events.events());
    m_exchange->finish();
    return finish("answered", Head.m_status);
  }
  if (isRelaying())
    return abortResponse("failure_in_stream");
  HttpResponse Response;
  Response.m_status = Head.m_status;
  Response.m_fields = m_services.m_protocol.responseFields(Head);
  addRelayFields(Response.m_fields, std::nullopt);
  Response.m_body = m_attempt->takeBody();
  m_firstByte = monotonicNow();
  m_exchange->respond(Response);
  finish("answered", Head.m_status);
}

void EntryExchange::addRelayFields(HttpFields &Fields,
                                   std::optional<Refusal> Reason) const {
  if (!m_relayed)
    return;
  RelayedResponse Statement;
  Statement.m_attempts = m_attempts;
  if (Reason) {
    RelayOutcome NotRun =
        m_offered ? RelayOutcome::NotRun : RelayOutcome::NotOffered;
    Statement.m_outcome = isNotRun(*Reason) ? NotRun : RelayOutcome::MayHaveRun;
    Statement.m_reason = *Reason;
  }
  Fields.set(RelayHeader, relayHeaderValue(Statement));
}

void EntryExchange::abortResponse(std::string_view Reason) {
  m_exchange->abort();
  finish(Reason, 0);
}

std::optional<absl::Duration>
EntryExchange::retryAfterFor(Refusal Reason) const {
  std::optional<RetryAfterCause> Cause = internal::retryAfterCause(Reason);
  if (!Cause)
    return std::nullopt;
  RetryAfterInput Input;
  Input.m_cause = *Cause;
  Input.m_uptime = monotonicNow() - m_services.m_started;
  Input.m_everInformed = m_services.m_feed.leaseUntil() != absl::InfinitePast();
  if (m_reopens != absl::InfiniteFuture())
    Input.m_untilOpen = m_reopens - monotonicNow();
  Input.m_meanRunTime = m_services.m_runTimes.mean(m_service, m_caller.m_model);
  return retryAfter(Input, m_services.m_random);
}

void EntryExchange::refuse(Refusal Reason) {
  // The caller already has part of a stream. Aborting the connection is the
  // only way to show that it is incomplete.
  if (isRelaying())
    return abortResponse(nameOf(Reason));
  HttpResponse Response = m_services.m_protocol.refusal(Reason, m_caller.m_id,
                                                        retryAfterFor(Reason));
  addRelayFields(Response.m_fields, Reason);
  m_services.m_metrics.increment("turmericdyke_refusals_total",
                                 {{"reason", nameOf(Reason)}});
  m_exchange->respond(Response);
  finish(nameOf(Reason), Response.m_status);
}

void EntryExchange::onCallerGone() {
  m_callerGone = true;
  if (isRunning() && m_route->m_kind == RouteKind::AtMostOnce)
    return;
  if (isRunning())
    m_attempt->cancel();
  finish("caller_gone", 0);
}

void EntryExchange::onTimeout() {
  m_timer = EventLoop::Timer{};
  bool InFlight = isRunning();
  if (InFlight)
    m_attempt->cancel();
  if (m_callerGone)
    return finish("caller_gone", 0);
  refuse(InFlight || m_mayHaveRun ? Refusal::TimedOut
                                  : Refusal::TimedOutNotRun);
}

void EntryExchange::onStopEnding() {
  if (!isRunning())
    return;
  bool Sent = m_attempt->sentAny();
  m_attempt->cancel();
  if (m_callerGone)
    return finish("caller_gone", 0);
  refuse(Sent || m_mayHaveRun ? Refusal::MayHaveRun : Refusal::Stopping);
}

void EntryExchange::logNotPlaced(absl::Span<const PlacementOption> Options,
                                 const PlacementDecision &Decision) const {
  LogLine(LogLevel::Info, "request_not_placed")
      .field("request", m_caller.m_id)
      .field("service", m_service)
      .field("model", m_caller.m_model)
      .field("outcome", nameOf(Decision.m_outcome))
      .field("options", Options.size())
      .field("closed",
             std::count_if(Options.begin(), Options.end(),
                           [](const auto &Option) { return Option.m_closed; }))
      .field("cold_closed", m_coldClosed)
      .field("least_load", Decision.m_load)
      .field("level", Decision.m_level)
      .field("arrivals", Decision.m_arrivals)
      .field("attempts", m_attempts)
      .field("feed_term", m_services.m_feed.term())
      .field("others_age_ms",
             absl::ToInt64Milliseconds(monotonicNow() -
                                       m_services.m_feed.othersUpdatedAt()));
}

void EntryExchange::logAttempt(AttemptOutcome Outcome,
                               std::string_view Next) const {
  Instant Now = monotonicNow();
  const ServingTarget &Destination = m_attempt->destination();
  LogLine(LogLevel::Info, "attempt_ended")
      .field("request", m_caller.m_id)
      .field("attempt", m_attempts)
      .field("of", m_maxAttempts)
      .field("target", Destination.m_id)
      .field("address", Destination.m_address)
      .field("by_peer", m_attempt->isPeer())
      .field("ending", nameOf(Outcome))
      .field("status",
             m_attempt->headReceived() ? m_attempt->head().m_status : 0)
      .field("socket",
             m_attempt->socketError() == 0
                 ? "sound"
                 : std::generic_category().message(m_attempt->socketError()))
      .field("break", m_attempt->breakCause() ? nameOf(*m_attempt->breakCause())
                                              : "none")
      .field("began", m_attempt->headReceived())
      .field("events", m_events.events())
      .field("parts", absl::StrJoin(m_caller.m_promptParts, ","))
      .field("ms", absl::ToInt64Milliseconds(Now - m_attempt->started()))
      .field("left_ms", absl::ToInt64Milliseconds(m_deadline - Now))
      .field("next", Next);
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
      .field("target", m_attempt ? m_attempt->destination().m_id : TargetId())
      .field("attempts", m_attempts)
      .field("by_peer", m_attempt != nullptr && m_attempt->isPeer())
      .field("relayed_from", m_relayed ? m_relayed->m_from : NodeId())
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
  // Released in a later turn of the loop: callers of this function still hold
  // references.
  m_services.m_loop.post([Self = std::move(m_self)] {});
}

} // namespace turmericdyke
