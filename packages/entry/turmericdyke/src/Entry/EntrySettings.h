#pragma once

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Serving/SharedRetryBudget.h"

namespace turmericdyke {

/// Validated settings of an entry node.
struct EntrySettings {
  /// Name in logs.
  std::string m_name;
  FailureDomainId m_failureDomain;
  /// IP:port for callers, for readiness probes of the load balancer, and for
  /// metrics scrapes.
  std::string m_callerAddress;
  std::string m_readinessAddress;
  std::string m_metricsAddress;
  /// IP:port for other nodes; also this node's identifier among them.
  std::string m_peerAddress;
  /// IP:port where this node takes requests of entry nodes that are cut off
  /// from targets; empty if it takes none.
  std::string m_relayAddress;
  std::string m_clusterSecret;
  /// Peer addresses of coordinators.
  std::vector<NodeId> m_seeds;
  /// Time from the stop signal until the process is killed.
  absl::Duration m_stopGrace = absl::Seconds(8);
  /// Limit of the process's open descriptors.
  std::size_t m_maxDescriptors = 4096;
  /// Memory that the process may use, in bytes.
  std::size_t m_maxMemory = std::size_t{256} << 20;
  SharedRetryBudgetOptions m_retryBudget;
};

} // namespace turmericdyke
