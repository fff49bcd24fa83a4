#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "absl/types/span.h"
#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Fleet/ColdGrant.h"
#include "turmericdyke/src/Fleet/CrashReport.h"
#include "turmericdyke/src/Fleet/FleetError.h"
#include "turmericdyke/src/Fleet/ModelArrivals.h"
#include "turmericdyke/src/Fleet/PeerList.h"
#include "turmericdyke/src/Fleet/TargetLimit.h"

namespace turmericdyke {

/// Sent periodically between coordinators: the coordinators that the sender
/// knows.
struct RosterMessage {
  /// Where the sender runs.
  FailureDomainId m_failureDomain;
  std::vector<NodeId> m_known;
  /// The sender is about to stop; absent in messages of earlier versions.
  bool m_leaving = false;
  /// Term and sequence of the sender's copy of the server directory.
  std::uint64_t m_directoryTerm = 0;
  std::uint64_t m_directorySequence = 0;
};

/// A server that accepts requests: one of a plain service, or the head of an
/// open group.
struct ServingTarget {
  TargetId m_id;
  ServiceId m_service;
  std::string m_address;
  FailureDomainId m_failureDomain;
  /// Empty for a plain service.
  std::string m_model;
  std::int64_t m_slots = 1;
  /// Distinguishes this formation of the group, or this instance of the server,
  /// from earlier ones with the same identifier.
  std::uint64_t m_generation = 0;
  /// When the server started, in Unix milliseconds; 0 if unknown. Distinguishes
  /// it from earlier servers with the same identifier.
  std::uint64_t m_instance = 0;
  /// Requests a second that all entry nodes together may send while the server
  /// is cold; nothing if it is not known to be cold. Half of what it must not
  /// get in any second, see `coldShare`.
  std::optional<double> m_coldPerSecond = std::nullopt;
  /// The leader lends that rate by grants. A node takes an equal part of it
  /// only while it does not hear from the leader.
  bool m_coldLent = false;

