#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Fleet/FleetError.h"

namespace turmericdyke {

/// State of a node as seen by another node. At equal incarnations a later
/// enumerator takes precedence over an earlier one.
enum class NodeState { Alive, Suspect, Dead, Left };

/// A change of a node's state, piggybacked on a message.
struct NodeUpdate {
  NodeId m_node;
  /// IP:port where the node listens for peers.
  std::string m_address;
  std::uint64_t m_incarnation = 0;
  NodeState m_state = NodeState::Alive;

  friend bool operator==(const NodeUpdate &, const NodeUpdate &) = default;
};

/// `PingRequest` asks a third node to probe `m_subject`; that node answers
/// `Ack`, or `Nack` if the subject does not respond. `SyncRequest` carries a
/// hash of the sender's member table; a node whose table differs answers
/// `SyncReply`.
enum class SwimKind { Ping, PingRequest, Ack, Nack, SyncRequest, SyncReply };

/// A message of the membership protocol. It implies an update about its sender:
/// alive, or left if `m_leaving` is set.
struct SwimMessage {
  SwimKind m_kind = SwimKind::Ping;
  NodeId m_from;
  std::string m_address;
  std::uint64_t m_incarnation = 0;
  bool m_leaving = false;
  /// Sequence number of the probe, chosen by the prober and echoed in the
  /// reply.
  std::uint64_t m_sequence = 0;
  /// The node to probe (`PingRequest`) or that was probed (`Ack`, `Nack`).
  NodeId m_subject;
  std::string m_subjectAddress;
  /// Hash of the sender's member table, for `SyncRequest`.
  std::uint64_t m_tableHash = 0;
  /// Whether a `SyncReply` is to be answered by another.
  bool m_wantsReply = false;
  std::vector<NodeUpdate> m_updates;

  friend bool operator==(const SwimMessage &, const SwimMessage &) = default;
};

std::string_view nameOf(NodeState State);

/// The JSON form has short keys because each node sends two such messages per
/// protocol period.
nlohmann::json toJson(const SwimMessage &Message);

/// Reads a message. Unknown fields are ignored; wrong types, a missing sender,
/// text over 256 bytes and more than 1024 updates are errors.
Result<SwimMessage, FleetError> parseSwimMessage(const nlohmann::json &Value);

} // namespace turmericdyke
