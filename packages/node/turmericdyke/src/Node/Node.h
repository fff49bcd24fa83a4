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

/// A running node: the control side and the ports for callers, targets and
/// operators.
class Node {
public:
  /// Opens the data directory and all ports.
  static Result<std::unique_ptr<Node>, NodeError> start(Settings Checked);

  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// Stops gracefully: not ready at once, serves what still arrives within the
  /// balancer's notice and what is in flight, then hands leadership over.
  /// `ShouldHurry` waits for at most the given time and tells whether to cut
  /// the wait short. Returns the number of requests that were cut off.
  std::int64_t drain(const std::function<bool(absl::Duration)> &ShouldHurry);

  EdgeServices &services() { return m_services; }
  ControlLoop &control() { return m_control; }
  int callerPort() const { return m_callers.port(); }
  int targetPort() const { return m_targets.port(); }
  int operatorPort() const { return m_operators.port(); }

private:
  Node(Settings Checked, std::optional<DataDirectory> Directory);
  Result<void, NodeError> open();

  Settings m_settings;
  EdgeServices m_services;
  ControlLoop m_control;
  CallerServer m_callers;
  ControlServer m_targets;
  ControlServer m_operators;
};

} // namespace turmericdyke
