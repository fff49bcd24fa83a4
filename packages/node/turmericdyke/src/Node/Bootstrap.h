#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Node/CoreMessage.h"

namespace turmericdyke {

/// Forms the first voter set. Every initial voter starts with an empty data
/// directory and tells the others its identity. Once it knows all identities it
/// proposes their set, and starts from it when all others propose the same: a
/// directory that is replaced meanwhile cannot split the cluster in two. A
/// voter that meets one that is formed takes its set if it holds the own
/// identity, which then has never voted. Otherwise the own directory was lost,
/// and the node joins as a learner.
class Bootstrap {
public:
  /// Without `MayForm` the node only joins a cluster that exists.
  Bootstrap(NodeId Self, std::string Identity, std::vector<NodeId> Voters,
            bool MayForm = true);

  /// Messages to send, once every 200 ms.
  std::vector<AddressedMessage> tick(Instant Now);
  void receive(const NodeId &From, const BootstrapMessage &Message);

  /// The voter set to start from, once it is known.
  const std::optional<VoterSet> &voters() const { return m_result; }
  /// The cluster exists without this identity.
  bool mustJoin() const { return m_mustJoin; }

private:
  void propose();
  void conclude();

  NodeId m_self;
  std::string m_identity;
  std::vector<NodeId> m_voters;
  bool m_mayForm;
  std::map<NodeId, std::string> m_identities;
  std::map<NodeId, VoterSet> m_proposals;
  VoterSet m_proposal;
  Instant m_nextSend = absl::InfinitePast();
  std::optional<VoterSet> m_result;
  bool m_mustJoin = false;
};

} // namespace turmericdyke
