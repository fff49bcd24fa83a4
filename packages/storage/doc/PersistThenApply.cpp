#include <cstdlib>
#include <filesystem>
#include <random>
#include <string>

#include <fmt/format.h>

#include "turmericdyke/Base"
#include "turmericdyke/Consensus"
#include "turmericdyke/Storage"

/// The order of a voter's work: write and sync, then send, then apply. A single
/// voter creates its data directory, commits one command and writes a snapshot.
using namespace turmericdyke;

namespace {

/// Performs the actions; false if the storage failed. The applied commands are
/// appended to `State`, which stands for the state machine.
bool perform(Raft &Log, DataDirectory &Data, std::string &State,
             LogIndex &Applied) {
  RaftActions Actions = Log.takeActions();
  if (Result<void, StorageError> Written = Data.persist(Actions); !Written) {
    LogLine(LogLevel::Error, "storage_failed")
        .field("error", Written.error().m_message);
    Log.storageFailed();
    return false;
  }
  // Here a node of a larger cluster sends Actions.m_messages.
  if (Actions.m_snapshot)
    State = Actions.m_snapshot->m_data;
  for (const LogEntry &Entry : Actions.m_committed) {
    State += Entry.m_command;
    Applied = Entry.m_index;
  }
  return true;
}

int run(const std::string &Path) {
  Result<DataDirectory, StorageError> Opened = DataDirectory::open(Path);
  if (!Opened)
    return EXIT_FAILURE;
  DataDirectory &Data = Opened.value();
  NodeId Self("n1");
  if (Data.isEmpty() && !Data.bootstrap({{{Self, Data.identity()}}}))
    return EXIT_FAILURE;
  RaftOptions Options;
  Options.m_node = Self;
  std::mt19937_64 Random(1);
  Instant Now = monotonicNow();
  PersistentState Stored = Data.load();
  std::string State = Stored.m_snapshot.m_data;
  LogIndex Applied = Stored.m_snapshot.m_index;
  Raft Log(Options, std::move(Stored), Now, Random);
  Now += absl::Seconds(2);
  Log.tick(Now, Random);
  if (!perform(Log, Data, State, Applied) || !Log.propose(Now, "command") ||
      !perform(Log, Data, State, Applied))
    return EXIT_FAILURE;
  Snapshot Own = Log.makeSnapshot(Applied, State);
  if (!Data.writeSnapshot(Own))
    return EXIT_FAILURE;
  Log.compact(std::move(Own));
  return State == "command" ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main() {
  std::string Path =
      (std::filesystem::temp_directory_path() / "storage-doc-XXXXXX");
  if (mkdtemp(Path.data()) == nullptr)
    return EXIT_FAILURE;
  int Status = run(Path);
  std::filesystem::remove_all(Path);
  return Status;
}
