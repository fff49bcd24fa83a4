#include "turmericdyke/src/Storage/SegmentedLog.h"

#include <algorithm>
#include <utility>

#include <boost/outcome/try.hpp>
#include <fmt/format.h>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/string_view.h"
#include "turmericdyke/src/Storage/RecordCodec.h"

namespace turmericdyke::internal {

namespace {

constexpr std::string_view SegmentPrefix = "log-";

std::string segmentName(std::uint64_t Number) {
  return fmt::format("{}{:020}", SegmentPrefix, Number);
}

} // namespace

Result<void, StorageError>
SegmentedLog::findSegments(const Directory &Files,
                           const std::vector<std::string> &Names) {
  m_segments.clear();
  for (const std::string &Name : Names) {
    if (Name.rfind(SegmentPrefix, 0) != 0)
      continue;
    std::uint64_t Number = 0;
    if (!absl::SimpleAtoi(Name.substr(SegmentPrefix.size()), &Number) ||
        Name != segmentName(Number))
      return damage(Files.pathOf(Name), 0, "no segment has this name");
    m_segments.push_back({Number, 0});
  }
  std::sort(m_segments.begin(), m_segments.end(),
            [](const Segment &A, const Segment &B) {
              return A.m_number < B.m_number;
            });
  for (std::size_t At = 1; At < m_segments.size(); ++At)
    if (m_segments[At].m_number != m_segments[At - 1].m_number + 1)
      return damage(Files.pathOf(segmentName(m_segments[At].m_number)), 0,
                    "the segment before it is missing");
  return success();
}

Result<std::vector<LogEntry>, StorageError>
SegmentedLog::read(const Directory &Files,
                   const std::vector<std::string> &Names, const Snapshot &Base,
                   std::vector<std::string> &Notices) {
  BOOST_OUTCOME_TRYV(findSegments(Files, Names));
  Replay State{Base, std::nullopt, std::nullopt, {}};
  for (std::size_t At = 0; At < m_segments.size(); ++At) {
    BOOST_OUTCOME_TRYV(readSegment(Files, At, State, Notices));
  }
  bool Short = State.m_last && *State.m_last < Base.m_index;
  bool Contradicts = State.m_termAtBase && *State.m_termAtBase != Base.m_term;
  if (Short || Contradicts) {
    BOOST_OUTCOME_TRYV(removeAll(Files));
    State.m_entries.clear();
    Notices.push_back("removed a log that the installed snapshot replaces");
  }
  return std::move(State.m_entries);
}

Result<void, StorageError>
SegmentedLog::readSegment(const Directory &Files, std::size_t At, Replay &State,
                          std::vector<std::string> &Notices) {
  std::string Name = segmentName(m_segments[At].m_number);
  std::string Path = Files.pathOf(Name);
  BOOST_OUTCOME_TRY(Bytes, Files.read(Name));
  if (!Bytes)
    return damage(Path, 0, "the segment vanished");
  std::size_t Offset = 0;
  while (Offset < Bytes->size()) {
    ReadRecord Record = readRecord(std::string_view(*Bytes).substr(Offset));
    bool Last = At + 1 == m_segments.size();
    if (Record.m_status == RecordStatus::Incomplete && Last) {
      BOOST_OUTCOME_TRYV(Files.truncate(Name, Offset));
      Notices.push_back(fmt::format("cut an incomplete record of {} bytes at "
                                    "byte {} of {}",
                                    Bytes->size() - Offset, Offset, Path));
      break;
    }
    // A complete last record with a wrong checksum is damage, too. It may be
    // an acknowledged record that decayed, which must not be dropped; a write
    // that was cut short leaves an incomplete record, because files grow only
    // by appending and their length is written after their data.
    if (Record.m_status != RecordStatus::Complete)
      return damage(Path, Offset, "a record has a wrong checksum or length");
    std::optional<LogEntry> Entry = decodeEntry(Record.m_payload);
    if (!Entry)
      return damage(Path, Offset, "a record is not a log entry");
    m_segments[At].m_highestIndex =
        std::max(m_segments[At].m_highestIndex, Entry->m_index);
    if (std::string_view Problem = replay(std::move(*Entry), State);
        !Problem.empty())
      return damage(Path, Offset, Problem);
    Offset += RecordHeaderBytes + Record.m_payload.size();
  }
  m_activeBytes = Offset;
  return success();
}

std::string_view SegmentedLog::replay(LogEntry Entry, Replay &State) {
  LogIndex Base = State.m_base.m_index;
  LogIndex Next = State.m_last.value_or(Base) + 1;
  if (Entry.m_index == 0 || Entry.m_index > Next)
    return "entries before this one are missing";
  State.m_last = Entry.m_index;
  if (Entry.m_index < Base)
    State.m_termAtBase.reset();
  if (Entry.m_index == Base)
    State.m_termAtBase = Entry.m_term;
  std::size_t Kept = Entry.m_index > Base ? Entry.m_index - Base - 1 : 0;
  State.m_entries.resize(std::min(Kept, State.m_entries.size()));
  if (Entry.m_index > Base)
    State.m_entries.push_back(std::move(Entry));
  return {};
}

Result<void, StorageError>
SegmentedLog::syncLast(const Directory &Files) const {
  if (m_segments.empty())
    return success();
  std::string Name = segmentName(m_segments.back().m_number);
  BOOST_OUTCOME_TRY(File, Files.openForAppend(Name));
  return Files.syncData(File, Name);
}

Result<void, StorageError> SegmentedLog::startSegment(const Directory &Files) {
  bool Continue = !m_segments.empty() && m_activeBytes < m_segmentBytes;
  if (Continue && m_active.isOpen())
    return success();
  if (!Continue) {
    std::uint64_t Number =
        m_segments.empty() ? 1 : m_segments.back().m_number + 1;
    m_segments.push_back({Number, 0});
    m_activeBytes = 0;
  }
  BOOST_OUTCOME_TRY(
      File, Files.openForAppend(segmentName(m_segments.back().m_number)));
  m_active = std::move(File);
  return success();
}

Result<void, StorageError>
SegmentedLog::append(const Directory &Files,
                     absl::Span<const LogEntry> Entries) {
  BOOST_OUTCOME_TRYV(startSegment(Files));
  Segment &Active = m_segments.back();
  std::string Name = segmentName(Active.m_number);
  std::string Bytes;
  for (const LogEntry &Entry : Entries) {
    appendRecord(encodeEntry(Entry), Bytes);
    Active.m_highestIndex = std::max(Active.m_highestIndex, Entry.m_index);
  }
  BOOST_OUTCOME_TRYV(Files.write(m_active, Name, Bytes));
  m_activeBytes += Bytes.size();
  return Files.syncData(m_active, Name);
}

Result<void, StorageError> SegmentedLog::removeUpTo(const Directory &Files,
                                                    LogIndex Index) {
  // From the oldest on, each removal durable before the next, so that a crash
  // leaves no hole between segments.
  while (m_segments.size() > 1 && m_segments.front().m_highestIndex <= Index) {
    BOOST_OUTCOME_TRYV(Files.remove(segmentName(m_segments.front().m_number)));
    m_segments.erase(m_segments.begin());
  }
  return success();
}

Result<void, StorageError> SegmentedLog::removeAll(const Directory &Files) {
  // From the newest on: what a crash leaves is a prefix of the old log, which
  // the next start recognises as replaced by the snapshot.
  m_active = FileDescriptor();
  while (!m_segments.empty()) {
    BOOST_OUTCOME_TRYV(Files.remove(segmentName(m_segments.back().m_number)));
    m_segments.pop_back();
  }
  m_activeBytes = 0;
  return success();
}

} // namespace turmericdyke::internal
