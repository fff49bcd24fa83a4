#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Consensus/RaftActions.h"
#include "turmericdyke/src/Consensus/RaftState.h"
#include "turmericdyke/src/Storage/Directory.h"
#include "turmericdyke/src/Storage/FileInterface.h"
#include "turmericdyke/src/Storage/SegmentedLog.h"
#include "turmericdyke/src/Storage/StorageError.h"

namespace turmericdyke {

struct DataDirectoryOptions {
  /// A new log file is started once the present one has this size.
  std::uint64_t m_segmentBytes = std::uint64_t{4} * 1024 * 1024;
};

/// What a voter keeps on disk: lock, format version, voter identity, hard
/// state, snapshot and log. An incomplete last record, left by a write that was
/// cut short, is truncated with a notice; any other damage is an error and
/// changes nothing on disk. After a failed write every further one is refused:
/// what a failed sync left behind is known only after the directory has been
/// opened again.
class DataDirectory {
public:
  /// Opens the directory, creating it with a new voter identity if it does not
  /// exist or is empty. `Files` must outlive the object.
  static Result<DataDirectory, StorageError>
  open(std::string_view Path, DataDirectoryOptions Options = {},
       FileInterface &Files = systemFiles());

  /// Random, 32 hexadecimal digits; unchanged for the life of the directory.
  const std::string &identity() const { return m_identity; }
  /// Whether there is neither log nor snapshot.
  bool isEmpty() const;
  /// What `open` repaired, for the log of the process.
  const std::vector<std::string> &notices() const { return m_notices; }

  /// Hands over what `open` read, once.
  PersistentState load();
  /// Writes the first entry of a new cluster. All initial voters are given the
  /// same set. Call before `load`, on an empty directory.
  Result<void, StorageError> bootstrap(const VoterSet &Voters);
  /// Writes and syncs hard state, snapshot and entries.
  Result<void, StorageError> persist(const RaftActions &Actions);
  /// Writes and syncs a snapshot of this node's own state machine, and removes
  /// log files that it replaces.
  Result<void, StorageError> writeSnapshot(const Snapshot &State);

private:
  DataDirectory(internal::Directory Files, internal::FileDescriptor Lock,
                DataDirectoryOptions Options);

  Result<void, StorageError> readAll();
  Result<void, StorageError> syncRead();
  Result<void, StorageError> readFormat(const std::vector<std::string> &Names);
  Result<void, StorageError> create(const std::vector<std::string> &Names);
  Result<void, StorageError>
  removeTemporaries(const std::vector<std::string> &Names);
  Result<void, StorageError> readHardState();
  Result<void, StorageError> readSnapshot();
  Result<void, StorageError> checkConsistency() const;
  Result<void, StorageError> write(const RaftActions &Actions);
  Result<void, StorageError> replaceSnapshot(const Snapshot &State);
  /// Refuses further writes if `Outcome` is an error.
  Result<void, StorageError> latch(Result<void, StorageError> Outcome);

  internal::Directory m_files;
  internal::FileDescriptor m_lock;
  internal::SegmentedLog m_log;
  std::string m_identity;
  PersistentState m_state;
  LogIndex m_snapshotIndex = 0;
  bool m_failed = false;
  std::vector<std::string> m_notices;
};

} // namespace turmericdyke
