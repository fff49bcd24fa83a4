#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "FuzzOptions.h"
#include "turmericdyke/src/Node/ControlCore.h"
#include "turmericdyke/src/Node/FleetManager.h"

namespace turmericdyke::fuzz {

/// Callbacks for the outputs of a node.
struct NodeHooks {
  std::function<void(const AddressedMessage &)> m_send;
  std::function<void(const AddressedOrder &)> m_order;
  /// A new view was published.
  std::function<void()> m_published;
};

/// A node without real I/O, which performs the steps of `ControlLoop` in the
/// same order. Its clock has its own epoch.
class SimNode {
public:
  SimNode(const FuzzOptions &Options, std::size_t Index, bool IsVoter,
          NodeHooks Hooks);

  static NodeId nameOf(std::size_t Index);
  static VoterSet initialVoters();

  void start(Instant Now, std::mt19937_64 &Random);
  void crash();
  /// Replaces the data directory by an empty one. Must be called only while the
  /// node is down.
  void loseData();
  void tick(Instant Now, std::mt19937_64 &Random);
  void receive(Instant Now, const NodeId &From, const CoreMessage &Message,
               std::mt19937_64 &Random);
  bool announce(Instant Now, const TargetAnnouncement &Announcement);
  void submit(Instant Now, const Command &Value,
              std::function<void(const Completion &)> Done);
  void transferLeadership(Instant Now);

  Instant clock(Instant Now) const { return Now + m_epoch; }
  bool isUp() const { return m_core.has_value(); }
  bool holdsLease(Instant Now) const {
    return isUp() && clock(Now) < m_core->leaseUntil();
  }
  const ControlCore &core() const { return *m_core; }
  std::uint64_t incarnation() const { return m_incarnation; }
  const std::string &identity() const { return m_disk.m_identity; }
  std::shared_ptr<const ClusterView> view() const { return m_view; }

private:
  void turn(Instant Now);
  void persist(const RaftActions &Actions);
  void deliver(Instant Now, ControlOutput Output);
  void stepFleet(Instant Now, std::mt19937_64 &Random);
  void publish(Instant Now);

  FuzzOptions m_options;
  NodeId m_id;
  std::size_t m_index;
  bool m_isVoter;
  NodeHooks m_hooks;
  absl::Duration m_epoch;
  /// The synced state, which is all that survives a crash.
  PersistentState m_disk;
  int m_directories = 0;
  std::uint64_t m_incarnation = 0;
  std::optional<ControlCore> m_core;
  std::optional<FleetManager> m_fleet;
  std::set<std::uint64_t> m_fleetTickets;
  std::map<std::uint64_t, std::function<void(const Completion &)>> m_waiters;
  Instant m_nextFleetStep = absl::InfinitePast();
  std::shared_ptr<const ClusterView> m_view;
};

} // namespace turmericdyke::fuzz
