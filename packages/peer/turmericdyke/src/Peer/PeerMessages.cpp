#include "turmericdyke/src/Peer/PeerMessages.h"

#include <fmt/format.h>

#include "turmericdyke/src/Fleet/JsonReader.h"
#include "turmericdyke/src/Peer/Cbor.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr std::string_view KindNames[] = {
    "hello",        "raft",          "lease_request",
    "lease_grant",  "propose",       "propose_result",
    "swim",         "target_digest", "quota_request",
    "quota_grant",  "bootstrap",     "roster",
    "feed_request", "feed_update",   "directory_update",
    "announcements"};
static_assert(std::size(KindNames) == PeerMessageKinds);

constexpr std::string_view StatusNames[] = {"committed", "not_leader",
                                            "refused", "unknown"};

/// A declaration is the largest command; see section 5.2.
constexpr std::size_t MaxCommandBytes = 4 << 20;

PeerError malformed(const FleetError &Error) {
  return {PeerErrorCode::Malformed,
          fmt::format("{} {}", Error.m_field, Error.m_message)};
}

template <class Message>
Result<Message, PeerError> finish(const JsonReader &Reader, Message &Read) {
  if (Reader.error())
    return failure(malformed(*Reader.error()));
  return std::move(Read);
}

void readBytes(const nlohmann::json &Object, const char *Field,
               std::string &Value, JsonReader &Reader) {
  std::optional<std::string> Bytes = bytesField(Object, Field, MaxCommandBytes);
  if (Bytes)
    Value = std::move(*Bytes);
  else
    Reader.fail(Field, "is not a byte string of at most 4 MiB");
}

template <class Message, class Parse>
Result<Message, PeerError> decodeFleet(std::string_view Bytes, Parse Parser) {
  Result<nlohmann::json, PeerError> Value = fromCbor(Bytes);
  if (!Value)
    return failure(Value.error());
  Result<Message, FleetError> Read = Parser(Value.value());
  if (!Read)
    return failure(malformed(Read.error()));
  return std::move(Read.value());
}

} // namespace
} // namespace internal

std::string_view nameOf(PeerMessageKind Kind) {
  return internal::KindNames[static_cast<std::size_t>(Kind)];
}

std::optional<PeerMessageKind> parsePeerMessageKind(std::string_view Name) {
  for (std::size_t Index = 0; Index < PeerMessageKinds; ++Index)
    if (internal::KindNames[Index] == Name)
      return static_cast<PeerMessageKind>(Index);
  return std::nullopt;
}

std::string encode(const LeaseRequest &Message) {
  return internal::toCbor({{"node", Message.m_node.str()},
                           {"nonce", Message.m_nonce},
                           {"sent_at_us", Message.m_sentAtUs}});
}

std::string encode(const LeaseGrant &Message) {
  return internal::toCbor({{"term", Message.m_term},
                           {"nonce", Message.m_nonce},
                           {"sent_at_us", Message.m_sentAtUs},
                           {"commit_index", Message.m_commitIndex}});
}

std::string encode(const Propose &Message) {
  return internal::toCbor(
      {{"node", Message.m_node.str()},
       {"correlation", Message.m_correlation},
       {"command", internal::bytesValue(Message.m_command)}});
}

std::string encode(const ProposeResult &Message) {
  std::size_t Status = static_cast<std::size_t>(Message.m_status);
  return internal::toCbor({{"correlation", Message.m_correlation},
                           {"status", internal::StatusNames[Status]},
                           {"index", Message.m_index},
                           {"term", Message.m_term},
                           {"result", internal::bytesValue(Message.m_result)},
                           {"leader", Message.m_leaderHint.str()}});
}

std::string encode(const SwimMessage &Message) {
  return internal::toCbor(toJson(Message));
}

std::string encode(const TargetDigest &Message) {
  return internal::toCbor(toJson(Message));
}

std::string encode(const QuotaRequest &Message) {
  return internal::toCbor(toJson(Message));
}

std::string encode(const QuotaGrant &Message) {
  return internal::toCbor(toJson(Message));
}

std::string encode(const RosterMessage &Message) {
  return internal::toCbor(toJson(Message));
}

std::string encode(const FeedRequest &Message) {
  return internal::toCbor(toJson(Message));
}

