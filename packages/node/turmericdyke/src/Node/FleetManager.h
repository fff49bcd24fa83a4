#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "absl/random/bit_gen_ref.h"
#include "turmericdyke/Formation"
#include "turmericdyke/Membership"
#include "turmericdyke/src/Control/ControlState.h"
#include "turmericdyke/src/Edge/ClusterView.h"
#include "turmericdyke/src/Fleet/Order.h"
#include "turmericdyke/src/Node/CoreMessage.h"

namespace turmericdyke {

/// An order and the address of its target.
struct AddressedOrder {
  std::string m_address;
  Order m_order;
};

/// The result of `FleetManager::step`.
struct FleetOutput {
  std::vector<AddressedMessage> m_messages;
  /// To be submitted to the replicated log. Each result must be passed to
  /// `onCommandCompleted`.
  std::vector<Command> m_commands;
  std::vector<AddressedOrder> m_orders;
  /// Reported in the log lines of this process.
  std::vector<NodeUpdate> m_nodeChanges;
};

struct FleetOptions {
  NodeId m_node;
  std::uint64_t m_incarnation = 0;
  /// IP:port on which this node listens for peers.
  std::string m_address;
  /// Addresses of the other nodes from the settings.
  std::vector<std::string> m_seeds;
};

/// This node's leadership and read lease in the replicated log.
struct LeaseStatus {
  bool m_leads = false;
  bool m_leaseValid = false;
};

/// Tracks the nodes and targets that this node knows. On the leader, also plans
/// which targets form replicas. A state machine without I/O.
class FleetManager {
public:
  FleetManager(FleetOptions Options, Instant Now);

  Result<void, FleetError> announce(Instant Now,
                                    const TargetAnnouncement &Announcement);
  void receive(Instant Now, const NodeId &From, const TargetDigest &Digest);
  void receive(Instant Now, const SwimMessage &Message, absl::BitGenRef Random);
  /// Must be called every 50 ms.
  FleetOutput step(Instant Now, const ControlState &State,
                   const LeaseStatus &Lease, absl::BitGenRef Random);
  /// Called when a command of an earlier step was applied or, with `Committed`
  /// false, timed out.
  void onCommandCompleted(bool Committed, const CommandResult &Done);

  /// Adds the replicas and services that accept work.
  void fillView(Instant Now, const ControlState &State,
                ClusterView &View) const;
  /// Adds nodes, targets and replicas to the status page.
  void fillStatus(Instant Now, const ControlState &State, bool LeaseValid,
                  nlohmann::json &Status) const;
  const TargetDirectoryCounts &counts() const { return m_directory.counts(); }

  /// For tests only; applies from the next time this node becomes leader.
  void setTestHooks(const internal::PlannerTestHooks &Hooks) {
    m_hooks = Hooks;
  }

private:
  /// Exists while this node leads.
  struct Leadership {
    explicit Leadership(Instant Since) : m_since(Since) {}

    Planner m_planner;
    Instant m_since;
    FencingTokenRange m_fencingTokens;
    /// Number of submitted commands that are not completed. The planner runs
    /// only when there are none.
    std::int64_t m_pendingCommands = 0;
  };
  /// What a peer reported about itself in its last digest.
  struct PeerReport {
    std::uint64_t m_revision = 0;
    bool m_leaseValid = false;
    Instant m_heard;
  };
  using TargetMap = std::map<TargetId, TargetDirectoryEntry>;

  TargetMap targetMap(Instant Now) const;
  Plan plan(Instant Now, const ControlState &State);
  void runAsLeader(Instant Now, const ControlState &State, FleetOutput &Output);
  void collectMembershipChanges(FleetOutput &Output, bool Leads);
  void takeDigests(const ControlState &State, bool LeaseValid,
                   FleetOutput &Output);
  static void fillSuspects(const ControlState &State, ClusterView &View);
  nlohmann::json nodesJson(Instant Now, const ControlState &State,
                           bool LeaseValid) const;

  FleetOptions m_options;
  NodeMembership m_membership;
  TargetDirectory m_directory;
  std::map<NodeId, PeerReport> m_peers;
  Instant m_observingSince;
  std::optional<Leadership> m_leadership;
  internal::PlannerTestHooks m_hooks;
};

} // namespace turmericdyke
