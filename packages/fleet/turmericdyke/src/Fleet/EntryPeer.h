#pragma once

#include <string>

#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// An entry node that takes requests of other entry nodes, for targets that
/// those do not reach.
struct EntryPeer {
  NodeId m_node;
  /// IP:port where the node takes such requests.
  std::string m_relayAddress;
  FailureDomainId m_failureDomain;

  friend bool operator==(const EntryPeer &, const EntryPeer &) = default;
};

} // namespace turmericdyke
