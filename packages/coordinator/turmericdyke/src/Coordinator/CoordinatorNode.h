#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/random/random.h"
#include "turmericdyke/src/Base/Metrics.h"
#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Coordinator/CoordinatorDialect.h"
#include "turmericdyke/src/Coordinator/CoordinatorSettings.h"
#include "turmericdyke/src/Coordinator/ServerCalls.h"
#include "turmericdyke/src/Feed/CoordinatorRoster.h"
#include "turmericdyke/src/Feed/DirectoryCopy.h"
#include "turmericdyke/src/Feed/FeedPublisher.h"
#include "turmericdyke/src/Groups/ServerDirectory.h"
#include "turmericdyke/src/Http/HttpServer.h"
#include "turmericdyke/src/Node/Bootstrap.h"
#include "turmericdyke/src/Node/CoreDriver.h"
#include "turmericdyke/src/Storage/DataDirectory.h"

namespace turmericdyke {

class PeerTransport;
struct ReceivedMessage;

/// Why a coordinator could not start.
struct CoordinatorError {
  std::string m_message;
};

/// A node with a disk: it votes on what must not be lost, and, while it leads,
/// keeps the servers' announcements, forms their groups and feeds the entry
/// nodes. Everything runs on the thread that calls `run`, but for the I/O of
/// the transport between nodes.
class CoordinatorNode {
public:
  /// `Dialect` must outlive the node.
  CoordinatorNode(CoordinatorSettings Settings,
                  const CoordinatorDialect &Dialect);
  ~CoordinatorNode();

  Result<void, CoordinatorError> start();
  /// Serves until a stop has ended.
  void run();
  /// Begins a planned stop; safe to call from a signal thread.
  void requestStop();
  /// Takes new seeds; safe to call from a signal thread.
  void requestReload(CoordinatorSettings Settings);

private:
  // Forming and following the replicated log.
  void startCore(const PersistentState &State);
  void onBootstrapMessage(const ReceivedMessage &Message);
  void stepBootstrap();
  void tickCore();
  void turn();
  void deliver(const ControlOutput &Output);
  void sendAll(const std::vector<AddressedMessage> &Messages);
  void onPeerMessage(const ReceivedMessage &Message);
  void tickRoster();
  void applyState();
  bool leads() const;

  // Calls of operators and servers.
  void onCall(std::shared_ptr<ServerExchange> Exchange);
  void handle(const std::shared_ptr<ServerExchange> &, const WrongCall &);
  void handle(const std::shared_ptr<ServerExchange> &, const PutRoutingCall &);
  void handle(const std::shared_ptr<ServerExchange> &, const GetRoutingCall &);
  void handle(const std::shared_ptr<ServerExchange> &, const AnnounceCall &);
  void handle(const std::shared_ptr<ServerExchange> &, const WithdrawCall &);
  /// Sends the caller to the leader, or away if there is none.
  void redirect(ServerExchange &Exchange);
  std::string controlAddressOf(const NodeId &Node) const;
  void onMetrics(const std::shared_ptr<ServerExchange> &Exchange);

  // Leading.
  void noteLeadership();
  void planSoon();
  void planAt(Instant When);
  void plan();
  void sendOrder(const GroupOrder &Order);
  /// Asks a server for its state, unless it was heard or asked lately.
  void question(const TargetId &Id);
  void onQuestionAnswered(const TargetId &Id, Instant Asked,
                          const ServerCallResult &Result);
  /// Asks the servers that have missed an announcement.
  void questionSilent();
  void onSuspects(const std::vector<TargetId> &Heads);
  void publishTargets();
  std::vector<ServingTarget> servingTargets() const;
  FeedContext feedContext() const;
  void pushFeed();
  /// Takes up the list of servers of the leader before this one.
  void inheritServers();
  /// Whether a server is known only from the leader before this one.
  bool awaitsServers() const;
  void noteSettled();
  /// Tells the other coordinators what has changed in the list of servers.
  void pushDirectory();
  void sendDirectory(const NodeId &Node);

  void beginStop();
  void pollStop();

  CoordinatorSettings m_settings;
  const CoordinatorDialect &m_dialect;
  NodeId m_self;
  EventLoop m_loop;
  absl::BitGen m_random;
  MetricsRegistry m_metrics;
  std::unique_ptr<HttpServer> m_control;
  std::unique_ptr<HttpServer> m_scrapes;
  std::unique_ptr<HttpClientPool> m_pool;
  std::unique_ptr<ServerCalls> m_calls;
  std::unique_ptr<PeerTransport> m_transport;

  std::optional<DataDirectory> m_directory;
  std::optional<Bootstrap> m_bootstrap;
  std::optional<ControlCore> m_core;
  std::optional<CoreDriver> m_driver;
  CoordinatorRoster m_roster;
  /// Put calls that wait for their command, by ticket.
  std::map<std::uint64_t, std::shared_ptr<ServerExchange>> m_puts;
  /// The routing document in force here, as read.
  Catalog m_catalog;
  std::string m_document;

  // While this node leads.
  std::uint64_t m_ledTerm = 0;
  Instant m_ledSince = absl::InfiniteFuture();
  std::uint64_t m_fenceTicket = 0;
  std::uint64_t m_fence = 0;
  ServerDirectory m_servers;
  GroupPlanner m_planner;
  FeedPublisher m_feed;
  /// When each server was last asked.
  std::map<TargetId, Instant> m_questions;
  /// When each head last sent events, as entry nodes say.
  std::map<TargetId, Instant> m_progress;
  EventLoop::Timer m_planTimer;
  bool m_pushDue = false;
  /// The list of servers was inherited from the leader before.
  bool m_inherited = false;
  /// Every server that lives has been heard.
  bool m_settled = false;
  /// Requests have run, under this leader or an earlier one.
  bool m_trafficSeen = false;
  /// The change up to which each other coordinator was told the list.
  std::map<NodeId, std::uint64_t> m_directoryTold;
  NodeId m_knownLeader;

  // While another one leads.
  DirectoryCopy m_copy;
  Instant m_copyHeard = absl::InfinitePast();

  bool m_storageFailed = false;
  bool m_stopping = false;
  Instant m_stopBegun = absl::InfiniteFuture();
};

} // namespace turmericdyke
