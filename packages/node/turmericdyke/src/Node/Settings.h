#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// An IP number and a port.
struct ListenAddress {
  std::string m_host;
  int m_port = 0;

  std::string text() const;
};

/// Settings of a node after they were checked.
struct Settings {
  NodeId m_node;
  FailureDomainId m_failureDomain;
  ListenAddress m_callerAddress;
  ListenAddress m_targetAddress;
  ListenAddress m_operatorAddress;
  ListenAddress m_peerAddress;
  /// IP:port that this node tells the other nodes; empty for the address on
  /// which it listens.
  std::string m_peerAdvertisedAddress;
  /// Peer addresses of all other nodes.
  std::map<NodeId, std::string> m_peers;
  /// Nodes that are voters when the cluster is formed for the first time.
  std::vector<NodeId> m_initialVoters;
  /// Empty on a learner.
  std::string m_dataDirectory;
  std::string m_clusterSecret;
  std::string m_operatorKeyHash;
  std::string m_targetKeyHash;
  absl::Duration m_balancerNotice;
  absl::Duration m_drainLimit;
  std::size_t m_maxCallerConnections = 0;
  std::size_t m_maxBodyBytes = 0;

  /// A node without peers forms a cluster of its own.
  bool alone() const { return m_peers.empty(); }
};

/// Why settings were refused.
struct SettingsError {
  std::string m_setting;
  std::string m_message;
};

/// Sets each flag of this program that has an environment variable
/// `TURMERICDYKE_` + its name in upper case. Call before the command line is
/// parsed, which goes first.
Result<void, SettingsError> readEnvironment();

/// Reads and checks all flags. Opens no port and writes nothing.
Result<Settings, SettingsError> parseSettings();

/// Reads `IP:port`. The host must be an IP number.
Result<ListenAddress, SettingsError> parseAddress(std::string_view Setting,
                                                  std::string_view Text);

} // namespace turmericdyke
