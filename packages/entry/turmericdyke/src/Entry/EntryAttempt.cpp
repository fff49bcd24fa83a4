#include "turmericdyke/src/Entry/EntryAttempt.h"

#include <utility>

#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Catalog/Catalog.h"
#include "turmericdyke/src/Entry/AttemptEvents.h"
#include "turmericdyke/src/Entry/AttemptRequest.h"
#include "turmericdyke/src/Entry/EntryServices.h"

namespace turmericdyke {

namespace internal {
namespace {

/// A response that is no stream is buffered up to this size, so that a broken
/// one can be retried before the caller has seen any of it. Responses of
/// services are about 1 KB.
constexpr std::size_t MaxBufferedResponseBytes = 1 << 20;
/// An at-most-once request uses a kept-alive connection only if it was idle for
/// at most this long. If the server has just closed the connection, it is
/// unknown whether the request ran.
constexpr absl::Duration AtMostOnceMaxIdle = absl::Milliseconds(400);

constexpr int FirstFailure = 300;
constexpr int FirstServerFailure = 500;

absl::Duration maxIdle(const AttemptRequest &Request) {
  // Responses to a request without an identifier do not say whose they are.
  if (Request.m_caller.m_id.empty())
    return -absl::InfiniteDuration();
  return Request.m_route.m_kind == RouteKind::AtMostOnce
             ? AtMostOnceMaxIdle
             : absl::InfiniteDuration();
}

} // namespace
} // namespace internal

EntryAttempt::EntryAttempt(EntryServices &Services, EntryExchange &Owner,
                           AttemptEvents &Events, ServingTarget Destination)
    : m_services(Services), m_destination(std::move(Destination)),
      m_owner(Owner), m_events(Events), m_buffered(Services.m_buffers) {}

EntryAttempt::~EntryAttempt() = default;

void EntryAttempt::begin(const AttemptRequest &Request) {
  m_requestId = Request.m_caller.m_id;
  m_started = m_lastProgress = monotonicNow();
  const HttpRequest &Sent = Request.m_request;
  std::string Bytes = requestBytes(Sent.m_method, Sent.m_target,
                                   requestFields(Request), Sent.m_body);
  m_connection = m_services.m_pool.acquireConnection(
      m_destination.m_address, internal::maxIdle(Request));
  m_services.m_attempts[m_destination.m_id].insert(&m_owner);
  recordBegin(Request);
  m_connection->call(std::move(Bytes), Sent.m_method == "HEAD", *this);
}

void EntryAttempt::cancel() {
  if (!m_connection)
    return;
  m_connection->cancel();
  release(false);
}

void EntryAttempt::abandon(AttemptOutcome Outcome) {
  m_connection->cancel();
  end(Outcome, false);
}

void EntryAttempt::abandonEndless() {
  m_services.m_metrics.increment("turmericdyke_endless_responses_total");
  LogLine(LogLevel::Warning, "endless_response_ended")
      .field("request", m_requestId)
      .field("target", m_destination.m_id)
      .field("body", m_body.size())
      .field("buffered", m_services.m_buffers.total());
  abandon(AttemptOutcome::Lost);
}

void EntryAttempt::setReading(bool On) {
  if (m_connection)
    m_connection->setReading(On);
}

void EntryAttempt::onReadingPaused(Instant Now) {
  m_lastProgress = Now;
  recordProgress(Now, false);
}

void EntryAttempt::onEventRelayed(Instant Now) {
  m_lastProgress = Now;
  recordProgress(Now, !std::exchange(m_eventRelayed, true));
}

void EntryAttempt::release(bool Keep) {
  recordRelease(m_eventRelayed);
  std::set<EntryExchange *> &Here = m_services.m_attempts[m_destination.m_id];
  Here.erase(&m_owner);
  if (Here.empty())
    m_services.m_attempts.erase(m_destination.m_id);
  // Returned to the pool or closed in a later turn of the loop, as this may run
  // in a callback of the connection.
  auto Ended = std::make_shared<std::unique_ptr<HttpClientConnection>>(
      std::move(m_connection));
  m_services.m_loop.post([&Pool = m_services.m_pool, Ended, Keep] {
    if (Keep)
      Pool.releaseConnection(std::move(*Ended));
  });
}

void EntryAttempt::end(AttemptOutcome Outcome, bool Keep) {
  release(Keep);
  recordOutcome(monotonicNow(), Outcome);
  // The owner may begin another attempt and drop this one.
  std::shared_ptr<EntryAttempt> Self = shared_from_this();
  m_services.m_loop.post([Self] {});
  m_events.onAttemptEnded(Outcome);
}

bool EntryAttempt::onResponseHead(const HttpResponseHead &Head) {
  ResponseInfo Info = m_services.m_protocol.readResponse(Head);
  // A target may repeat an earlier response on a kept connection. One that does
  // not say whose it is could be that.
  bool Foreign = !Info.m_id.empty() && Info.m_id != m_requestId;
  bool Unattributed = Info.m_id.empty() && m_connection->calls() > 1;
  if (Foreign || Unattributed) {
    m_services.m_metrics.increment("turmericdyke_foreign_answers_total");
    LogLine(LogLevel::Warning, "foreign_answer_dropped")
        .field("request", m_requestId)
        .field("answer_of", Info.m_id)
        .field("target", m_destination.m_id);
    return false;
  }
  m_headReceived = true;
  m_lastProgress = monotonicNow();
  if (m_connection->calls() == 1)
    recordConnection(true);
  m_head = Head;
  m_info = Info;
  bool Success = Head.m_status < internal::FirstFailure;
  m_invalid = (Success && !Info.m_signed) || Info.m_recoded;
  if (!m_invalid)
    readStatements(m_head, Info);
  if (m_invalid && !Info.m_notRun) {
    // Such a response is of no use, and its body may have no end.
    abandon(AttemptOutcome::Lost);
    return true;
  }
  m_streams =
      Success && !m_invalid && Info.m_events && m_events.onStreamBegun(m_head);
  return true;
}

void EntryAttempt::onResponseBody(std::string_view Bytes) {
  if (m_invalid)
    return;
  if (m_streams)
    return m_events.onStreamBytes(Bytes);
  std::size_t Size = m_body.size() + Bytes.size();
  if (Size > internal::MaxBufferedResponseBytes || !m_buffered.resize(Size))
    return abandonEndless();
  m_body.append(Bytes);
}

AttemptOutcome EntryAttempt::outcomeOf(ClientCallStatus End) const {
  if (End == ClientCallStatus::ConnectFailed ||
      End == ClientCallStatus::ConnectRefused)
    return AttemptOutcome::NotSent;
  if (std::optional<AttemptOutcome> Stated = statedOutcome())
    return *Stated;
  if (m_headReceived && m_info.m_notRun)
    return AttemptOutcome::StatedNotRun;
  if (!m_headReceived || End != ClientCallStatus::Complete || m_invalid)
    return AttemptOutcome::Lost;
  if (m_head.m_status >= internal::FirstServerFailure)
    return AttemptOutcome::FailureAnswered;
  return m_events.completesResponse(*this) ? AttemptOutcome::Answered
                                           : AttemptOutcome::Lost;
}

std::optional<BreakCause>
EntryAttempt::breakCauseOf(ClientCallStatus End) const {
  if (End != ClientCallStatus::Broken || m_headReceived || !m_connection)
    return std::nullopt;
  const RequestDelivery &Delivery = m_connection->delivery();
  BreakEvidence Evidence;
  Evidence.m_keptConnection = m_connection->calls() > 1;
  Evidence.m_sentWhole = Delivery.m_sentWhole;
  Evidence.m_unacknowledged = Delivery.m_unacknowledged;
  Evidence.m_reset = m_socketError != 0;
  Evidence.m_sinceSent = Delivery.m_sinceSent;
  LogLine(LogLevel::Info, "connection_broke")
      .field("request", m_requestId)
      .field("target", m_destination.m_id)
      .field("kept", Evidence.m_keptConnection)
      .field("sent_whole", Evidence.m_sentWhole)
      .field("unacknowledged",
             Evidence.m_unacknowledged
                 ? static_cast<std::int64_t>(*Evidence.m_unacknowledged)
                 : -1)
      .field("reset", Evidence.m_reset)
      .field("since_sent_ms", absl::ToInt64Milliseconds(Evidence.m_sinceSent));
  return decideBreakCause(Evidence);
}

void EntryAttempt::onCallEnd(ClientCallStatus End) {
  AttemptOutcome Outcome = outcomeOf(End);
  if (m_connection)
    m_socketError = m_connection->socketError();
  m_breakCause = breakCauseOf(End);
  // A connection may also be accepted and reset at once where a path is cut.
  bool NewConnectionFailed = Outcome == AttemptOutcome::NotSent ||
                             (m_breakCause && m_connection->calls() == 1);
  if (NewConnectionFailed)
    recordConnection(false);
  m_brokeOff = Outcome == AttemptOutcome::Lost && !brokeUndelivered() &&
               !m_invalid && End != ClientCallStatus::Malformed;
  end(Outcome, End == ClientCallStatus::Complete && !m_invalid);
}

} // namespace turmericdyke
