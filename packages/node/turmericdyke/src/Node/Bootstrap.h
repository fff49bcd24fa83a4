#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Node/CoreMessage.h"

namespace turmericdyke {

/// Agrees on the first voter set. Every initial voter starts with an empty data
/// directory and sends its identity to the others. Once it knows all identities
/// it proposes the set of them, and starts with that set when all others
/// propose the same one. This way, replacing a data directory during the
/// bootstrap cannot form two clusters. If another voter already belongs to a
/// cluster, this node adopts that voter set when it contains this node's
/// identity; an identity with an empty directory has never voted. Otherwise
/// this node has lost its directory and joins as a learner.
class Bootstrap {
public:
  /// With `MayForm` false, the node joins an existing cluster. It does not wait
  /// for a voter to confirm that one exists, because all that it knows may be
  /// lost. An identity with an empty directory has never voted, so the node may
  /// take the log from any leader that sends it.
  Bootstrap(NodeId Self, std::string Identity, std::vector<NodeId> Voters,
            bool MayForm = true);

  /// Returns the messages to send; they are sent every 200 ms.
  std::vector<AddressedMessage> tick(Instant Now);
  void receive(const NodeId &From, const BootstrapMessage &Message);

  /// The voter set to start with, once it is agreed.
  const std::optional<VoterSet> &voters() const { return m_agreedVoters; }
  /// Whether the node starts as a learner of an existing cluster.
  bool mustJoin() const { return m_mustJoin; }

private:
  void propose();
  void adoptIfAgreed();

  NodeId m_self;
  std::string m_identity;
  std::vector<NodeId> m_voters;
  std::map<NodeId, std::string> m_identities;
  std::map<NodeId, VoterSet> m_proposals;
  VoterSet m_proposal;
  Instant m_nextSend = absl::InfinitePast();
  std::optional<VoterSet> m_agreedVoters;
  bool m_mustJoin;
};

} // namespace turmericdyke
