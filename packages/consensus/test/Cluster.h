#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "turmericdyke/Consensus"

namespace turmericdyke {

struct ClusterOptions {
  std::size_t m_voters = 3;
  /// Additional nodes. The last one has no data directory; the others have one
  /// and may become voters.
  std::size_t m_learners = 2;
  std::uint64_t m_seed = 1;
  DisabledCheck m_disabledCheck = DisabledCheck::None;
  double m_loss = 0.05;
  double m_duplicate = 0.05;
  absl::Duration m_maxDelay = absl::Milliseconds(30);
  std::size_t m_entriesPerMessage = 3;
  std::size_t m_inflightMessages = 2;
};

/// Raft nodes on simulated disks, clocks and links, with an oracle that checks
/// the guarantees of the log. The clocks of two nodes drift apart by up to 20
/// %.
class Cluster {
public:
  explicit Cluster(const ClusterOptions &Options);

  std::size_t size() const { return m_members.size(); }
  Raft *raft(std::size_t At) { return m_members[At].m_raft.get(); }
  bool holdsLease(std::size_t At) const;
  /// The running leader with the highest term, or `size()` if there is none.
  std::size_t leader() const;

  void run(absl::Duration Time);
  /// Runs until the condition is true; false after 20 s.
  bool runUntil(const std::function<bool()> &Condition);
  /// Runs until the leader holds a lease; false after 20 s.
  bool runUntilLease();
  void propose(std::size_t At, std::string Command);
  void transfer(std::size_t To);
  void snapshot(std::size_t At);
  void crash(std::size_t At);
  /// Crashes the node during its next write, after part of it is on disk.
  void crashDuringWrite(std::size_t At) { m_members[At].m_crashAtWrite = true; }
  /// Starts the node from its disk; a running node crashes first.
  void restart(std::size_t At);
  void pause(std::size_t At, absl::Duration Time) {
    m_members[At].m_pausedUntil = m_now + Time;
  }
  void cut(std::size_t From, std::size_t To) { m_cut.insert({From, To}); }
  void isolate(std::size_t At);
  void heal() { m_cut.clear(); }
  /// Replaces the data directory with a new one, if no committed entry can be
  /// lost by that.
  void replaceDisk(std::size_t At);
  /// Adds a node to, or removes it from, the operator's desired voter set.
  void toggleVoter(std::size_t At);
  /// Lets the leader change one voter towards the desired voter set.
  void changeOneVoter();
  /// Ends all faults and checks that the cluster recovers: the desired voter
  /// set is committed and every node has applied the same entries.
  void healAndCheck();

  /// The violations found by the oracle; empty if all guarantees held.
  const std::string &violations() const { return m_violations; }

private:
  struct Member {
    NodeId m_node;
    bool m_hasDirectory = true;
    PersistentState m_disk;
    std::unique_ptr<Raft> m_raft;
    double m_clockRate = 1;
    absl::Duration m_clockOffset;
    absl::Time m_pausedUntil = absl::InfinitePast();
    bool m_crashAtWrite = false;
    LogIndex m_applied = 0;
    std::uint64_t m_digest = 0;
  };
  struct Written {
    LogEntry m_entry;
    Term m_previousTerm = 0;
  };
  struct Applied {
    LogEntry m_entry;
    /// Term of the first node that applied the entry. Leaders of later terms
    /// must have the entry.
    Term m_committedIn = 0;
    std::uint64_t m_digest = 0;
  };

  Instant clock(const Member &M) const;
  bool chance(double Probability);
  bool isRunning(const Member &M) const;
  std::size_t indexOf(const NodeId &Node) const;
  VoterSet desiredVoters() const;
  bool canSpareDisk() const;
  void step();
  void deliver();
  void perform(Member &M);
  void persist(Member &M, const RaftActions &Actions);
  void write(Member &M, const std::vector<LogEntry> &Entries);
  void send(const RaftMessage &Message);
  void restore(Member &M, const Snapshot &State);
  void apply(Member &M, const LogEntry &Entry);
  void checkLeader(const Member &M);
  void checkLeases();
  void checkConverged();
  void violation(std::string Text);

  ClusterOptions m_options;
  std::mt19937_64 m_random;
  absl::Time m_now = absl::UnixEpoch();
  std::vector<Member> m_members;
  std::multimap<absl::Time, RaftMessage> m_network;
  std::set<std::pair<std::size_t, std::size_t>> m_cut;
  std::set<std::size_t> m_desiredVoters;
  std::uint64_t m_identities = 0;

  std::map<Term, Voter> m_leaders;
  std::map<std::pair<LogIndex, Term>, Written> m_written;
  std::map<LogIndex, Applied> m_applied;
  VoterSet m_committedVoters;
  std::string m_violations;
};

} // namespace turmericdyke
