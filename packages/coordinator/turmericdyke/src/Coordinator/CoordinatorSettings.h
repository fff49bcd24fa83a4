#pragma once

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// Settings of a coordinator after they were checked.
struct CoordinatorSettings {
  /// Name in logs.
  std::string m_name;
  /// IP:port for operators and for servers that announce themselves. All
  /// coordinators use the same port.
  std::string m_controlAddress;
  /// IP:port for scrapes.
  std::string m_metricsAddress;
  /// IP:port for other nodes; also this node's identifier among them.
  std::string m_peerAddress;
  std::string m_clusterSecret;
  /// Peer addresses of coordinators.
  std::vector<NodeId> m_seeds;
  std::string m_dataDirectory;
  /// The whole system starts for the first time; otherwise an empty data
  /// directory was lost.
  bool m_firstStart = false;
  /// Hosts that may be lost at a time.
  std::size_t m_toleratedLosses = 1;
  absl::Duration m_stopGrace = absl::Seconds(8);
  /// How long a head whose members are gone goes on before it gives up.
  absl::Duration m_headStall = absl::Seconds(4);
};

} // namespace turmericdyke
