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
#include "turmericdyke/src/Coordinator/CoordinatorProtocol.h"
#include "turmericdyke/src/Coordinator/CoordinatorSettings.h"
#include "turmericdyke/src/Coordinator/DepartureRecords.h"
#include "turmericdyke/src/Coordinator/ServerCalls.h"
#include "turmericdyke/src/Feed/AnnouncementRelay.h"
#include "turmericdyke/src/Feed/CoordinatorRoster.h"
#include "turmericdyke/src/Feed/CrashAttribution.h"
#include "turmericdyke/src/Feed/DirectoryCopy.h"
#include "turmericdyke/src/Feed/FeedPublisher.h"
#include "turmericdyke/src/Feed/FeedRelay.h"
#include "turmericdyke/src/Feed/LimitRecords.h"
#include "turmericdyke/src/Groups/ColdTargets.h"
#include "turmericdyke/src/Groups/EvacuatedDomains.h"
#include "turmericdyke/src/Groups/ModelDemand.h"
#include "turmericdyke/src/Groups/ServerDirectory.h"
#include "turmericdyke/src/Http/HttpServer.h"
#include "turmericdyke/src/Node/Bootstrap.h"
#include "turmericdyke/src/Node/CoreDriver.h"
#include "turmericdyke/src/Storage/DataDirectory.h"

namespace turmericdyke {

class PeerTransport;
struct FailureDomainStatus;
struct ReceivedMessage;
struct VoterPlan;

/// Why a coordinator could not start.
struct CoordinatorError {
  std::string m_message;
};

/// A node with durable storage. It votes in the replicated log. While it leads,
/// it keeps the servers' announcements and forms their groups. While it does
/// not lead, it relays: it takes announcements for the leader, and passes the
/// leader's feed on to its part of the entry nodes. Everything runs on the
/// thread that calls `run`, except the I/O of the transport between nodes.
class CoordinatorNode {
public:
  /// `Protocol` must outlive the node.
  CoordinatorNode(CoordinatorSettings Settings,
                  const CoordinatorProtocol &Protocol);
  ~CoordinatorNode();

  Result<void, CoordinatorError> start();
  /// Serves until a requested stop has finished.
  void run();
  /// Starts a graceful stop. Safe to call from a signal-handling thread.
  void requestStop();
  /// Adds new seeds. Safe to call from a signal-handling thread.
  void requestReload(CoordinatorSettings Settings);

private:
  // Bootstrap and replicated log.
  void startCore(const PersistentState &State);
  void onBootstrapMessage(const ReceivedMessage &Message);
  void stepBootstrap();
  void tickCore();
  void runCore();
  /// Opens the data directory again after a write has failed, and starts the
  /// core from what is on disk.
  void reopenStorage();
  /// Answers the calls whose command has no known outcome.
  void refusePendingCalls(const std::string &Reason);
  void processOutput(const ControlOutput &Output);
  void logEvent(const RaftEvent &Value);
  void sendAll(const std::vector<AddressedMessage> &Messages);
  void onPeerMessage(const ReceivedMessage &Message);
  void onCoreMessage(const ReceivedMessage &Message);
  void onRoster(const ReceivedMessage &Message);
  void onDirectoryUpdate(const ReceivedMessage &Message);
  void onAnnouncements(const ReceivedMessage &Message);
  /// Logs and counts entries of a message that were left out.
  void reportMalformed(const ReceivedMessage &Message, std::size_t Entries);
  void onFeedRequest(const ReceivedMessage &Message);
  void onFeedUpdate(const ReceivedMessage &Message);
  void tickRoster();
  /// Tells the other coordinators whom this one has heard from.
  void sendRoster(Instant Now);
  /// Logs a change of the voters that this leader moves to, with how long each
  /// current voter has been silent.
  void logWantedVoters(Instant Now, const VoterPlan &Plan);
  /// Sends the next feed request and the collected announcements to the leader.
  void tickRelay();
  /// Makes the next message to the leader due, but not within `RelayPause` of
  /// the last one.
  void relaySoon();
  /// Logs when this node begins or ends to relay.
  void logRelaying(Instant Now);
  void applyState();
  bool leads() const;
  /// The known leader; empty if there is none, or while storage is reopened.
  NodeId leader() const;

