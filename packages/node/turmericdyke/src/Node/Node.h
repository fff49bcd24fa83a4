#pragma once

#include <functional>
#include <memory>
#include <string>

#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Edge/CallerServer.h"
#include "turmericdyke/src/Edge/ControlServer.h"
#include "turmericdyke/src/Edge/EdgeServices.h"
#include "turmericdyke/src/Node/ControlLoop.h"
#include "turmericdyke/src/Node/Settings.h"

namespace turmericdyke {

/// Why a node could not start.
struct NodeError {
  std::string m_message;
};

/// A running node: the control plane and the ports for callers, targets and
/// operators.
class Node {
public:
  /// Opens the data directory and all ports.
  static Result<std::unique_ptr<Node>, NodeError> start(Settings NodeSettings);

  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// Stops gracefully: reports not ready at once, serves requests that arrive
  /// during the load balancer's notice period and those in flight, then
  /// transfers leadership. `WaitForAbort` blocks for at most the given time and
  /// returns whether to stop without waiting for requests any longer. Returns
  /// the number of requests that were aborted.
  std::int64_t drain(const std::function<bool(absl::Duration)> &WaitForAbort);

  EdgeServices &services() { return m_services; }
  ControlLoop &control() { return m_control; }
  int callerPort() const { return m_callers.port(); }
  int targetPort() const { return m_targets.port(); }
  int operatorPort() const { return m_operators.port(); }

private:
  Node(Settings NodeSettings, std::optional<DataDirectory> Directory);
  Result<void, NodeError> open();

  Settings m_settings;
  EdgeServices m_services;
  ControlLoop m_control;
  CallerServer m_callers;
  ControlServer m_targets;
  ControlServer m_operators;
};

} // namespace turmericdyke
