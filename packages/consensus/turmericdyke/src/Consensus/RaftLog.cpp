#include "turmericdyke/src/Consensus/RaftLog.h"

#include <algorithm>
#include <cassert>

namespace turmericdyke::internal {

namespace {

/// Approximate size of an encoded entry without its command.
constexpr std::size_t EntryOverheadBytes = 32;

/// Whether the entries are consistent with the snapshot `Base`. They are not if
/// the process crashed after installing a snapshot and before removing a log
/// that conflicts with it.
bool continuesSnapshot(const Snapshot &Base,
                       const std::vector<LogEntry> &Entries) {
  for (const LogEntry &Entry : Entries)
    if (Entry.m_index == Base.m_index)
      return Entry.m_term == Base.m_term;
  return true;
}

} // namespace

RaftLog::RaftLog(Snapshot Base, std::vector<LogEntry> Entries) {
  reset(std::move(Base));
  if (!continuesSnapshot(m_snapshot, Entries))
    return;
  for (LogEntry &Entry : Entries)
    if (Entry.m_index > m_snapshot.m_index)
      append(std::move(Entry));
}

std::optional<Term> RaftLog::termAt(LogIndex Index) const {
  if (Index == m_prefixIndex)
    return m_prefixTerm;
  if (Index < m_prefixIndex || Index > lastIndex())
    return std::nullopt;
  return at(Index).m_term;
}

const LogEntry &RaftLog::at(LogIndex Index) const {
  assert(Index > m_prefixIndex && Index <= lastIndex() &&
         "the entry must be in the log");
  return m_entries[Index - m_prefixIndex - 1];
}

const VoterSet &RaftLog::votersAt(LogIndex Index) const {
  auto Newer =
      std::find_if(m_voterSets.begin() + 1, m_voterSets.end(),
                   [Index](const auto &Set) { return Set.first > Index; });
  return std::prev(Newer)->second;
}

void RaftLog::append(LogEntry Entry) {
  assert(Entry.m_index == lastIndex() + 1 && "entries must be contiguous");
  if (Entry.m_kind == EntryKind::Voters)
    m_voterSets.emplace_back(Entry.m_index, Entry.m_voters);
  m_entries.push_back(std::move(Entry));
}

void RaftLog::truncateFrom(LogIndex Index) {
  assert(Index > m_snapshot.m_index &&
         "entries covered by the snapshot are committed");
  while (lastIndex() >= Index)
    m_entries.pop_back();
  while (m_voterSets.size() > 1 && m_voterSets.back().first >= Index)
    m_voterSets.pop_back();
}

void RaftLog::compact(Snapshot State, std::size_t MaxEntries,
                      std::size_t MaxBytes) {
  assert(State.m_index <= lastIndex() &&
         "a snapshot covers only entries in the log");
  m_snapshot = std::move(State);
  LogIndex Keep = m_snapshot.m_index;
  for (std::size_t Bytes = 0;
       Keep > m_prefixIndex && m_snapshot.m_index - Keep < MaxEntries; --Keep) {
    Bytes += at(Keep).m_command.size() + EntryOverheadBytes;
    if (Bytes > MaxBytes)
      break;
  }
  while (m_prefixIndex < Keep) {
    m_prefixIndex = m_entries.front().m_index;
    m_prefixTerm = m_entries.front().m_term;
    m_entries.pop_front();
  }
  while (m_voterSets.size() > 1 && m_voterSets[1].first <= m_prefixIndex)
    m_voterSets.erase(m_voterSets.begin());
}

void RaftLog::reset(Snapshot State) {
  m_snapshot = std::move(State);
  m_prefixIndex = m_snapshot.m_index;
  m_prefixTerm = m_snapshot.m_term;
  m_entries.clear();
  m_voterSets.assign(1, {m_snapshot.m_index, m_snapshot.m_voters});
}

std::vector<LogEntry> RaftLog::slice(LogIndex From, std::size_t MaxEntries,
                                     std::size_t MaxBytes) const {
  std::vector<LogEntry> Entries;
  std::size_t Bytes = 0;
  for (LogIndex Index = From; Index <= lastIndex(); ++Index) {
    const LogEntry &Entry = at(Index);
    Bytes += Entry.m_command.size() + EntryOverheadBytes;
    bool Full = Entries.size() >= MaxEntries || Bytes > MaxBytes;
    if (Full && !Entries.empty())
      break;
    Entries.push_back(Entry);
  }
  return Entries;
}

LogIndex RaftLog::firstOfTermAt(LogIndex Index) const {
  Term Wanted = at(Index).m_term;
  while (Index - 1 > m_prefixIndex && at(Index - 1).m_term == Wanted)
    --Index;
  return Index;
}

LogIndex RaftLog::lastWithTermAtMost(Term Bound) const {
  LogIndex Index = lastIndex();
  while (Index > m_prefixIndex && at(Index).m_term > Bound)
    --Index;
  return Index;
}

} // namespace turmericdyke::internal
