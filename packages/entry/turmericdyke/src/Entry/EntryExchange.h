#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "turmericdyke/src/Catalog/RouteTable.h"
#include "turmericdyke/src/Entry/EntryDialect.h"
#include "turmericdyke/src/Http/HttpClientConnection.h"
#include "turmericdyke/src/Loop/EventLoop.h"
#include "turmericdyke/src/Serving/EventRelay.h"
#include "turmericdyke/src/Serving/Placement.h"
#include "turmericdyke/src/Serving/RetryDecision.h"

namespace turmericdyke {

struct EntryServices;
class ServerExchange;

/// One caller's request on its way through attempts: route, key, target,
/// answer. It lives until its answer is complete or refused, and, for a request
/// that must not be cut off, until its target is done.
class EntryExchange : public ClientCallEvents,
                      public std::enable_shared_from_this<EntryExchange> {
public:
  EntryExchange(EntryServices &Services,
                std::shared_ptr<ServerExchange> Exchange);
  ~EntryExchange() override;

  void begin();
  /// The target of the present attempt serves no more, or stands still: the
  /// request goes on elsewhere if its kind allows it.
  void onTargetEnded();
  /// The target of the present attempt finishes what it has and is then freed
  /// for another group: a stream goes on elsewhere if there is ample room.
  void onTargetClosing();

  bool onResponseHead(const HttpResponseHead &Head) override;
  void onResponseBody(std::string_view Bytes) override;
  void onCallEnd(ClientEnd End) override;

private:
  /// Checks lease, route and key; the refusal if one applies.
  std::optional<Refusal> admit();
  ServiceId drawService();
  std::vector<PlacementOption> options() const;
  void attempt();
  void send(const ServingTarget &Target);
  void settle(AttemptOutcome Outcome);
  std::unique_ptr<HttpClientConnection> releaseTarget();
  /// `Keep` leaves the connection for other requests.
  void endAttempt(bool Keep);
  AttemptOutcome outcomeOf(ClientEnd End) const;
  bool relays() const { return m_relaying; }
  void startRelay(const HttpResponseHead &Head);
  void relay(std::string_view Bytes);
  void handOn();
  void breakOff(std::string_view Reason);
  void refuse(Refusal Reason);
  /// When the caller should come back; nothing if it should not.
  std::optional<absl::Duration> returnAfter(Refusal Reason) const;
  void onCallerGone();
  void onTimeout();
  void finish(std::string_view Outcome, int Status);
  void logAttempt(AttemptOutcome Outcome, RetryDecision Next) const;
  bool mayRepeatByKind() const;

  EntryServices &m_services;
  std::shared_ptr<ServerExchange> m_exchange;
  /// Keeps the exchange alive while something is outstanding.
  std::shared_ptr<EntryExchange> m_self;
  std::shared_ptr<const RouteTable> m_routes;
  CallerRequest m_caller;
  const Route *m_route = nullptr;
  CustomerId m_customer;
  std::int64_t m_priority = 0;
  ServiceId m_service;
  Instant m_received;
  Instant m_deadline;
  EventLoop::Timer m_timer;

  std::int64_t m_attempts = 0;
  std::set<TargetId> m_tried;
  bool m_mayHaveRun = false;
  bool m_callerGone = false;
  bool m_done = false;

  // The present attempt.
  ServingTarget m_target;
  std::unique_ptr<HttpClientConnection> m_connection;
  Instant m_attemptBegun;
  HttpResponseHead m_head;
  TargetStatement m_said;
  bool m_headSeen = false;
  bool m_invalid = false;
  /// The present attempt has passed on an event.
  bool m_progressed = false;
  /// The present attempt met the end of a kept connection.
  bool m_staleConnection = false;
  /// The present attempt counts in the watch for stalls.
  bool m_watched = false;
  std::string m_body;

  // The caller's answer.
  bool m_relaying = false;
  EventRelay m_events;
  Instant m_firstByte = absl::InfiniteFuture();
};

} // namespace turmericdyke
