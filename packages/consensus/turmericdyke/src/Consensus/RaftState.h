#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "absl/types/span.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// Election term. 0 means none; a bootstrapped log starts in term 1.
using Term = std::uint64_t;

/// Position in the log. 0 means none; the first entry has index 1.
using LogIndex = std::uint64_t;

/// A node and the identity of its data directory. A node whose data directory
/// was lost and recreated is a different voter.
struct Voter {
  NodeId m_node;
  std::string m_identity;

  /// Not defaulted because clang-tidy 14 warns about the code generated for a
  /// defaulted comparison.
  friend bool operator<(const Voter &A, const Voter &B) {
    return std::tie(A.m_node, A.m_identity) < std::tie(B.m_node, B.m_identity);
  }
  friend bool operator==(const Voter &, const Voter &) = default;
};

/// The voters, sorted by node, each node at most once.
struct VoterSet {
  std::vector<Voter> m_voters;

  /// The number of voters that form a quorum.
  std::size_t majority() const { return m_voters.size() / 2 + 1; }
  bool contains(const Voter &Candidate) const;
  /// The voter of `Node`, or null.
  const Voter *find(const NodeId &Node) const;

  friend bool operator==(const VoterSet &, const VoterSet &) = default;
};

/// `NoOp` starts a term, `Command` carries an encoded state machine command,
/// and `Voters` carries the whole voter set that applies from that entry on.
enum class EntryKind : std::uint8_t { NoOp = 0, Command = 1, Voters = 2 };

struct LogEntry {
  LogIndex m_index = 0;
  Term m_term = 0;
  EntryKind m_kind = EntryKind::NoOp;
  std::string m_command;
  VoterSet m_voters;

  friend bool operator==(const LogEntry &, const LogEntry &) = default;
};

/// The state machine after applying the entry `m_index`, and the voter set at
/// that index.
struct Snapshot {
  LogIndex m_index = 0;
  Term m_term = 0;
  VoterSet m_voters;
  std::string m_data;

  friend bool operator==(const Snapshot &, const Snapshot &) = default;
};

/// State that a voter must persist across restarts.
struct HardState {
  Term m_term = 0;
  /// The candidate that got the vote in `m_term`; its node is empty if none.
  Voter m_vote;
  /// A leader detected that this data directory was rolled back. This identity
  /// never votes again.
  bool m_identityRevoked = false;

  friend bool operator==(const HardState &, const HardState &) = default;
};

/// The state from which `Raft` starts. A learner without a data directory
/// starts from a default value, whose identity is empty.
struct PersistentState {
  std::string m_identity;
  HardState m_hardState;
  Snapshot m_snapshot;
  /// Contiguous; entries up to `m_snapshot.m_index` are ignored.
  std::vector<LogEntry> m_entries;
};

/// The initial state of a voter in a new cluster. Its first entry is the voter
/// set, which must be the same on all initial voters.
PersistentState bootstrapState(std::string Identity, VoterSet Voters);

/// The next voter set on the way from `Current` to `Goal`. It differs from
/// `Current` by one voter, because majorities of the sets before and after a
/// direct replacement need not overlap. Of the possible steps it takes the one
/// after which most of the voters in `Live` may be lost: a lost voter is
/// removed before its successor is added, a live one is removed after. `Live`
/// may name nodes that do not vote yet.
VoterSet nextVoterSet(const VoterSet &Current, const VoterSet &Goal,
                      absl::Span<const Voter> Live);

/// Whether the sets differ by exactly one added or one removed voter.
bool differByOneVoter(const VoterSet &A, const VoterSet &B);

/// Sorts by node. Empty if the set has no voter, a node occurs twice, or a node
/// name or identity is empty.
std::optional<VoterSet> normalizedVoterSet(VoterSet Voters);

} // namespace turmericdyke