std::string encode(const FeedUpdate &Message) {
  return internal::toCbor(toJson(Message));
}

std::string encode(const DirectoryUpdate &Message) {
  return internal::toCbor(toJson(Message));
}

std::string encode(const AnnouncementBatch &Message) {
  return internal::toCbor(toJson(Message));
}

Result<LeaseRequest, PeerError> decodeLeaseRequest(std::string_view Bytes) {
  Result<nlohmann::json, PeerError> Value = internal::fromCbor(Bytes);
  if (!Value)
    return failure(Value.error());
  LeaseRequest Read;
  internal::JsonReader Reader(Value.value());
  Reader.id("node", Read.m_node, true)
      .number("nonce", Read.m_nonce)
      .number("sent_at_us", Read.m_sentAtUs);
  return internal::finish(Reader, Read);
}

Result<LeaseGrant, PeerError> decodeLeaseGrant(std::string_view Bytes) {
  Result<nlohmann::json, PeerError> Value = internal::fromCbor(Bytes);
  if (!Value)
    return failure(Value.error());
  LeaseGrant Read;
  internal::JsonReader Reader(Value.value());
  Reader.number("term", Read.m_term)
      .number("nonce", Read.m_nonce)
      .number("sent_at_us", Read.m_sentAtUs)
      .number("commit_index", Read.m_commitIndex);
  return internal::finish(Reader, Read);
}

Result<Propose, PeerError> decodePropose(std::string_view Bytes) {
  Result<nlohmann::json, PeerError> Value = internal::fromCbor(Bytes);
  if (!Value)
    return failure(Value.error());
  Propose Read;
  internal::JsonReader Reader(Value.value());
  Reader.id("node", Read.m_node, true)
      .number("correlation", Read.m_correlation);
  internal::readBytes(Value.value(), "command", Read.m_command, Reader);
  return internal::finish(Reader, Read);
}

Result<ProposeResult, PeerError> decodeProposeResult(std::string_view Bytes) {
  Result<nlohmann::json, PeerError> Value = internal::fromCbor(Bytes);
  if (!Value)
    return failure(Value.error());
  ProposeResult Read;
  internal::JsonReader Reader(Value.value());
  Reader.number("correlation", Read.m_correlation)
      .choice("status", Read.m_status, internal::StatusNames)
      .number("index", Read.m_index)
      .number("term", Read.m_term)
      .id("leader", Read.m_leaderHint);
  internal::readBytes(Value.value(), "result", Read.m_result, Reader);
  return internal::finish(Reader, Read);
}

Result<SwimMessage, PeerError> decodeSwimMessage(std::string_view Bytes) {
  return internal::decodeFleet<SwimMessage>(Bytes, parseSwimMessage);
}

Result<TargetDigest, PeerError> decodeTargetDigest(std::string_view Bytes) {
  return internal::decodeFleet<TargetDigest>(Bytes, parseTargetDigest);
}

Result<QuotaRequest, PeerError> decodeQuotaRequest(std::string_view Bytes) {
  return internal::decodeFleet<QuotaRequest>(Bytes, parseQuotaRequest);
}

Result<QuotaGrant, PeerError> decodeQuotaGrant(std::string_view Bytes) {
  return internal::decodeFleet<QuotaGrant>(Bytes, parseQuotaGrant);
}

Result<RosterMessage, PeerError> decodeRoster(std::string_view Bytes) {
  return internal::decodeFleet<RosterMessage>(Bytes, parseRosterMessage);
}

Result<FeedRequest, PeerError> decodeFeedRequest(std::string_view Bytes) {
  return internal::decodeFleet<FeedRequest>(Bytes, parseFeedRequest);
}

Result<FeedUpdate, PeerError> decodeFeedUpdate(std::string_view Bytes) {
  return internal::decodeFleet<FeedUpdate>(Bytes, parseFeedUpdate);
}

Result<DirectoryUpdate, PeerError>
decodeDirectoryUpdate(std::string_view Bytes) {
  return internal::decodeFleet<DirectoryUpdate>(Bytes, parseDirectoryUpdate);
}

Result<AnnouncementBatch, PeerError>
decodeAnnouncementBatch(std::string_view Bytes) {
  return internal::decodeFleet<AnnouncementBatch>(Bytes,
                                                  parseAnnouncementBatch);
}

} // namespace turmericdyke
