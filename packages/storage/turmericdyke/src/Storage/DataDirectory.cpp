#include "turmericdyke/src/Storage/DataDirectory.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/outcome/try.hpp>
#include <fmt/format.h>

#include "turmericdyke/src/Base/Bytes.h"
#include "turmericdyke/src/Storage/RecordCodec.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr std::string_view LockFile = "lock";
constexpr std::string_view FormatFile = "format";
constexpr std::string_view HardStateFile = "hard-state";
constexpr std::string_view SnapshotFile = "snapshot";
constexpr std::string_view TemporarySuffix = ".tmp";
constexpr std::size_t IdentityBytes = 16;
constexpr int FormatVersion = 1;

bool isTemporary(std::string_view Name) {
  return Name.size() > TemporarySuffix.size() &&
         Name.substr(Name.size() - TemporarySuffix.size()) == TemporarySuffix;
}

/// Files that a directory may hold before its format file is written.
bool precedesFormat(std::string_view Name) {
  return Name == "." || Name == ".." || Name == LockFile ||
         Name == "lost+found" || isTemporary(Name);
}

/// The first line stays the same in all versions, so that an older program
/// recognises a newer directory.
std::string formatText(std::string_view Version, std::string_view Identity) {
  std::string Text =
      fmt::format("turmericdyke data directory, version {}\nidentity {}\n",
                  Version, Identity);
  return fmt::format("{}crc32c {:08x}\n", Text, crc32c(Text));
}

/// Reads a file of one record; nothing if the file does not exist.
template <class T>
Result<std::optional<T>, StorageError>
readSingle(const Directory &Files, std::string_view Name,
           std::optional<T> (*Decode)(std::string_view)) {
  BOOST_OUTCOME_TRY(Bytes, Files.read(Name));
  if (!Bytes)
    return std::optional<T>();
  ReadRecord Record = readRecord(*Bytes);
  bool Whole = Record.m_status == RecordStatus::Complete &&
               RecordHeaderBytes + Record.m_payload.size() == Bytes->size();
  std::optional<T> Value =
      Whole ? Decode(Record.m_payload) : std::optional<T>();
  if (!Value)
    return damage(Files.pathOf(Name), 0,
                  "it is not one record with a valid "
                  "checksum");
  return Value;
}

} // namespace
} // namespace internal

using internal::damage;

DataDirectory::DataDirectory(internal::Directory Files,
                             internal::FileDescriptor Lock,
                             DataDirectoryOptions Options)
    : m_files(std::move(Files)), m_lock(std::move(Lock)),
      m_log(Options.m_segmentBytes) {}

Result<DataDirectory, StorageError>
DataDirectory::open(std::string_view Path, DataDirectoryOptions Options,
                    FileInterface &Files) {
  BOOST_OUTCOME_TRY(Folder, internal::Directory::open(Path, Files));
  BOOST_OUTCOME_TRY(Lock, Folder.lock(internal::LockFile));
  DataDirectory Opened(std::move(Folder), std::move(Lock), Options);
  BOOST_OUTCOME_TRYV(Opened.readAll());
  return Opened;
}

Result<void, StorageError> DataDirectory::readAll() {
  BOOST_OUTCOME_TRY(Names, m_files.names());
  BOOST_OUTCOME_TRYV(readFormat(Names));
  BOOST_OUTCOME_TRYV(readHardState());
  BOOST_OUTCOME_TRYV(readSnapshot());
  BOOST_OUTCOME_TRY(Entries,
                    m_log.read(m_files, Names, m_state.m_snapshot, m_notices));
  m_state.m_entries = std::move(Entries);
  BOOST_OUTCOME_TRYV(checkConsistency());
  BOOST_OUTCOME_TRYV(syncRead());
  return removeTemporaries(Names);
}

/// A process that was killed between a write and its sync leaves bytes that can
/// be read, but that a loss of power still takes away. They must not be relied
/// on, for example acknowledged to a leader, before they are synced.
Result<void, StorageError> DataDirectory::syncRead() {
  BOOST_OUTCOME_TRYV(m_log.syncLast(m_files));
  return m_files.syncSelf();
}

Result<void, StorageError>
DataDirectory::readFormat(const std::vector<std::string> &Names) {
  BOOST_OUTCOME_TRY(Text, m_files.read(internal::FormatFile));
  if (!Text)
    return create(Names);
  std::string Path = m_files.pathOf(internal::FormatFile);
  std::string Blank =
      internal::formatText(fmt::format("{}", internal::FormatVersion),
                           std::string(2 * internal::IdentityBytes, '0'));
  std::size_t FirstLine = Blank.find('\n');
  std::size_t VersionAt = Blank.rfind(' ', FirstLine) + 1;
  if (Text->compare(0, VersionAt, Blank, 0, VersionAt) != 0)
    return damage(Path, 0, "it is not the format file of a data directory");
  if (Text->compare(0, FirstLine + 1, Blank, 0, FirstLine + 1) != 0)
    return StorageError{StorageErrorKind::UnknownFormat,
                        fmt::format("{} names a version other than {}", Path,
                                    internal::FormatVersion),
                        Path, VersionAt};
  std::size_t IdentityAt = Blank.find(' ', FirstLine) + 1;
  if (Text->size() == Blank.size())
    m_identity = Text->substr(IdentityAt, 2 * internal::IdentityBytes);
  if (*Text != internal::formatText(fmt::format("{}", internal::FormatVersion),
                                    m_identity))
    return damage(Path, 0, "the checksum is wrong");
  return success();
}

