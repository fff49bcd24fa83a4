#include "turmericdyke/src/Node/CoreDriver.h"

#include <utility>

#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Storage/DataDirectory.h"

namespace turmericdyke {

namespace internal {
namespace {

/// As long as a heartbeat interval of the log.
constexpr absl::Duration SlowTurn = absl::Milliseconds(100);

} // namespace
} // namespace internal

CoreDriver::CoreDriver(ControlCore &Core, DataDirectory *Directory,
                       Deliver OnOutput)
    : m_core(Core), m_directory(Directory), m_deliver(std::move(OnOutput)) {}

void CoreDriver::processActions() {
  Instant Started = monotonicNow();
  AppliedEntries Applied;
  m_persisting = absl::ZeroDuration();
  // A written snapshot can produce new actions, as the leader may then have to
  // send it to a follower. They must be carried out before the next message is
  // handled.
  do {
    while (m_core.hasActions())
      persistActions();
    ControlOutput Output = m_core.takeOutput();
    Applied.m_entries += Output.m_applied.m_entries;
    Applied.m_bytes += Output.m_applied.m_bytes;
    std::optional<Snapshot> Snapshot = std::exchange(Output.m_snapshot, {});
    m_deliver(std::move(Output));
    if (Snapshot)
      writeSnapshot(*Snapshot);
  } while (m_core.hasActions());
  logIfSlow(monotonicNow() - Started, Applied);
}

void CoreDriver::logIfSlow(absl::Duration Took,
                           const AppliedEntries &Applied) const {
  if (Took < internal::SlowTurn)
    return;
  LogLine(LogLevel::Warning, "log_turn_slow")
      .field("ms", absl::ToInt64Milliseconds(Took))
      .field("persist_ms", absl::ToInt64Milliseconds(m_persisting))
      .field("applied_entries", Applied.m_entries)
      .field("applied_bytes", Applied.m_bytes)
      .field("term", m_core.raft().term())
      .field("leads", m_core.raft().isLeader())
      .field("commit", m_core.raft().commitIndex())
      .field("waiting", m_core.waitingEntries());
}

void CoreDriver::persistActions() {
  if (m_directory != nullptr && m_core.storageActions().needsSync()) {
    Instant Started = monotonicNow();
    auto Written = m_directory->persist(m_core.storageActions());
    m_persisting += monotonicNow() - Started;
    if (!Written)
      return fail("storage_failed", Written.error().m_message);
  }
  m_core.onActionsPersisted(monotonicNow());
}

void CoreDriver::writeSnapshot(const Snapshot &Value) {
  if (m_directory != nullptr) {
    auto Written = m_directory->writeSnapshot(Value);
    if (!Written)
      return fail("snapshot_failed", Written.error().m_message);
  }
  m_core.snapshotWritten(Value);
  LogLine(LogLevel::Info, "snapshot_written")
      .field("index", Value.m_index)
      .field("bytes", Value.m_data.size());
}

void CoreDriver::fail(std::string_view Event, std::string_view Reason) {
  LogLine(LogLevel::Error, Event).field("reason", Reason);
  m_storageFailed = true;
  m_core.storageFailed();
}

} // namespace turmericdyke