  friend bool operator==(const ServingTarget &,
                         const ServingTarget &) = default;
};

/// Checks the range of each value, as `validateAnnouncement` does.
std::optional<FleetError> validateServingTarget(const ServingTarget &Value);

/// Number of requests that an entry node has running or queued at a target.
struct TargetUse {
  TargetId m_target;
  std::int64_t m_requests = 0;
};

/// Sent by an entry node to a coordinator, and by a relaying coordinator to the
/// leader: the state that it holds and the targets that it uses.
struct FeedRequest {
  NodeId m_node;
  FailureDomainId m_failureDomain;
  /// The receiver is the sender's source. Other coordinators are only asked for
  /// help and must not count the sender, or it would be counted twice.
  bool m_follows = true;
  /// The sender is a coordinator that relays the feed to entry nodes.
  bool m_relay = false;
  /// Number of entry nodes that a relay serves and that are not stopping.
  std::int64_t m_entries = 0;
  /// Send time on the sender's clock; echoed, so that the sender can bound the
  /// age of the update.
  std::int64_t m_sentAtMicros = 0;
  /// Term and sequence of the newest update it holds.
  std::uint64_t m_term = 0;
  std::uint64_t m_sequence = 0;
  /// Sequence that the entry nodes of a relay hold as well. Relays of earlier
  /// versions state none and count with their own.
  std::uint64_t m_delivered = 0;
  std::uint64_t m_routingVersion = 0;
  std::vector<TargetUse> m_uses;
  /// Requests for models since its last report.
  std::int64_t m_modelRequests = 0;
  /// The same requests by service and model. Senders of earlier versions report
  /// none, and relays of earlier versions pass none on: requests that are
  /// missing here are of unknown models.
  std::vector<ModelArrivals> m_arrivals;
  /// Targets whose streams have stalled.
  std::vector<TargetId> m_suspects;
  /// Targets whose streams have sent something since the last request.
  std::vector<TargetId> m_progressing;
  /// Version of the suspect lists it holds.
  std::uint64_t m_suspectsVersion = 0;
  /// Attempts that broke off since its last report, and how far requests with
  /// suspect keys have got. Earlier versions state no number of events, and
  /// report no attempt that had got past its start.
  std::vector<CrashReport> m_crashes;
  std::vector<KeyProgress> m_progress;
  /// Version of the target limits it holds, and what targets have stated to it
  /// otherwise.
  std::uint64_t m_limitsVersion = 0;
  std::vector<TargetLimit> m_limits;
  /// IP:port where the sender takes requests of other entry nodes. Empty if it
  /// takes none now: it stops, does not reach the targets itself, is at its
  /// limit, or is of an earlier version.
  std::string m_relayAddress;
  /// Version of the peer list it holds.
  std::uint64_t m_peersVersion = 0;
  /// The entry nodes that take requests of others and that a relay hears from
  /// itself. Set if the leader holds another version.
  std::optional<PeerList> m_offeredPeers;
  bool m_stopping = false;
};

/// Sent by a coordinator to an entry node. A coordinator that neither leads nor
/// relays only names the leader.
struct FeedUpdate {
  std::uint64_t m_term = 0;
  NodeId m_leader;
  /// The sender is the leader and holds the leader lease.
  bool m_leads = false;
  /// The sender passes on the state of the leader, which it last confirmed
  /// `m_ageMicros` ago.
  bool m_relays = false;
  std::int64_t m_ageMicros = 0;
  /// The coordinator that the receiver should send its requests to.
  NodeId m_source;
  std::vector<NodeId> m_coordinators;
  /// The send time of the request that this answers; 0 if it answers none.
  std::int64_t m_echoMicros = 0;
  /// The update turns the state at sequence `m_from` into the state at
  /// `m_sequence`; `m_from` 0 stands for the empty state.
  std::uint64_t m_from = 0;
  std::uint64_t m_sequence = 0;
  /// The leader knows all live servers: a server that it does not list has
  /// ended.
  bool m_complete = false;
  /// The sender waits until the receiver holds this update: the next request is
  /// due at once. Earlier versions send it after their usual interval.
  bool m_confirm = false;
  std::vector<ServingTarget> m_targets;
  /// Targets of a received message that were left out because they are
  /// malformed. Not sent.
  std::size_t m_malformedTargets = 0;
  std::vector<TargetId> m_removed;
  /// Requests of all entry nodes at each target, the receiver included; see
  /// `encodeUses`. Encoded once for all receivers.
  std::string m_uses;
  /// Number of entry nodes known to the leader.
  std::int64_t m_entries = 0;
  std::uint64_t m_routingVersion = 0;
  /// Compressed; set if the receiver has an older version.
  std::string m_routingDocument;
  /// Set if the receiver holds another version.
  std::optional<SuspectLists> m_suspects;
  /// Set if the receiver holds another version.
  std::optional<TargetLimitList> m_limits;
  /// Permissions for cold targets, for the receiver alone.
  std::vector<ColdGrant> m_coldGrants;
  /// Set if the receiver holds another version.
  std::optional<PeerList> m_peers;
  /// Version of the receiver's own peers that the sender holds; for a relay.
  std::uint64_t m_offeredVersion = 0;
  /// The peers that other coordinators hear from. Set for a relay that holds
  /// another version.
  std::optional<PeerList> m_peersElsewhere;
};

/// The encoded form of `FeedUpdate::m_uses`, and back. Malformed bytes and more
/// than 4096 entries are an error.
std::string encodeUses(absl::Span<const TargetUse> Uses);
Result<std::vector<TargetUse>, FleetError> decodeUses(std::string_view Bytes);

nlohmann::json toJson(const RosterMessage &Message);
nlohmann::json toJson(const FeedRequest &Message);
nlohmann::json toJson(const FeedUpdate &Message);

/// Read the messages. Unknown fields are ignored; wrong types, missing names,
/// lists of more than 4096 entries and of more than 16 peers, or 1024 between
/// coordinators, are errors. A malformed target is left out and counted, so
/// that it does not keep the others from being used.
Result<RosterMessage, FleetError>
parseRosterMessage(const nlohmann::json &Value);
Result<FeedRequest, FleetError> parseFeedRequest(const nlohmann::json &Value);
Result<FeedUpdate, FleetError> parseFeedUpdate(const nlohmann::json &Value);

} // namespace turmericdyke
