#pragma once

#include <memory>
#include <string>
#include <vector>

#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Entry/EntryServices.h"
#include "turmericdyke/src/Http/HttpServer.h"
#include "turmericdyke/src/Serving/BusyFraction.h"

namespace turmericdyke {

class PeerTransport;
class ReachProbes;
struct CarryLoad;
struct ReceivedMessage;

/// Why an entry node could not start.
struct EntryError {
  std::string m_message;
};

/// A node that routes callers' requests to targets. It holds no durable state
/// and follows a coordinator's feed. Everything runs on the thread that calls
/// `run`, except the I/O of the transport between nodes.
class EntryNode {
public:
  /// `Protocol` must outlive the node.
  EntryNode(EntrySettings Settings, const EntryProtocol &Protocol);
  ~EntryNode();

  Result<void, EntryError> start();
  /// Serves until a requested stop has finished.
  void run();
  /// Starts a graceful stop. Safe to call from a signal-handling thread.
  void requestStop();
  /// Adds new seeds. Safe to call from a signal-handling thread.
  void requestReload(EntrySettings Settings);

private:
  void onCaller(std::shared_ptr<ServerExchange> Exchange);
  /// Takes a request that another entry node passes on.
  void onRelayed(const std::shared_ptr<ServerExchange> &Exchange);
  CarryLoad carryLoad() const;
  /// Whether other entry nodes may pass requests on to this one.
  bool takesRelayed() const;
  void onReachChange(const ServiceId &Service, TargetReach::Change Change);
  void onReadiness(const std::shared_ptr<ServerExchange> &Exchange);
  void onMetrics(const std::shared_ptr<ServerExchange> &Exchange);
  /// Counts and logs an event of the callers' or the relay server.
  void onServerEvent(std::string_view Counter, HttpServerEvent Event);
  void onPeerMessage(const ReceivedMessage &Message);
  void tickFeed();
  /// Reports targets with stalled streams to the leader.
  void checkStalls();
  /// Gives up streams by way of entry nodes that have fallen silent.
  void checkPeerStalls();
  /// Calls `Callback` for all requests at a target.
  void notifyRequests(const TargetId &Target,
                      void (EntryExchange::*Callback)());
  /// Calls `Callback` for all requests at any target.
  void notifyAllRequests(void (EntryExchange::*Callback)());
  void applyRouting(std::string_view Document, std::uint64_t Version);
  void applySuspects(const SuspectLists &Lists);
  void updateInformed();
  bool ready() const;
  void beginStop();
  void pollStop();
  /// Requests of callers and of other entry nodes that are not yet answered.
  std::size_t unfinishedRequests() const;
  /// Ends the requests that still run shortly before the end of the grace.
  void endRequests();

  EntrySettings m_settings;
  const EntryProtocol &m_protocol;
  /// For callers and other entry nodes together. See `docs/design/memory.md`
  /// for how the parts of the memory add up.
  std::shared_ptr<ConnectionBudget> m_connectionBudget;
  /// For readiness probes and scrapes of metrics, which go on when callers have
  /// used up theirs.
  std::shared_ptr<ConnectionBudget> m_serviceBudget;
  EventLoop m_loop;
  std::unique_ptr<FeedFollower> m_feed;
  std::unique_ptr<HttpClientPool> m_pool;
  std::unique_ptr<EntryServices> m_services;
  std::unique_ptr<ReachProbes> m_probes;
  BusyFraction m_busy;
  std::unique_ptr<HttpServer> m_callerServer;
  std::unique_ptr<HttpServer> m_relayServer;
  std::unique_ptr<HttpServer> m_readinessServer;
  std::unique_ptr<HttpServer> m_metricsServer;
  std::unique_ptr<PeerTransport> m_transport;
  EventLoop::Timer m_feedTimer;
  NodeId m_loggedSource;
  std::vector<TargetId> m_suspects;
  bool m_informed = false;
};

} // namespace turmericdyke
