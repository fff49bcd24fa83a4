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

/// What follows from one step of the fleet.
struct FleetOutput {
  std::vector<AddressedMessage> m_messages;
  /// For the log. Each result comes back through `commandDone`.
  std::vector<Command> m_commands;
  std::vector<AddressedOrder> m_orders;
  /// For the log of this process.
  std::vector<NodeUpdate> m_nodeChanges;
};

struct FleetOptions {
  NodeId m_node;
  std::uint64_t m_incarnation = 0;
  /// IP:port where this node listens for peers.
  std::string m_address;
  /// Addresses of the other nodes from the settings.
  std::vector<std::string> m_seeds;
};

/// What a step needs to know of the replicated log.
struct FleetFacts {
  bool m_leads = false;
  bool m_leaseValid = false;
};

/// The nodes and targets as this node knows them, and on the leader the planner
/// that forms replicas. A pure state machine.
class FleetSide {
public:
  FleetSide(FleetOptions Options, Instant Now);

  Result<void, FleetError> announce(Instant Now,
                                    const TargetAnnouncement &Announcement);
  void receive(Instant Now, const NodeId &From, const TargetDigest &Digest);
  void receive(Instant Now, const SwimMessage &Message, absl::BitGenRef Random);
  /// Call every 50 ms.
  FleetOutput step(Instant Now, const ControlState &State,
                   const FleetFacts &Facts, absl::BitGenRef Random);
  /// A command of an earlier step was applied, or given up when `Committed` is
  /// false.
  void commandDone(bool Committed, const CommandResult &Done);

  /// Adds the replicas and services that may take work.
  void fillView(Instant Now, const ControlState &State,
                ClusterView &View) const;
  /// Adds nodes, targets and replicas to the status page.
  void fillStatus(Instant Now, const ControlState &State, bool LeaseValid,
                  nlohmann::json &Status) const;
  const TargetDirectoryCounts &counts() const { return m_directory.counts(); }

  /// For tests only; applies to planners of later leaderships.
  void setTestHooks(const internal::PlannerTestHooks &Hooks) {
    m_hooks = Hooks;
  }

private:
  /// Exists while this node leads.
  struct Leadership {
    explicit Leadership(Instant Since) : m_since(Since) {}

    Planner m_planner;
    Instant m_since;
    FenceBlock m_fences;
    /// Commands of the last plan that are not done. The planner waits for them.
    std::int64_t m_openCommands = 0;
  };
  /// What a peer said of itself in its last digest.
  struct PeerFacts {
    std::uint64_t m_revision = 0;
    bool m_leaseValid = false;
    Instant m_heard;
  };
  using TargetMap = std::map<TargetId, DirectoryView>;

  TargetMap targetMap(Instant Now) const;
  Plan plan(Instant Now, const ControlState &State);
  void lead(Instant Now, const ControlState &State, FleetOutput &Output);
  void takeMembership(FleetOutput &Output, bool Leads);
  void takeDigests(const ControlState &State, bool LeaseValid,
                   FleetOutput &Output);
  static void fillSuspects(const ControlState &State, ClusterView &View);
  nlohmann::json nodesJson(Instant Now, const ControlState &State,
                           bool LeaseValid) const;

  FleetOptions m_options;
  NodeMembership m_membership;
  TargetDirectory m_directory;
  std::map<NodeId, PeerFacts> m_peers;
  Instant m_observingSince;
  std::optional<Leadership> m_leadership;
  internal::PlannerTestHooks m_hooks;
};

} // namespace turmericdyke
