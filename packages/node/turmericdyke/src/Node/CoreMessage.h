#pragma once

#include <string>
#include <variant>

#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Consensus/RaftMessage.h"
#include "turmericdyke/src/Control/ReadLease.h"
#include "turmericdyke/src/Fleet/SwimMessage.h"
#include "turmericdyke/src/Fleet/TargetDigest.h"
#include "turmericdyke/src/Peer/PeerMessages.h"

namespace turmericdyke {

/// Sent between initial voters until the cluster is formed. Holds the identity
/// of the sender's data directory, and the voter set once the sender has one.
struct BootstrapMessage {
  std::string m_identity;
  /// Whether the sender has a log or has voted.
  bool m_formed = false;
  /// The voter set in the log. Without a log, the set that the sender proposes,
  /// which is empty until it knows all identities.
  VoterSet m_voters;
};

/// A message between the control planes of two nodes.
using CoreMessage =
    std::variant<RaftMessage, ReadLeaseRequest, ReadLeaseGrant, Propose,
                 ProposeResult, BootstrapMessage, SwimMessage, TargetDigest,
                 QuotaRequest, QuotaGrant>;

struct AddressedMessage {
  NodeId m_to;
  /// IP:port, used if the node's name is not known.
  std::string m_address;
  CoreMessage m_message;
};

} // namespace turmericdyke
