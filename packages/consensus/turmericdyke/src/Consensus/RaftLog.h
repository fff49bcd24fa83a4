#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "turmericdyke/src/Consensus/RaftState.h"

namespace turmericdyke::internal {

/// The in-memory log: the latest snapshot and the entries after a discarded
/// prefix, which ends at or before the snapshot.
class RaftLog {
public:
  RaftLog(Snapshot Base, std::vector<LogEntry> Entries);

  /// Last discarded index; its term is still known.
  LogIndex prefixIndex() const { return m_prefixIndex; }
  LogIndex lastIndex() const { return m_prefixIndex + m_entries.size(); }
  Term lastTerm() const { return *termAt(lastIndex()); }
  /// Empty if the entry was discarded or does not exist.
  std::optional<Term> termAt(LogIndex Index) const;
  const LogEntry &at(LogIndex Index) const;
  const Snapshot &snapshot() const { return m_snapshot; }

  /// The voter set of the last entry that carries one, committed or not.
  const VoterSet &voters() const { return m_voterSets.back().second; }
  LogIndex votersIndex() const { return m_voterSets.back().first; }
  const VoterSet &votersAt(LogIndex Index) const;

  void append(LogEntry Entry);
  void truncateFrom(LogIndex Index);
  /// Discards the prefix but keeps at most `MaxEntries` entries with `MaxBytes`
  /// of commands before the new snapshot.
  void compact(Snapshot State, std::size_t MaxEntries, std::size_t MaxBytes);
  /// Replaces the whole log with a snapshot.
  void reset(Snapshot State);

  /// Entries from `From` on within both limits, but at least one if present.
  std::vector<LogEntry> slice(LogIndex From, std::size_t MaxEntries,
                              std::size_t MaxBytes) const;
  /// First index of the contiguous entries that share the term of `Index`.
  LogIndex firstOfTermAt(LogIndex Index) const;
  /// Last index whose term is at most `Bound`.
  LogIndex lastWithTermAtMost(Term Bound) const;

private:
  Snapshot m_snapshot;
  LogIndex m_prefixIndex = 0;
  Term m_prefixTerm = 0;
  std::deque<LogEntry> m_entries;
  /// Voter sets with the index of their entry; the first one applies at the end
  /// of the discarded prefix.
  std::vector<std::pair<LogIndex, VoterSet>> m_voterSets;
};

} // namespace turmericdyke::internal
