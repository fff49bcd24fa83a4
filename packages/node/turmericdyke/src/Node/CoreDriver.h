#pragma once

#include <functional>
#include <string_view>

#include "turmericdyke/src/Node/ControlCore.h"

namespace turmericdyke {

class DataDirectory;

/// Performs the turns of a `ControlCore`: persists what the core wants
/// persisted, then hands on what it decided.
class CoreDriver {
public:
  /// Takes messages, completions and events of a turn.
  using Deliver = std::function<void(ControlOutput)>;

  /// `Directory` is null on a node without durable state. All must outlive the
  /// driver.
  CoreDriver(ControlCore &Core, DataDirectory *Directory, Deliver OnOutput);

  /// Call after each event and each tick of the core.
  void turn();
  /// Whether a write failed; the node takes no part in decisions any more.
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