  // Calls of operators and servers.
  void onCall(std::shared_ptr<ServerExchange> Exchange);
  void handle(const std::shared_ptr<ServerExchange> &, const InvalidCall &);
  void handle(const std::shared_ptr<ServerExchange> &, const PutRoutingCall &);
  void handle(const std::shared_ptr<ServerExchange> &, const GetRoutingCall &);
  void handle(const std::shared_ptr<ServerExchange> &, const AnnounceCall &);
  void handle(const std::shared_ptr<ServerExchange> &, const WithdrawCall &);
  void handle(const std::shared_ptr<ServerExchange> &, const EvacuationCall &);
  void handle(const std::shared_ptr<ServerExchange> &,
              const ListEvacuationsCall &);
  /// The failure domains that servers, coordinators or the settings name, and
  /// those that are evacuated.
  std::set<FailureDomainId> failureDomains() const;
  bool isKnown(const FailureDomainId &Domain) const;
  void refuseEvacuation(ServerExchange &Exchange, const EvacuationCall &Call,
                        int Status, const std::string &Reason);
  void onEvacuationDone(const Completion &Done);
  void refusePendingEvacuations(const std::string &Reason);
  /// Takes over the evacuations that the replicated state records.
  void applyEvacuations();
  /// Has the servers of failure domains whose evacuation has ended count as
  /// cold from then on.
  void coolReturnedServers();
  std::vector<FailureDomainStatus> failureDomainStatus() const;
  void setEvacuationMetrics();
  /// Responds once the departure of the server is in the replicated log and no
  /// entry node uses the server for new requests. Refuses if that takes longer
  /// than the server waits.
  void awaitDeparture(Departure Kind, ServerIncarnation Server,
                      const std::shared_ptr<ServerExchange> &Exchange,
                      HttpResponse Response);
  /// Records the departures that have arrived in the replicated state.
  void submitDepartures();
  void onDeparturesDone(const Completion &Done);
  /// Whether entry nodes have taken the server out, so that no request follows
  /// whatever becomes of this leader.
  bool isOutOfUse(Instant Now, const TargetId &Id) const;
  /// Responds to the recorded departures whose servers are out of use, and to
  /// those that have waited too long.
  void answerDepartures();
  /// The servers that wait for the acknowledgement of their departure.
  std::vector<TargetId> departingServers() const;
  void refuseDepartures(const std::string &Reason);
  /// Takes over the departures that the replicated state records.
  void applyDepartures();
  /// Servers that have left, as far as this node knows, and whose next life has
  /// not announced itself.
  std::vector<TargetId> departedServers() const;
  /// Redirects the caller to the leader, or responds with 503 if there is none.
  void redirect(ServerExchange &Exchange);
  /// Takes an announcement as leader, and plans if it is news.
  void accept(ServerAnnouncement Announcement);
  /// Whether this node takes the announcement on behalf of the leader.
  bool mayRelay(const ServerAnnouncement &Announcement) const;
  /// The response to an announcement. `Servers` is the number of known servers.
  HttpResponse announcementResponse(const ServerAnnouncement &Announcement,
                                    std::size_t Servers) const;
  std::string controlAddressOf(const NodeId &Node) const;
  void onMetrics(const std::shared_ptr<ServerExchange> &Exchange);

  // Leadership.
  void updateLeadership();
  /// Drops the state that is valid only while this node leads.
  void stopLeading();
  void schedulePlan();
  void planAt(Instant When);
  void plan();
  void sendOrder(const GroupOrder &Order);
  /// Probes a server for its state, unless it was heard from or probed lately.
  void probe(const TargetId &Id);
  void onProbeResult(const TargetId &Id, Instant SentAt,
                     const ServerCallResult &Result);
  /// Probes the servers that have missed an announcement.
  void probeSilentServers();
  void onSuspects(const std::vector<TargetId> &Heads);
  /// Takes the reports of entry nodes on attempts that broke off, and on keys
  /// that are sound.
  void onCrashReports(const FeedRequest &Request);
  /// Takes what targets have stated of their limits.
  void onLimits(const FeedRequest &Request);
  /// Has requests refused that are found to crash their targets.
  void judgeSuspects();
  /// Decides whether groups follow the measured demand, logs changes, and sets
  /// the metrics.
  void updateDemand(Instant Now);
  /// `Measured` is false once this node does not lead any more.
  void setDemandMetrics(bool Measured);
  std::map<ServiceId, std::size_t> serversInGroups() const;
  /// Updates the suspect lists of the feed.
  void updateSuspects();
  void publishTargets();
  /// Decides how the rates of cold targets are shared, and logs and counts the
  /// targets that have become cold or warm.
  void updateColdTargets(std::vector<ServingTarget> &Targets);
  /// Whether the rates of targets that become cold now are lent to entry nodes.
  bool mayLendColdRates() const;
  /// Notes when the first request ran.
  void noteRequests(Instant Now, bool Run);
  /// The targets that entry nodes may use.
  std::vector<ServingTarget> servingTargets() const;
  /// The same, with those of evacuated failure domains.
  std::vector<ServingTarget> allTargets() const;
  std::vector<TargetId> evacuatedServers() const;
  FeedContext feedContext() const;
  void pushFeed();
  /// Starts from the server list of the previous leader, if the copy is recent.
  void inheritServers();
  /// Whether a server that may belong to a group is known only from the
  /// previous leader.
  bool hasUnconfirmedServers() const;
  void updateSettled();
  /// Sends changes of the server list to the other coordinators.
  void pushDirectory();
  void sendDirectory(const NodeId &Node);

