#pragma once

#include <functional>
#include <string_view>

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

  ControlCore &m_core;
  DataDirectory *m_directory;
  Deliver m_deliver;
  bool m_storageFailed = false;
};

} // namespace turmericdyke
