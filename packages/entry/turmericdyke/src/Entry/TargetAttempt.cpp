#include "turmericdyke/src/Entry/TargetAttempt.h"

#include <utility>

#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Entry/AttemptRequest.h"
#include "turmericdyke/src/Entry/EntryServices.h"
#include "turmericdyke/src/Entry/FirstEventTime.h"

namespace turmericdyke {

HttpFields TargetAttempt::requestFields(const AttemptRequest &Request) const {
  AttemptInfo Info;
  Info.m_target = m_destination.m_id;
  Info.m_customer = Request.m_customer;
  Info.m_timeLeft = Request.m_deadline - started();
  if (!m_destination.m_model.empty())
    Info.m_priority = Request.m_priority;
  Info.m_resumeAfter = Request.m_resumeAfter;
  return m_services.m_protocol.attemptFields(Request.m_request, Info);
}

void TargetAttempt::recordBegin(const AttemptRequest &Request) {
  ++m_services.m_uses[m_destination.m_id];
  m_services.m_signals.onSend(started(), m_destination.m_id);
  if (m_services.m_signals.coldRate(started(), m_destination))
    m_services.m_metrics.increment("turmericdyke_cold_requests_total");
  m_stallTracked = Request.m_route.m_kind == RouteKind::Stream;
  if (m_stallTracked)
    m_services.m_stalls.streamStarted(started(), m_destination.m_id,
                                      firstEventTime(Request));
}

void TargetAttempt::recordProgress(Instant Now, bool First) {
  if (First)
    m_services.m_health.recordSuccess(m_destination.m_id);
  if (m_stallTracked)
    m_services.m_stalls.streamProgressed(Now, m_destination.m_id, First);
}

void TargetAttempt::recordRelease(bool Flowing) {
  if (std::exchange(m_stallTracked, false))
    m_services.m_stalls.streamEnded(m_destination.m_id, Flowing);
  if (--m_services.m_uses[m_destination.m_id] <= 0)
    m_services.m_uses.erase(m_destination.m_id);
}

void TargetAttempt::recordOutcome(Instant Now, AttemptOutcome Outcome) {
  bool NotSent = Outcome == AttemptOutcome::NotSent;
  if (NotSent || (Outcome == AttemptOutcome::Lost && !usedStaleConnection()))
    m_services.m_health.recordFailure(Now, m_destination.m_id);
  if (NotSent || brokeUndelivered())
    m_services.m_pool.drop(m_destination.m_address);
  if (Outcome != AttemptOutcome::Answered)
    return;
  m_services.m_health.recordSuccess(m_destination.m_id);
  m_services.m_runTimes.recordRun(m_destination.m_service,
                                  m_destination.m_model, Now - started());
}

void TargetAttempt::recordConnection(bool Works) {
  m_services.recordConnection(m_destination, Works);
}

void TargetAttempt::readStatements(HttpResponseHead & /*Head*/,
                                   const ResponseInfo &Info) {
  if (!Info.m_id.empty())
    onSignal(Info.m_signal);
}

void TargetAttempt::onSignal(const TargetSignal &Signal) {
  TargetSignalNews News = m_services.m_signals.onResponse(
      monotonicNow(), started(), m_destination, Signal);
  if (News.m_limit)
    logLimit();
  if (News.m_paused) {
    m_services.m_metrics.increment("turmericdyke_target_signals_total",
                                   {{"signal", "pause"}});
    LogLine(LogLevel::Info, "target_pause_heard")
        .field("request", m_requestId)
        .field("target", m_destination.m_id)
        .field("instance", m_destination.m_instance)
        .field("ms", absl::ToInt64Milliseconds(*Signal.m_pause));
  }
  if (News.m_cold) {
    m_services.m_metrics.increment("turmericdyke_target_signals_total",
                                   {{"signal", "cold"}});
    LogLine(LogLevel::Info, "target_cold_heard")
        .field("request", m_requestId)
        .field("target", m_destination.m_id)
        .field("instance", m_destination.m_instance)
        .field("ms", absl::ToInt64Milliseconds(*Signal.m_coldFor));
  }
  if (News.m_leaving) {
    m_services.m_metrics.increment("turmericdyke_target_signals_total",
                                   {{"signal", "leaving"}});
    LogLine(LogLevel::Info, "target_leaving_heard")
        .field("request", m_requestId)
        .field("target", m_destination.m_id)
        .field("instance", m_destination.m_instance);
  }
}

void TargetAttempt::logLimit() const {
  std::optional<double> Limit = m_services.m_signals.limitOf(m_destination);
  m_services.m_metrics.increment(
      "turmericdyke_target_signals_total",
      {{"signal", Limit ? "limit_named" : "limit_withdrawn"}});
  LogLine(LogLevel::Info, "target_limit_heard")
      .field("request", m_requestId)
      .field("target", m_destination.m_id)
      .field("instance", m_destination.m_instance)
      .field("limited", Limit.has_value())
      .field("per_second", Limit.value_or(0))
      .field("nodes", m_services.m_feed.possibleEntryNodes());
}

} // namespace turmericdyke