  void beginStop();
  void pollStop();

  /// A server that waits for the acknowledgement of its departure.
  struct PendingDeparture {
    Departure m_kind = Departure::Draining;
    ServerIncarnation m_server;
    std::shared_ptr<ServerExchange> m_exchange;
    /// Sent once the departure is recorded and the server is out of use.
    HttpResponse m_response;
    Instant m_received;
  };

  /// An operator who waits for the acknowledgement of an order.
  struct PendingEvacuation {
    EvacuationCall m_call;
    std::shared_ptr<ServerExchange> m_exchange;
    Instant m_received;
  };

  CoordinatorSettings m_settings;
  const CoordinatorProtocol &m_protocol;
  NodeId m_self;
  /// For the control port; see `docs/design/memory.md`.
  std::shared_ptr<ConnectionBudget> m_connectionBudget;
  EventLoop m_loop;
  absl::BitGen m_random;
  MetricsRegistry m_metrics;
  std::unique_ptr<HttpServer> m_controlServer;
  std::unique_ptr<HttpServer> m_metricsServer;
  std::unique_ptr<HttpClientPool> m_pool;
  std::unique_ptr<ServerCalls> m_serverCalls;
  std::unique_ptr<PeerTransport> m_transport;

  std::optional<DataDirectory> m_directory;
  std::optional<Bootstrap> m_bootstrap;
  std::optional<ControlCore> m_core;
  std::optional<CoreDriver> m_driver;
  EventLoop::Timer m_coreTimer;
  CoordinatorRoster m_roster;
  std::vector<NodeId> m_loggedVoters;
  /// Put calls that wait for their command to be committed, by ticket.
  std::map<std::uint64_t, std::shared_ptr<ServerExchange>> m_pendingPuts;
  /// Departures for the next commands, and those of submitted commands by
  /// ticket.
  std::vector<PendingDeparture> m_departures;
  std::map<std::uint64_t, std::vector<PendingDeparture>> m_submittedDepartures;
  /// Those in the replicated log that entry nodes may still use.
  std::vector<PendingDeparture> m_recordedDepartures;
  EventLoop::Timer m_departureTimer;
  EventLoop::Timer m_deliveryTimer;
  /// Evacuation orders that wait to be committed, by ticket.
  std::map<std::uint64_t, PendingEvacuation> m_pendingEvacuations;
  /// The failure domains whose servers may not be used, by the replicated state
  /// as far as this node has applied it.
  EvacuatedDomains m_evacuated;
  /// The routing document in force on this node, parsed and as text.
  Catalog m_catalog;
  std::string m_document;

  // Valid while this node leads.
  std::uint64_t m_ledTerm = 0;
  Instant m_leaderSince = absl::InfiniteFuture();
  std::uint64_t m_fenceTicket = 0;
  std::uint64_t m_fencingToken = 0;
  ServerDirectory m_servers;
  GroupPlanner m_planner;
  ModelDemand m_demand;
  FeedPublisher m_feed;
  CrashAttribution m_crashes;
  SuspectLists m_suspects;
  LimitRecords m_limits;
  /// When each server was last probed.
  std::map<TargetId, Instant> m_lastProbes;
  /// When each head last sent events, as reported by entry nodes.
  std::map<TargetId, Instant> m_progress;
  EventLoop::Timer m_planTimer;
  Instant m_planNotBefore = absl::InfinitePast();
  bool m_pushDue = false;
  /// The server list was inherited from the previous leader.
  bool m_inherited = false;
  /// All live servers have been heard from.
  bool m_settled = false;
  /// Requests have run, under this leader or an earlier one.
  bool m_trafficSeen = false;
  /// When the first request ran; see `coldUntil`.
  Instant m_requestsSince = absl::InfiniteFuture();
  ColdTargets m_cold;
  /// For each other coordinator, the directory change up to which it was sent
  /// the list.
  std::map<NodeId, std::uint64_t> m_directorySent;
  NodeId m_knownLeader;

  // Valid while another node leads.
  FeedRelay m_feedRelay;
  AnnouncementRelay m_announcementRelay;
  EventLoop::Timer m_relayTimer;
  Instant m_lastRelayed = absl::InfinitePast();
  bool m_relaying = false;
  DirectoryCopy m_directoryCopy;
  Instant m_copyUpdated = absl::InfinitePast();

  bool m_storageFailed = false;
  bool m_stopping = false;
  Instant m_stopStarted = absl::InfiniteFuture();
};

} // namespace turmericdyke
