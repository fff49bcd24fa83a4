#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Fleet/DirectoryMessage.h"
#include "turmericdyke/src/Fleet/FeedMessage.h"
#include "turmericdyke/src/Fleet/QuotaMessage.h"
#include "turmericdyke/src/Fleet/SwimMessage.h"
#include "turmericdyke/src/Fleet/TargetDigest.h"
#include "turmericdyke/src/Peer/PeerError.h"

namespace turmericdyke {

enum class PeerMessageKind {
  Hello,
  Raft,
  LeaseRequest,
  LeaseGrant,
  Propose,
  ProposeResult,
  Swim,
  TargetDigest,
  QuotaRequest,
  QuotaGrant,
  Bootstrap,
  Roster,
  FeedRequest,
  FeedUpdate,
  DirectoryUpdate,
  AnnouncementBatch,
};

inline constexpr std::size_t PeerMessageKinds = 16;

/// The name on the wire, the last part of the path `/peer/v1/KIND`.
std::string_view nameOf(PeerMessageKind Kind);
std::optional<PeerMessageKind> parsePeerMessageKind(std::string_view Name);

/// A node asks the leader for a read lease. The leader echoes nonce and send
/// time, so that the node can compute the start of the lease on its own clock.
struct LeaseRequest {
  NodeId m_node;
  std::uint64_t m_nonce = 0;
  std::int64_t m_sentAtUs = 0;
};

struct LeaseGrant {
  std::uint64_t m_term = 0;
  std::uint64_t m_nonce = 0;
  std::int64_t m_sentAtUs = 0;
  std::uint64_t m_commitIndex = 0;
};

/// A command for the leader to propose; the result names the same correlation
/// identifier.
struct Propose {
  NodeId m_node;
  std::uint64_t m_correlation = 0;
  std::string m_command;
};

/// `NotLeader` and `Refused` mean that the command was not proposed;
/// `Unknown` that it was proposed and may still be committed.
enum class ProposeStatus { Committed, NotLeader, Refused, Unknown };

struct ProposeResult {
  std::uint64_t m_correlation = 0;
  ProposeStatus m_status = ProposeStatus::Refused;
  std::uint64_t m_index = 0;
  std::uint64_t m_term = 0;
  std::string m_result;
  NodeId m_leaderHint;
};

/// The encoded forms are CBOR objects. Unknown fields are ignored on reading;
/// wrong types, more than 16 nesting levels and sizes over the limits are
/// errors.
std::string encode(const LeaseRequest &Message);
std::string encode(const LeaseGrant &Message);
std::string encode(const Propose &Message);
std::string encode(const ProposeResult &Message);
std::string encode(const SwimMessage &Message);
std::string encode(const TargetDigest &Message);
std::string encode(const QuotaRequest &Message);
std::string encode(const QuotaGrant &Message);
std::string encode(const RosterMessage &Message);
std::string encode(const FeedRequest &Message);
std::string encode(const FeedUpdate &Message);
std::string encode(const DirectoryUpdate &Message);
std::string encode(const AnnouncementBatch &Message);

Result<LeaseRequest, PeerError> decodeLeaseRequest(std::string_view Bytes);
Result<LeaseGrant, PeerError> decodeLeaseGrant(std::string_view Bytes);
Result<Propose, PeerError> decodePropose(std::string_view Bytes);
Result<ProposeResult, PeerError> decodeProposeResult(std::string_view Bytes);
Result<SwimMessage, PeerError> decodeSwimMessage(std::string_view Bytes);
Result<TargetDigest, PeerError> decodeTargetDigest(std::string_view Bytes);
Result<QuotaRequest, PeerError> decodeQuotaRequest(std::string_view Bytes);
Result<QuotaGrant, PeerError> decodeQuotaGrant(std::string_view Bytes);
Result<RosterMessage, PeerError> decodeRoster(std::string_view Bytes);
Result<FeedRequest, PeerError> decodeFeedRequest(std::string_view Bytes);
Result<FeedUpdate, PeerError> decodeFeedUpdate(std::string_view Bytes);
Result<DirectoryUpdate, PeerError>
decodeDirectoryUpdate(std::string_view Bytes);
Result<AnnouncementBatch, PeerError>
decodeAnnouncementBatch(std::string_view Bytes);

} // namespace turmericdyke
