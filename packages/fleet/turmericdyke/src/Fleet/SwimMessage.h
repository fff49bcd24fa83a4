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

/// What a node holds another node to be. At equal incarnations a later
/// enumerator overrides an earlier one.
enum class NodeState { Alive, Suspect, Dead, Left };

/// One piggybacked change of a node's state.
struct NodeUpdate {
  NodeId m_node;
  /// IP:port where the node listens for peers.
  std::string m_address;
  std::uint64_t m_incarnation = 0;
  NodeState m_state = NodeState::Alive;

  friend bool operator==(const NodeUpdate &, const NodeUpdate &) = default;
};

/// `PingRequest` asks a third node to probe `m_subject`; it answers `Ack` or,
/// if the subject stays silent, `Nack`. `SyncRequest` carries a hash of the
/// sender's member table; a node with another table answers `SyncReply`.
enum class SwimKind { Ping, PingRequest, Ack, Nack, SyncRequest, SyncReply };

/// A message of the membership protocol. The sender's identity counts as an
/// update that the sender is alive, or has left when `m_leaving` is set.
struct SwimMessage {
  SwimKind m_kind = SwimKind::Ping;
  NodeId m_from;
  std::string m_address;
  std::uint64_t m_incarnation = 0;
  bool m_leaving = false;
  /// Number of the probe, chosen by the prober and echoed in the answer.
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

/// The JSON form has short keys because two such messages are sent per node
/// and period.
nlohmann::json toJson(const SwimMessage &Message);

/// Reads a message. Unknown fields are ignored; wrong types, a missing sender,
/// text over 256 bytes and more than 1024 updates are errors.
Result<SwimMessage, FleetError> parseSwimMessage(const nlohmann::json &Value);

} // namespace turmericdyke
