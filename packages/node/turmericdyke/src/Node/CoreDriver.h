#pragma once

#include <functional>
#include <string_view>

#include "absl/time/time.h"
#include "turmericdyke/src/Node/ControlCore.h"

namespace turmericdyke {

class DataDirectory;

/// Carries out the actions of a `ControlCore`: persists its storage actions,
/// then passes its output to a callback.
class CoreDriver {
public:
  /// Receives the messages, completions and events.
  using Deliver = std::function<void(ControlOutput)>;

  /// `Directory` is null on a node without durable state. `Core` and
  /// `Directory` must outlive the driver.
  CoreDriver(ControlCore &Core, DataDirectory *Directory, Deliver OnOutput);

  /// Must be called after each event and each tick of the core.
  void processActions();
  /// Whether a write failed. The node then no longer takes part in consensus.
  bool storageFailed() const { return m_storageFailed; }

private:
  void persistActions();
  void writeSnapshot(const Snapshot &Value);
  void fail(std::string_view Event, std::string_view Reason);
  /// Logs a turn that kept the caller from sending heartbeats, and what it was
  /// spent on.
  void logIfSlow(absl::Duration Took, const AppliedEntries &Applied) const;

  ControlCore &m_core;
  DataDirectory *m_directory;
  Deliver m_deliver;
  /// Time spent in the data directory in this turn.
  absl::Duration m_persisting = absl::ZeroDuration();
  bool m_storageFailed = false;
};

} // namespace turmericdyke
