#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "turmericdyke/src/Catalog/RouteTable.h"
#include "turmericdyke/src/Entry/AttemptEvents.h"
#include "turmericdyke/src/Entry/EntryProtocol.h"
#include "turmericdyke/src/Entry/RelayHeader.h"
#include "turmericdyke/src/Loop/EventLoop.h"
#include "turmericdyke/src/Serving/BufferBudget.h"
#include "turmericdyke/src/Serving/EventRelay.h"
#include "turmericdyke/src/Serving/MoveDecision.h"
#include "turmericdyke/src/Serving/Placement.h"
#include "turmericdyke/src/Serving/RetryDecision.h"

namespace turmericdyke {

class EntryAttempt;
class PeerAttempt;
class ServerExchange;
struct AttemptRequest;
struct EntryPeer;
struct EntryServices;

/// Handles one caller's request: checks route and key, chooses targets, makes
/// attempts and relays the response. Lives until the response is complete or
/// the request is rejected. A request that must not be cut off lives until its
/// target has finished.
class EntryExchange : public AttemptEvents,
                      public std::enable_shared_from_this<EntryExchange> {
public:
  /// `Relayed` is set if another entry node passes the request on.
  EntryExchange(EntryServices &Services,
                std::shared_ptr<ServerExchange> Exchange,
                std::optional<RelayedRequest> Relayed = std::nullopt);
  ~EntryExchange() override;

  void begin();
  /// Rejects a relayed request that this node does not carry.
  void refuseToCarry();
  /// The target of the current attempt is silent: the request moves to another
  /// target if its route kind allows it and another target can take over.
  void onTargetEnded();
  /// The target of the current attempt finishes its requests and is then
  /// released for another group: a stream moves to another target if there is
  /// ample capacity.
  void onTargetClosing();
  /// This node is cut off from the service of the current attempt, if it is
  /// this one: a request that makes no progress is passed on.
  void onCutOff(const ServiceId &Service);
  /// Further requests are refused because they crash their targets: one that
  /// has not begun at its target is taken back.
  void onRefusedKeys();
  /// The node exits soon: the caller is told whether the request may have run.
  void onStopEnding();

  bool onStreamBegun(const HttpResponseHead &Head) override;
  void onStreamBytes(std::string_view Bytes) override;
  bool completesResponse(const EntryAttempt &Attempt) const override;
  void onAttemptEnded(AttemptOutcome Outcome) override;

private:
  /// Checks lease, route and key. Returns the refusal, if any.
  std::optional<Refusal> admit();
  ServiceId chooseService();
  /// Mean run time of requests for the model, as measured by this node, or at
  /// published costs until one has completed. Zero if unknown.
  absl::Duration meanRunTime() const;
  /// The targets of the service. If all of them have stated that they take no
  /// request now, `m_reopens` is when the first one takes one again.
  std::vector<PlacementOption> placementOptions();
  /// What may make this request crash its target; worked out when first asked
  /// for.
  const std::vector<SuspectKey> &keys();
  bool isRefused();
  /// Pauses reading from the target until the caller has read enough.
  void awaitCaller();
  /// Reports that the current attempt broke off as if its target had crashed.
  void reportCrash();
  /// Whether an attempt that begins now can be expected to end before this node
  /// stops.
  bool mayBeginAttempt() const;
  void attempt();
  void attemptAt(const ServingTarget &Target);
  /// Chooses a target and attempts there.
  void place();
  /// Whether requests are passed on to other entry nodes, as this one is cut
  /// off from the targets.
  bool passesOn() const;
  /// The other entry nodes that this request was not passed on to yet.
  std::vector<const EntryPeer *> untriedPeers() const;
  /// Attempts by way of another entry node.
  void passOn();
  /// Whether another entry node may be asked, as far as this request goes.
  bool mayPassOn() const;
  /// How the request may go on if the ended attempt reached no target.
  PassOnPath passOnPath() const;
  void start(std::shared_ptr<EntryAttempt> Next);
  AttemptRequest attemptRequest() const;
  bool isRunning() const;
  /// Counts the targets that the ended attempt was sent to.
  void countAttempt(AttemptOutcome Outcome);
  AttemptSummary summary(AttemptOutcome Outcome) const;
  bool isRelaying() const { return m_relaying; }
  /// Events of the current attempt that were relayed.
  std::uint64_t attemptEvents() const {
    return m_events.events() - m_eventsBefore;
  }
  /// Position in the whole stream, from its first attempt on.
  std::uint64_t streamEvents() const;
  bool hasPastStart() const;
  /// Why a request that has not run is refused after its attempts.
  Refusal refusalNotRun() const;
  void forwardResponse();
  void abortResponse(std::string_view Reason);
  void refuse(Refusal Reason);
  /// States to the node that passed the request on what became of it.
  void addRelayFields(HttpFields &Fields, std::optional<Refusal> Reason) const;
  /// When the caller should retry; nothing if it should not.
  std::optional<absl::Duration> retryAfterFor(Refusal Reason) const;
  void onCallerGone();
  void onTimeout();
  void finish(std::string_view Outcome, int Status);
  void logNotPlaced(absl::Span<const PlacementOption> Options,
                    const PlacementDecision &Decision) const;
  void logAttempt(AttemptOutcome Outcome, std::string_view Next) const;
  /// Gives the current attempt up if another target can take over.
  void considerMove(MoveCause Cause);
  /// How long the destination of the current attempt has sent nothing.
  absl::Duration silence(Instant Now) const;
  void logKept(const MoveInput &Input, MoveDecision Reason,
               std::size_t Options);

  EntryServices &m_services;
  std::shared_ptr<ServerExchange> m_exchange;
  const std::optional<RelayedRequest> m_relayed;
  /// Keeps the exchange alive while callbacks are pending.
  std::shared_ptr<EntryExchange> m_self;
  std::shared_ptr<const RouteTable> m_routes;
  CallerRequest m_caller;
  const Route *m_route = nullptr;
  CustomerId m_customer;
  std::int64_t m_priority = 0;
  std::int64_t m_maxAttempts = 1;
  ServiceId m_service;
  Instant m_received;
  Instant m_deadline;
  EventLoop::Timer m_timer;

  std::vector<SuspectKey> m_keys;
  /// Targets that the request was sent to, the current one included, or that
  /// could not be reached while this node was not cut off.
  std::int64_t m_attempts = 0;
  /// Attempts that were offered to no target while this node was cut off.
  std::int64_t m_freeAttempts = 0;
  /// The request was sent to a target.
  bool m_offered = false;
  std::set<TargetId> m_tried;
  Instant m_reopens = absl::InfiniteFuture();
  /// Targets that took no request because they are cold.
  std::int64_t m_coldClosed = 0;
  bool m_mayHaveRun = false;
  bool m_callerGone = false;
  bool m_done = false;

  /// The current or last attempt; null before the first one.
  std::shared_ptr<EntryAttempt> m_attempt;
  /// Why the current attempt was kept, as last logged.
  std::optional<MoveDecision> m_keptFor;
  /// The target that was chosen when the current attempt was given up.
  std::optional<ServingTarget> m_successor;
  /// Events relayed before the current attempt.
  std::uint64_t m_eventsBefore = 0;

  // The response to the caller.
  bool m_relaying = false;
  EventRelay m_events;
  BufferShare m_partialEvent;
  /// A check whether the caller has read enough is due.
  bool m_awaitsCaller = false;
  Instant m_firstByte = absl::InfiniteFuture();
};

} // namespace turmericdyke
