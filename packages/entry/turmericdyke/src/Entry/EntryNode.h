#pragma once

#include <memory>
#include <string>
#include <vector>

#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Entry/EntryServices.h"
#include "turmericdyke/src/Http/HttpServer.h"

namespace turmericdyke {

class PeerTransport;
struct ReceivedMessage;

/// Why an entry node could not start.
struct EntryError {
  std::string m_message;
};

/// A node between callers and targets: it holds no durable state and follows a
/// coordinator's feed. Everything runs on the thread that calls `run`, but for
/// the I/O of the transport between nodes.
class EntryNode {
public:
  /// `Dialect` must outlive the node.
  EntryNode(EntrySettings Settings, const EntryDialect &Dialect);
  ~EntryNode();

  Result<void, EntryError> start();
  /// Serves until a stop has ended.
  void run();
  /// Begins a planned stop; safe to call from a signal thread.
  void requestStop();
  /// Takes new seeds; safe to call from a signal thread.
  void requestReload(EntrySettings Settings);

private:
  void onCaller(std::shared_ptr<ServerExchange> Exchange);
  void onReadiness(const std::shared_ptr<ServerExchange> &Exchange);
  void onMetrics(const std::shared_ptr<ServerExchange> &Exchange);
  void onServerEvent(HttpServerEvent Event);
  void onPeerMessage(const ReceivedMessage &Message);
  void tickFeed();
  /// Names the targets whose streams stand still to the leader.
  void checkStalls();
  /// Tells the requests at a target what has become of it.
  void tellRequests(const TargetId &Target, void (EntryExchange::*What)());
  void takeRouting(std::string_view Document, std::uint64_t Version);
  void noteInformed();
  bool ready() const;
  void beginStop();
  void pollStop();

  EntrySettings m_settings;
  const EntryDialect &m_dialect;
  EventLoop m_loop;
  std::unique_ptr<FeedFollower> m_feed;
  std::unique_ptr<HttpClientPool> m_pool;
  std::unique_ptr<EntryServices> m_services;
  std::unique_ptr<HttpServer> m_callers;
  std::unique_ptr<HttpServer> m_readiness;
  std::unique_ptr<HttpServer> m_scrapes;
  std::unique_ptr<PeerTransport> m_transport;
  EventLoop::Timer m_feedTimer;
  std::vector<TargetId> m_suspects;
  bool m_informed = false;
  bool m_stopping = false;
  Instant m_stopBegun = absl::InfiniteFuture();
};

} // namespace turmericdyke
