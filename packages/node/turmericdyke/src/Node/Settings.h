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

/// An IPv4 address and a port.
struct ListenAddress {
  std::string m_host;
  int m_port = 0;

  std::string text() const;
};

/// The validated settings of a node.
struct Settings {
  NodeId m_node;
  FailureDomainId m_failureDomain;
  ListenAddress m_callerAddress;
  ListenAddress m_targetAddress;
  ListenAddress m_operatorAddress;
  ListenAddress m_peerAddress;
  /// IP:port that this node advertises to the other nodes; if empty, the
  /// address on which it listens.
  std::string m_peerAdvertisedAddress;
  /// Peer addresses of all other nodes.
  std::map<NodeId, std::string> m_peers;
  /// Nodes that vote when the cluster is first formed.
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

  /// Whether this node has no peers and forms a cluster by itself.
  bool isSingleNode() const { return m_peers.empty(); }
};

/// Which setting is invalid, and why.
struct SettingsError {
  std::string m_setting;
  std::string m_message;
};

/// Sets each flag from the environment variable `TURMERICDYKE_` + its name in
/// upper case, if there is one. Must be called before the command line is
/// parsed, which takes precedence.
Result<void, SettingsError> readEnvironment();

/// Reads and validates all flags. Opens no port and writes no file.
Result<Settings, SettingsError> parseSettings();

/// Parses `IP:port`. The host must be an IPv4 address.
Result<ListenAddress, SettingsError> parseAddress(std::string_view Setting,
                                                  std::string_view Text);

} // namespace turmericdyke
