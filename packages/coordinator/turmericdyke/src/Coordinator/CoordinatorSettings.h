#pragma once

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// Validated settings of a coordinator.
struct CoordinatorSettings {
  /// Name in logs.
  std::string m_name;
  FailureDomainId m_failureDomain;
  /// Failure domains that exist even if no server or coordinator reports them.
  std::vector<FailureDomainId> m_failureDomains;
  /// IP:port for operators and for servers that announce themselves. All
  /// coordinators use the same port.
  std::string m_controlAddress;
  /// IP:port for metrics scrapes.
  std::string m_metricsAddress;
  /// IP:port for other nodes; also this node's identifier among them.
  std::string m_peerAddress;
  std::string m_clusterSecret;
  /// Peer addresses of coordinators.
  std::vector<NodeId> m_seeds;
  std::string m_dataDirectory;
  /// Memory that the process may use, in bytes.
  std::size_t m_maxMemory = std::size_t{256} << 20;
  /// The whole system starts for the first time. Otherwise an empty data
  /// directory means that its data were lost.
  bool m_firstStart = false;
  /// Number of hosts that may be lost at the same time.
  std::size_t m_toleratedLosses = 1;
  /// How long after its start a coordinator that replaces another one may take
  /// until the cluster bears all losses again.
  absl::Duration m_catchUp = absl::Seconds(4);
  absl::Duration m_stopGrace = absl::Seconds(8);
  /// How long a head that has lost a member goes on before it gives up.
  absl::Duration m_headStall = absl::Seconds(4);
  /// A cold server may get, in any second, this multiple of the rate that it
  /// can take, and `m_coldSlack` requests. Without a stated bound it gets no
  /// more than that rate.
  double m_coldOverage = 1;
  double m_coldSlack = 0;
};

} // namespace turmericdyke
