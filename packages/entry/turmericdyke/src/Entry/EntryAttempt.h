#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Entry/EntryProtocol.h"
#include "turmericdyke/src/Fleet/FeedMessage.h"
#include "turmericdyke/src/Http/HttpClientConnection.h"
#include "turmericdyke/src/Serving/BreakCause.h"
#include "turmericdyke/src/Serving/BufferBudget.h"
#include "turmericdyke/src/Serving/RetryDecision.h"

namespace turmericdyke {

class AttemptEvents;
class EntryExchange;
struct AttemptRequest;
struct EntryServices;

/// One attempt to have a request answered: sends it over one connection and
/// reads the response. Subclasses say where it is sent and what is recorded
/// about the other side.
class EntryAttempt : public ClientCallEvents,
                     public std::enable_shared_from_this<EntryAttempt> {
public:
  /// `Owner` is notified of news about the destination while the attempt runs.
  EntryAttempt(EntryServices &Services, EntryExchange &Owner,
               AttemptEvents &Events, ServingTarget Destination);
  ~EntryAttempt() override;

  void begin(const AttemptRequest &Request);
  /// Ends the attempt; nothing further is reported.
  void cancel();
  /// Ends the attempt without waiting for the rest of its response and reports
  /// `Outcome`.
  void abandon(AttemptOutcome Outcome);
  /// Ends the attempt because its response holds too much memory.
  void abandonEndless();
  /// Pauses and resumes reading, while the caller is slow.
  void setReading(bool On);
  /// Reading is paused: the other side cannot be blamed for its silence.
  void onReadingPaused(Instant Now);
  /// A complete event of the stream has been relayed.
  void onEventRelayed(Instant Now);

  /// Where the request was sent. For another entry node this is its peer
  /// address with its relay address.
  const ServingTarget &destination() const { return m_destination; }
  virtual bool isPeer() const { return false; }
  bool running() const { return m_connection != nullptr; }
  /// Whether any byte of the request may have reached the other side.
  bool sentAny() const { return m_connection && m_connection->sentAny(); }
  Instant started() const { return m_started; }
  /// When the attempt last received or relayed something.
  Instant lastProgress() const { return m_lastProgress; }
  bool headReceived() const { return m_headReceived; }
  const HttpResponseHead &head() const { return m_head; }
  /// The response is relayed as a stream.
  bool streams() const { return m_streams; }
  /// Why the connection broke before a response; nothing if it did not.
  std::optional<BreakCause> breakCause() const { return m_breakCause; }
  /// A kept-alive connection that the other side had closed.
  bool usedStaleConnection() const {
    return m_breakCause == BreakCause::ClosedBefore;
  }
  /// The other side may have closed an idle connection; a repeatable request
  /// may be sent there again.
  bool mayRetryThere() const {
    return usedStaleConnection() || m_breakCause == BreakCause::Ambiguous;
  }
  /// The connection broke before the request had reached the other side.
  bool brokeUndelivered() const {
    return usedStaleConnection() || m_breakCause == BreakCause::Undelivered;
  }
  /// The connection broke within a valid response, or before it while the other
  /// side had the whole request.
  bool brokeOff() const { return m_brokeOff; }
  /// See `HttpClientConnection::socketError`.
  int socketError() const { return m_socketError; }
  std::string takeBody() { return std::move(m_body); }

  bool onResponseHead(const HttpResponseHead &Head) override;
  void onResponseBody(std::string_view Bytes) override;
  void onCallEnd(ClientCallStatus End) override;

protected:
  /// Header fields of the request, without those for framing.
  virtual HttpFields requestFields(const AttemptRequest &Request) const = 0;
  virtual void recordBegin(const AttemptRequest &Request) = 0;
  virtual void recordProgress(Instant Now, bool First) = 0;
  /// The connection is released; `Flowing` is set if events were relayed.
  virtual void recordRelease(bool Flowing) = 0;
  virtual void recordOutcome(Instant Now, AttemptOutcome Outcome) = 0;
  /// A new connection has carried a response, or has failed before one.
  virtual void recordConnection(bool Works) = 0;
  /// Reads what the other side states of itself. May remove fields that the
  /// caller must not see.
  virtual void readStatements(HttpResponseHead &Head,
                              const ResponseInfo &Info) = 0;
  /// The outcome that the other side states, if any.
  virtual std::optional<AttemptOutcome> statedOutcome() const {
    return std::nullopt;
  }

  EntryServices &m_services;
  ServingTarget m_destination;
  RequestId m_requestId;

private:
  std::optional<BreakCause> breakCauseOf(ClientCallStatus End) const;
  AttemptOutcome outcomeOf(ClientCallStatus End) const;
  /// `Keep` returns the connection to the pool.
  void release(bool Keep);
  void end(AttemptOutcome Outcome, bool Keep);

  EntryExchange &m_owner;
  AttemptEvents &m_events;
  std::unique_ptr<HttpClientConnection> m_connection;
  Instant m_started = absl::InfinitePast();
  Instant m_lastProgress = absl::InfinitePast();
  HttpResponseHead m_head;
  ResponseInfo m_info;
  std::string m_body;
  BufferShare m_buffered;
  bool m_headReceived = false;
  bool m_streams = false;
  bool m_invalid = false;
  bool m_eventRelayed = false;
  std::optional<BreakCause> m_breakCause;
  bool m_brokeOff = false;
  int m_socketError = 0;
};

} // namespace turmericdyke
