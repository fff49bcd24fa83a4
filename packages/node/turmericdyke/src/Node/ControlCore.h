#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/random/bit_gen_ref.h"
#include "turmericdyke/src/Consensus/Raft.h"
#include "turmericdyke/src/Control/ControlState.h"
#include "turmericdyke/src/Node/CoreMessage.h"
#include "turmericdyke/src/Node/Submissions.h"

namespace turmericdyke {

struct ControlCoreOptions {
  NodeId m_node;
  std::uint64_t m_incarnation = 0;
  /// All other nodes.
  std::vector<NodeId> m_peers;
  /// Nodes that should be voters; the leader brings the voter set there.
  std::vector<NodeId> m_desiredVoters;
  RaftOptions m_raft;
  /// Entries between snapshots of the replicated state.
  std::uint64_t m_snapshotInterval = 1000;
  absl::Duration m_submitTimeout = absl::Seconds(5);
};

/// What the shell does after a turn, once the storage actions are synced.
struct ControlOutput {
  std::vector<AddressedMessage> m_messages;
  std::vector<Completion> m_completions;
  std::vector<RaftEvent> m_events;
  /// Write to storage, then call `snapshotWritten`.
  std::optional<Snapshot> m_snapshot;
  /// The replicated state has changed.
  bool m_stateChanged = false;
};

/// The control side of a node as one state machine: replicated log, replicated
/// state, read lease and the node's own commands on their way into the log.
///
/// A turn is: any number of events; then, while `hasActions`, take the storage
/// actions, persist and sync them, and call `finish`. An error of the storage
/// is reported with `storageFailed` instead of `finish`.
class ControlCore {
public:
  ControlCore(ControlCoreOptions Options, const PersistentState &State,
              Instant Now, absl::BitGenRef Random);

  void onMessage(Instant Now, const NodeId &From, const CoreMessage &Message,
                 absl::BitGenRef Random);
  /// Call at least every 20 ms. `Wall` is the wall-clock time; it is used only
  /// as log time, for the expiry of records.
  void tick(Instant Now, absl::Time Wall, absl::BitGenRef Random);
  /// Submits a command; its completion carries the returned ticket.
  std::uint64_t submit(Instant Now, const Command &Value);
  /// Replaces the other nodes and the voters wanted. From now on the leader
  /// also takes voters out of the set that are not wanted.
  void setCluster(std::vector<NodeId> Peers, std::vector<NodeId> Voters);
  /// Hands leadership to another voter before a planned stop.
  void handOver(Instant Now);

  bool hasActions() const { return m_pending.has_value(); }
  /// The actions of the replicated log that must be persisted.
  const RaftActions &storageActions() const { return *m_pending; }
  void finish(Instant Now);
  void storageFailed();
  /// The snapshot is durable; entries before it may go.
  void snapshotWritten(const Snapshot &Written);
  ControlOutput takeOutput();

  const ControlState &state() const { return m_state; }
  const Raft &raft() const { return m_raft; }
  bool leads(Instant Now) const { return m_raft.holdsLeaderLease(Now); }
  Instant leaseUntil() const { return m_lease.validUntil(); }

  /// For tests only; kept when a snapshot replaces the state.
  void setTestHooks(const internal::ControlTestHooks &Hooks);

private:
  void onPeer(Instant, const NodeId &, const RaftMessage &, absl::BitGenRef);
  void onPeer(Instant, const NodeId &, const ReadLeaseRequest &,
              absl::BitGenRef);
  void onPeer(Instant, const NodeId &, const ReadLeaseGrant &, absl::BitGenRef);
  void onPeer(Instant, const NodeId &, const Propose &, absl::BitGenRef);
  void onPeer(Instant, const NodeId &, const ProposeResult &, absl::BitGenRef);
  void onPeer(Instant, const NodeId &, const BootstrapMessage &,
              absl::BitGenRef);
  template <class Other>
  void onPeer(Instant, const NodeId &, const Other &, absl::BitGenRef) {}

  void collect();
  /// Closes the once-only calls that an earlier process of this node left
  /// open, once the node knows a leader.
  void closeEarlierCalls(Instant Now);
  void sendLeaseRequest(Instant Now);
  void handOverCommands(Instant Now);
  void stepVoters(Instant Now);
  void advanceLogTime(Instant Now, absl::Time Wall);
  void apply(Instant Now, const LogEntry &Entry);
  void settleAbandoned(Instant Now, const Envelope &Value,
                       const CommandResult &Outcome);
  void maybeSnapshot();
  void send(const NodeId &To, CoreMessage Message);
  ReadLeaseLeader leaseFacts(Instant Now) const;

  ControlCoreOptions m_options;
  Raft m_raft;
  ControlState m_state;
  ReadLease m_lease;
  Submissions m_submissions;
  std::optional<RaftActions> m_pending;
  ControlOutput m_output;
  Instant m_nextLogTime = absl::InfinitePast();
  Instant m_nextVoterStep = absl::InfinitePast();
  /// The voters wanted are the only ones, not additions to the present ones.
  bool m_exactVoters = false;
  std::uint64_t m_snapshotIndex = 0;
  bool m_snapshotPending = false;
  /// Ticket of the command that closes earlier calls; 0 before it is submitted.
  std::uint64_t m_closingTicket = 0;
  bool m_earlierCallsClosed = false;
  internal::ControlTestHooks m_hooks;
};

} // namespace turmericdyke