Result<void, StorageError>
DataDirectory::create(const std::vector<std::string> &Names) {
  for (const std::string &Name : Names)
    if (!internal::precedesFormat(Name))
      return damage(m_files.pathOf(internal::FormatFile), 0,
                    fmt::format("it is missing, but {} exists", Name));
  m_identity = toHex(randomBytes(internal::IdentityBytes));
  return m_files.replace(
      internal::FormatFile,
      internal::formatText(fmt::format("{}", internal::FormatVersion),
                           m_identity));
}

/// The one of the format file is skipped: `create` may just have renamed it.
Result<void, StorageError>
DataDirectory::removeTemporaries(const std::vector<std::string> &Names) {
  for (const std::string &Name : Names)
    if (internal::isTemporary(Name) &&
        Name.rfind(internal::FormatFile, 0) != 0) {
      BOOST_OUTCOME_TRYV(m_files.remove(Name));
    }
  return success();
}

Result<void, StorageError> DataDirectory::readHardState() {
  BOOST_OUTCOME_TRY(Read, internal::readSingle(m_files, internal::HardStateFile,
                                               internal::decodeHardState));
  m_state.m_hardState = Read.value_or(HardState());
  return success();
}

Result<void, StorageError> DataDirectory::readSnapshot() {
  BOOST_OUTCOME_TRY(Read, internal::readSingle(m_files, internal::SnapshotFile,
                                               internal::decodeSnapshot));
  m_state.m_snapshot = std::move(Read).value_or(Snapshot());
  m_snapshotIndex = m_state.m_snapshot.m_index;
  return success();
}

/// The hard state is written before the log, so it is never older.
Result<void, StorageError> DataDirectory::checkConsistency() const {
  Term Newest = m_state.m_snapshot.m_term;
  for (const LogEntry &Entry : m_state.m_entries)
    Newest = std::max(Newest, Entry.m_term);
  if (m_state.m_hardState.m_term < Newest)
    return damage(m_files.pathOf(internal::HardStateFile), 0,
                  fmt::format("its term {} is older than term {} of the log",
                              m_state.m_hardState.m_term, Newest));
  return success();
}

bool DataDirectory::isEmpty() const {
  return m_log.isEmpty() && m_snapshotIndex == 0;
}

PersistentState DataDirectory::load() {
  PersistentState State = std::exchange(m_state, {});
  State.m_identity = m_identity;
  return State;
}

Result<void, StorageError> DataDirectory::bootstrap(const VoterSet &Voters) {
  if (!isEmpty() || m_state.m_hardState.m_term > 1)
    return StorageError{StorageErrorKind::NotEmpty,
                        "the data directory already belongs to a cluster", "",
                        0};
  PersistentState Initial = bootstrapState(m_identity, Voters);
  RaftActions Actions;
  Actions.m_hardState = Initial.m_hardState;
  Actions.m_entries = Initial.m_entries;
  BOOST_OUTCOME_TRYV(persist(Actions));
  m_state = std::move(Initial);
  return success();
}

Result<void, StorageError> DataDirectory::persist(const RaftActions &Actions) {
  if (m_failed)
    return StorageError{StorageErrorKind::Failed,
                        "an earlier write to the data directory failed", "", 0};
  return latch(write(Actions));
}

Result<void, StorageError>
DataDirectory::latch(Result<void, StorageError> Outcome) {
  m_failed = m_failed || Outcome.has_error();
  return Outcome;
}

Result<void, StorageError> DataDirectory::write(const RaftActions &Actions) {
  if (Actions.m_hardState) {
    std::string Bytes;
    internal::appendRecord(internal::encodeHardState(*Actions.m_hardState),
                           Bytes);
    BOOST_OUTCOME_TRYV(m_files.replace(internal::HardStateFile, Bytes));
  }
  if (Actions.m_snapshot) {
    BOOST_OUTCOME_TRYV(replaceSnapshot(*Actions.m_snapshot));
    BOOST_OUTCOME_TRYV(m_log.removeAll(m_files));
  }
  if (Actions.m_entries.empty())
    return success();
  return m_log.append(m_files, Actions.m_entries);
}

Result<void, StorageError>
DataDirectory::replaceSnapshot(const Snapshot &State) {
  std::string Bytes;
  internal::appendRecord(internal::encodeSnapshot(State), Bytes);
  BOOST_OUTCOME_TRYV(m_files.replace(internal::SnapshotFile, Bytes));
  m_snapshotIndex = State.m_index;
  return success();
}

Result<void, StorageError> DataDirectory::writeSnapshot(const Snapshot &State) {
  if (m_failed)
    return persist({});
  if (State.m_index <= m_snapshotIndex)
    return success();
  BOOST_OUTCOME_TRYV(latch(replaceSnapshot(State)));
  return latch(m_log.removeUpTo(m_files, State.m_index));
}

} // namespace turmericdyke
