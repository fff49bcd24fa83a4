#pragma once

#include <cstddef>
#include <string_view>

namespace turmericdyke {

/// State of an entry node that is asked to carry another node's request.
struct CarryLoad {
  bool m_stopping = false;
  /// It is itself cut off from the targets of the service.
  bool m_cutOff = false;
  /// Its routing document is older than that by which the request was decided.
  bool m_outdated = false;
  /// Requests of other nodes that it carries now.
  std::size_t m_carried = 0;
  /// Connections of callers and of other nodes, and how many it may have.
  std::size_t m_connections = 0;
  std::size_t m_maxConnections = 0;
  /// Part of the time for which its event loop was busy lately, 0 to 1.
  double m_busyFraction = 0;
};

struct CarryOptions {
  /// Each carried request holds two connections and buffers at both ends.
  std::size_t m_maxCarried = 400;
  /// Part of the connections up to which requests are carried. The rest is for
  /// the node's own callers.
  double m_maxConnectionShare = 0.7;
  /// Above this the node's own callers wait for the processor.
  double m_maxBusyFraction = 0.85;
};

enum class CarryDecision { Carry, Stopping, CutOff, Outdated, Full };

std::string_view nameOf(CarryDecision Value);

/// Decides whether an entry node carries a request of a node that is cut off
/// from targets. When many nodes are cut off at once, the few that are left
/// must refuse at once what they cannot carry, before they fail for their own
/// callers.
CarryDecision decideCarry(const CarryLoad &Load,
                          const CarryOptions &Options = {});

} // namespace turmericdyke
