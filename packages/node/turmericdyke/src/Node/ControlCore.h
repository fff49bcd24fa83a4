#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/random/bit_gen_ref.h"
#include "turmericdyke/src/Consensus/Raft.h"
#include "turmericdyke/src/Control/ControlState.h"
#include "turmericdyke/src/Node/CoreMessage.h"
#include "turmericdyke/src/Node/PendingCommands.h"

namespace turmericdyke {

struct ControlCoreOptions {
  NodeId m_node;
  std::uint64_t m_incarnation = 0;
  /// All other nodes.
  std::vector<NodeId> m_peers;
  /// Nodes that should be voters; the leader changes the voter set step by step
  /// until it contains them.
  std::vector<NodeId> m_desiredVoters;
  RaftOptions m_raft;
  /// Entries between snapshots of the replicated state.
  std::uint64_t m_snapshotInterval = 1000;
  /// Bytes of commands after which a snapshot is written even if it has fewer
  /// entries: a restart reads and applies everything after the last snapshot.
  std::size_t m_snapshotBytes = std::size_t{4} * 1024 * 1024;
  /// Committed entries applied in one turn, at least one. After a restart the
  /// first commit releases the whole log, and a node that applies it in one
  /// turn misses its heartbeats and is replaced as the leader.
  std::size_t m_maxAppliedBytesPerTurn = std::size_t{256} * 1024;
  std::size_t m_maxAppliedEntriesPerTurn = 256;
  absl::Duration m_submitTimeout = absl::Seconds(5);
};

/// Committed entries that were applied to the replicated state.
struct AppliedEntries {
  std::size_t m_entries = 0;
  /// Sum of their encoded commands.
  std::size_t m_bytes = 0;
};

/// What the caller must carry out after the storage actions are synced.
struct ControlOutput {
  std::vector<AddressedMessage> m_messages;
  std::vector<Completion> m_completions;
  std::vector<RaftEvent> m_events;
  /// To be written to storage; `snapshotWritten` must be called afterwards.
  std::optional<Snapshot> m_snapshot;
  /// The replicated state has changed.
  bool m_stateChanged = false;
  AppliedEntries m_applied;
};

/// The control plane of a node as a state machine without I/O: the replicated
/// log, the replicated state, the read lease and the commands that this node
/// has submitted to the log.
///
/// After any number of events, while `hasActions` is true, the caller persists
/// and syncs `storageActions` and calls `onActionsPersisted`, or
/// `storageFailed` if storage reports an error.
///
/// Committed entries are applied a part at a time: one with each call of
/// `onActionsPersisted` and `tick`. The caller ticks again soon, after reading
/// its messages, while `waitingEntries` is not 0.
class ControlCore {
public:
  ControlCore(ControlCoreOptions Options, const PersistentState &State,
              Instant Now, absl::BitGenRef Random);

  void onMessage(Instant Now, const NodeId &From, const CoreMessage &Message,
                 absl::BitGenRef Random);
  /// Must be called at least every 20 ms. `WallTime` is used only as log time,
  /// for the expiry of records.
  void tick(Instant Now, absl::Time WallTime, absl::BitGenRef Random);
  /// Submits a command; its completion carries the returned ticket.
  std::uint64_t submit(Instant Now, const Command &Value);
  /// Submits a command that must not be carried out after newer ones, as
  /// nothing in it states which state it was given against. Only this node may
  /// propose it, and only in the term that it leads now: the outcome is unknown
  /// as soon as the lead is lost.
  std::uint64_t submitAsLeader(Instant Now, const Command &Value);
  /// Replaces the list of other nodes and the desired voters. From now on the
  /// leader also removes voters that are not desired.
  void setClusterMembers(std::vector<NodeId> Peers, std::vector<NodeId> Voters);
  /// Transfers leadership to another voter before a planned stop.
  void transferLeadership(Instant Now);

  bool hasActions() const { return m_pendingActions.has_value(); }
  /// The actions of the replicated log that must be persisted.
  const RaftActions &storageActions() const { return *m_pendingActions; }
  void onActionsPersisted(Instant Now);
  void storageFailed();
  /// Called when the snapshot is durable; earlier log entries may then be
  /// removed.
  void snapshotWritten(const Snapshot &Written);
  ControlOutput takeOutput();

  const ControlState &state() const { return m_state; }
  const Raft &raft() const { return m_raft; }
  /// Whether this node leads and has applied everything that earlier leaders
  /// accepted.
  bool leads(Instant Now) const;
  /// Committed entries that are not applied yet.
  std::size_t waitingEntries() const { return m_waiting.size(); }
  /// Whether `state` contains every committed entry that this node knows of. A
  /// leader must not present its state as the newest otherwise.
  bool stateIsCurrent() const { return m_waiting.empty(); }
  Instant leaseUntil() const { return m_lease.validUntil(); }

  /// For tests only; the hooks stay set when a snapshot replaces the state.
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

  void collectActions();
  /// Once a leader is known, closes the once-only calls that an earlier process
  /// of this node left open.
  void closeOrphanedCalls(Instant Now);
  void sendLeaseRequest(Instant Now);
  void proposePendingCommands(Instant Now);
  std::optional<Term> ledTerm() const;
  void updateVoters(Instant Now);
  void advanceLogTime(Instant Now, absl::Time WallTime);
  /// Applies the next part of the committed entries.
  void applyWaiting(Instant Now);
  void apply(Instant Now, const LogEntry &Entry);
  void closeAbandonedCall(Instant Now, const Envelope &Value,
                          const CommandResult &Outcome);
  void maybeSnapshot();
  bool snapshotDue() const;
  void send(const NodeId &To, CoreMessage Message);
  ReadLeaseLeaderState readLeaseLeader(Instant Now) const;

  ControlCoreOptions m_options;
  Raft m_raft;
  ControlState m_state;
  ReadLease m_lease;
  PendingCommands m_pendingCommands;
  std::optional<RaftActions> m_pendingActions;
  /// Committed entries in log order that are not applied yet.
  std::deque<LogEntry> m_waiting;
  LogIndex m_applied = 0;
  ControlOutput m_output;
  Instant m_nextLogTime = absl::InfinitePast();
  Instant m_nextVoterUpdate = absl::InfinitePast();
  /// Whether voters that are not desired are removed; otherwise the desired
  /// voters are only added.
  bool m_removeOtherVoters = false;
  std::uint64_t m_snapshotIndex = 0;
  /// Size of the last snapshot, and bytes of the commands applied since.
  std::size_t m_lastSnapshotBytes = 0;
  std::size_t m_bytesSinceSnapshot = 0;
  bool m_storageFailed = false;
  bool m_snapshotPending = false;
  /// Ticket of the command that closes earlier calls; 0 before it is submitted.
  std::uint64_t m_closeCallsTicket = 0;
  bool m_orphanedCallsClosed = false;
  internal::ControlTestHooks m_hooks;
};

} // namespace turmericdyke
