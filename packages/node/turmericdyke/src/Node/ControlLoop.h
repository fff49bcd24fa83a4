#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "absl/random/random.h"
#include "absl/synchronization/mutex.h"
#include "turmericdyke/src/Edge/ControlPort.h"
#include "turmericdyke/src/Edge/EdgeServices.h"
#include "turmericdyke/src/Node/Bootstrap.h"
#include "turmericdyke/src/Node/ControlCore.h"
#include "turmericdyke/src/Node/CoreDriver.h"
#include "turmericdyke/src/Node/FleetManager.h"
#include "turmericdyke/src/Node/OrderSender.h"
#include "turmericdyke/src/Node/QuotaManager.h"
#include "turmericdyke/src/Node/Settings.h"
#include "turmericdyke/src/Peer/PeerTransport.h"
#include "turmericdyke/src/Storage/DataDirectory.h"

namespace turmericdyke {

/// The event loop of the control plane. A single thread feeds events to state
/// machines that perform no I/O themselves, writes to the data directory, sends
/// messages to other nodes and publishes the cluster view for request threads.
class ControlLoop : public ControlPort {
public:
  /// `Directory` is empty on a learner and on a node without durable state.
  ControlLoop(EdgeServices &Services, const Settings &NodeSettings,
              std::optional<DataDirectory> Directory);
  ~ControlLoop() override;

  /// Opens the peer port and starts the thread. Returns an error message on
  /// failure.
  Result<void, std::string> start();
  /// Transfers leadership, then ends the thread.
  void stop();

  OperatorReply declaration(std::optional<std::uint64_t> Revision) override;
  OperatorReply applyDeclaration(std::string_view Body) override;
  OperatorReply history() override;
  OperatorReply status() override;
  OperatorReply drain(std::string_view Body) override;
  Result<void, FleetError>
  announce(const TargetAnnouncement &Announcement) override;
  SubmitResult submit(const Command &Value) override;

private:
  struct Waiter;
  struct Submitted {
    Command m_command;
    std::shared_ptr<Waiter> m_waiter;
  };
  /// Something to run on the control thread.
  using Task = std::function<void(Instant)>;
  using Event = std::variant<ReceivedMessage, Submitted, Task>;

  void push(Event Value);
  /// Runs `Work` on the control thread and waits until it is done. Returns
  /// false if the loop has stopped.
  bool runOnLoop(const Task &Work);
  void run();
  std::deque<Event> takeEvents();
  /// Creates `m_core`. Returns false if the cluster cannot be formed or the
  /// loop is stopped.
  bool formCluster();
  void startCore(const PersistentState &State);
  bool bootstrapDirectory();
  /// Handles events before the replicated state exists, or when it cannot be
  /// created.
  void handleWithoutCore(Event &Value);
  void waitForStop();
  bool stopped();
  void handle(Event &Value);
  void turn();
  void deliver(ControlOutput Output);
  void sendAll(const std::vector<AddressedMessage> &Messages);
  void stepFleet(Instant Now);
  void publish(Instant Now);
  QuotaInput quotaInput(Instant Now, const ClusterView &View) const;
  /// Updates this node's share of the slots and of the customers' limits.
  void stepQuota(Instant Now, const ClusterView &View);
  void logEvent(const RaftEvent &Value);
  std::string statusJson(Instant Now);
  /// Customers with their running and queued requests on this node.
  nlohmann::json customersJson() const;
  ControlCoreOptions coreOptions() const;

  EdgeServices &m_services;
  Settings m_settings;
  std::optional<DataDirectory> m_directory;
  std::unique_ptr<PeerTransport> m_transport;
  OrderSender m_orders;

  absl::Mutex m_lock;
  std::deque<Event> m_events ABSL_GUARDED_BY(m_lock);
  bool m_stopped ABSL_GUARDED_BY(m_lock) = false;

  // Used by the control thread only.
  absl::BitGen m_random;
  std::optional<ControlCore> m_core;
  std::optional<CoreDriver> m_driver;
  std::optional<FleetManager> m_fleet;
  std::optional<QuotaManager> m_quota;
  std::set<std::uint64_t> m_fleetTickets;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> m_waiters;
  Instant m_nextFleetStep = absl::InfinitePast();

  std::thread m_thread;
};

} // namespace turmericdyke
