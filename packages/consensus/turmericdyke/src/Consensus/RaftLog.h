#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "turmericdyke/src/Consensus/RaftState.h"

namespace turmericdyke::internal {

/// The log in memory: the newest snapshot, and the entries after a prefix that
/// ends at or before the snapshot.
class RaftLog {
public:
  RaftLog(Snapshot Base, std::vector<LogEntry> Entries);

  /// Last index that was dropped; its term is still known.
  LogIndex prefixIndex() const { return m_prefixIndex; }
  LogIndex lastIndex() const { return m_prefixIndex + m_entries.size(); }
  Term lastTerm() const { return *termAt(lastIndex()); }
  /// Nothing for an index that was dropped or does not exist.
  std::optional<Term> termAt(LogIndex Index) const;
  const LogEntry &at(LogIndex Index) const;
  const Snapshot &snapshot() const { return m_snapshot; }

  /// The voter set of the last entry that carries one, committed or not.
  const VoterSet &voters() const { return m_voterSets.back().second; }
  LogIndex votersIndex() const { return m_voterSets.back().first; }
  const VoterSet &votersAt(LogIndex Index) const;

  void append(LogEntry Entry);
  void truncateFrom(LogIndex Index);
  /// Drops the prefix up to `Retained` entries before the new snapshot.
  void compact(Snapshot State, std::size_t Retained);
  /// Replaces the whole log by a snapshot.
  void reset(Snapshot State);

  /// Entries from `From` on, at least one if it exists, within both bounds.
  std::vector<LogEntry> slice(LogIndex From, std::size_t MaxEntries,
                              std::size_t MaxBytes) const;
  /// First index of the run of entries of equal term that contains `Index`.
  LogIndex firstOfTermAt(LogIndex Index) const;
  /// Last index with a term of at most `Bound`.
  LogIndex lastWithTermAtMost(Term Bound) const;

private:
  Snapshot m_snapshot;
  LogIndex m_prefixIndex = 0;
  Term m_prefixTerm = 0;
  std::deque<LogEntry> m_entries;
  /// Voter sets by the index that set them; the first holds at the prefix.
  std::vector<std::pair<LogIndex, VoterSet>> m_voterSets;
};

} // namespace turmericdyke::internal
