#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/types/span.h"
#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Consensus/RaftState.h"
#include "turmericdyke/src/Storage/Directory.h"
#include "turmericdyke/src/Storage/StorageError.h"

namespace turmericdyke::internal {

/// The log entries in numbered segment files, which are only appended to. A
/// record replaces all earlier records of its index and above, so that a
/// conflicting suffix is superseded without a second kind of write.
class SegmentedLog {
public:
  explicit SegmentedLog(std::uint64_t SegmentBytes)
      : m_segmentBytes(SegmentBytes) {}

  /// Reads all segments among `Names` and returns the entries after `Base`.
  /// Cuts a torn tail and adds a notice about it. Removes the segments if they
  /// contradict `Base` or end before it: then a crash interrupted the
  /// installation of `Base`.
  Result<std::vector<LogEntry>, StorageError>
  read(const Directory &Files, const std::vector<std::string> &Names,
       const Snapshot &Base, std::vector<std::string> &Notices);

  /// Syncs the last segment, the only one that may hold bytes which an earlier
  /// process wrote but did not sync.
  Result<void, StorageError> syncLast(const Directory &Files) const;

  /// Appends and syncs.
  Result<void, StorageError> append(const Directory &Files,
                                    absl::Span<const LogEntry> Entries);
  /// Removes the segments that only hold entries up to `Index`.
  Result<void, StorageError> removeUpTo(const Directory &Files, LogIndex Index);
  Result<void, StorageError> removeAll(const Directory &Files);
  bool isEmpty() const { return m_segments.empty(); }

private:
  struct Segment {
    std::uint64_t m_number = 0;
    LogIndex m_highestIndex = 0;
  };
  /// What has been read so far.
  struct Replay {
    const Snapshot &m_base;
    /// Index of the last record; nothing before the first.
    std::optional<LogIndex> m_last;
    /// Term of the log's entry at the index of the snapshot, if present.
    std::optional<Term> m_termAtBase;
    std::vector<LogEntry> m_entries;
  };

  Result<void, StorageError>
  findSegments(const Directory &Files, const std::vector<std::string> &Names);
  Result<void, StorageError> readSegment(const Directory &Files, std::size_t At,
                                         Replay &State,
                                         std::vector<std::string> &Notices);
  /// What is wrong with the place of `Entry` in the log; empty if nothing is.
  static std::string_view replay(LogEntry Entry, Replay &State);
  Result<void, StorageError> startSegment(const Directory &Files);

  std::uint64_t m_segmentBytes;
  std::vector<Segment> m_segments;
  /// The last segment, open for appending; closed before the first append.
  FileDescriptor m_active;
  std::uint64_t m_activeBytes = 0;
};

} // namespace turmericdyke::internal
