#include "turmericdyke/src/Node/CoreCodec.h"

#include <nlohmann/json.hpp>

#include "turmericdyke/src/Fleet/JsonReader.h"
#include "turmericdyke/src/Peer/RaftCodec.h"

namespace turmericdyke {

namespace internal {
namespace {

using Json = nlohmann::json;

EncodedMessage encodeMessage(const RaftMessage &Message) {
  return {PeerMessageKind::Raft, encode(Message)};
}

EncodedMessage encodeMessage(const ReadLeaseRequest &Request) {
  LeaseRequest Wire{Request.m_node, Request.m_incarnation,
                    Request.m_sentAtMicros};
  return {PeerMessageKind::LeaseRequest, encode(Wire)};
}

EncodedMessage encodeMessage(const ReadLeaseGrant &Grant) {
  LeaseGrant Wire{Grant.m_term, Grant.m_incarnation, Grant.m_sentAtMicros,
                  Grant.m_commitIndex};
  return {PeerMessageKind::LeaseGrant, encode(Wire)};
}

EncodedMessage encodeMessage(const Propose &Message) {
  return {PeerMessageKind::Propose, encode(Message)};
}

EncodedMessage encodeMessage(const ProposeResult &Message) {
  return {PeerMessageKind::ProposeResult, encode(Message)};
}

EncodedMessage encodeMessage(const BootstrapMessage &Message) {
  Json Value = {{"identity", Message.m_identity},
                {"formed", Message.m_formed},
                {"voters", toJson(Message.m_voters)}};
  std::string Bytes;
  Json::to_cbor(Value, Bytes);
  return {PeerMessageKind::Bootstrap, std::move(Bytes)};
}

EncodedMessage encodeMessage(const SwimMessage &Message) {
  return {PeerMessageKind::Swim, encode(Message)};
}

EncodedMessage encodeMessage(const TargetDigest &Message) {
  return {PeerMessageKind::TargetDigest, encode(Message)};
}

EncodedMessage encodeMessage(const QuotaRequest &Message) {
  return {PeerMessageKind::QuotaRequest, encode(Message)};
}

EncodedMessage encodeMessage(const QuotaGrant &Message) {
  return {PeerMessageKind::QuotaGrant, encode(Message)};
}

/// Converts a decoded message to the variant.
template <class Message>
Result<CoreMessage, PeerError> toCoreMessage(Result<Message, PeerError> Read) {
  if (!Read)
    return failure(Read.error());
  return CoreMessage(std::move(Read).value());
}

Result<CoreMessage, PeerError> readLeaseRequest(std::string_view Bytes) {
  Result<LeaseRequest, PeerError> Read = decodeLeaseRequest(Bytes);
  if (!Read)
    return failure(Read.error());
  const LeaseRequest &Wire = Read.value();
  return CoreMessage(
      ReadLeaseRequest{Wire.m_node, Wire.m_nonce, Wire.m_sentAtUs});
}

Result<CoreMessage, PeerError> readLeaseGrant(std::string_view Bytes) {
  Result<LeaseGrant, PeerError> Read = decodeLeaseGrant(Bytes);
  if (!Read)
    return failure(Read.error());
  const LeaseGrant &Wire = Read.value();
  ReadLeaseGrant Grant;
  Grant.m_incarnation = Wire.m_nonce;
  Grant.m_sentAtMicros = Wire.m_sentAtUs;
  Grant.m_term = Wire.m_term;
  Grant.m_commitIndex = Wire.m_commitIndex;
  return CoreMessage(Grant);
}

Result<CoreMessage, PeerError> readBootstrap(std::string_view Bytes) {
  Json Value = Json::from_cbor(Bytes.begin(), Bytes.end(), true, false);
  BootstrapMessage Message;
  JsonReader Reader(Value);
  Reader.text("identity", Message.m_identity).flag("formed", Message.m_formed);
  if (const Json *Voters = Reader.list("voters")) {
    Result<VoterSet, PeerError> Read = parseVoterSet(*Voters);
    if (Read)
      Message.m_voters = std::move(Read).value();
    else
      Reader.fail("voters", Read.error().m_message);
  }
  if (Reader.error())
    return failure(
        PeerError{PeerErrorCode::Malformed,
                  Reader.error()->m_field + " " + Reader.error()->m_message});
  return CoreMessage(std::move(Message));
}

} // namespace
} // namespace internal

EncodedMessage encodeCoreMessage(const CoreMessage &Message) {
  return std::visit(
      [](const auto &Kind) { return internal::encodeMessage(Kind); }, Message);
}

Result<CoreMessage, PeerError> decodeCoreMessage(PeerMessageKind Kind,
                                                 std::string_view Bytes) {
  switch (Kind) {
  case PeerMessageKind::Raft:
    return internal::toCoreMessage(decodeRaftMessage(Bytes));
  case PeerMessageKind::LeaseRequest:
    return internal::readLeaseRequest(Bytes);
  case PeerMessageKind::LeaseGrant:
    return internal::readLeaseGrant(Bytes);
  case PeerMessageKind::Propose:
    return internal::toCoreMessage(decodePropose(Bytes));
  case PeerMessageKind::ProposeResult:
    return internal::toCoreMessage(decodeProposeResult(Bytes));
  case PeerMessageKind::Bootstrap:
    return internal::readBootstrap(Bytes);
  case PeerMessageKind::Swim:
    return internal::toCoreMessage(decodeSwimMessage(Bytes));
  case PeerMessageKind::QuotaRequest:
    return internal::toCoreMessage(decodeQuotaRequest(Bytes));
  case PeerMessageKind::QuotaGrant:
    return internal::toCoreMessage(decodeQuotaGrant(Bytes));
  case PeerMessageKind::TargetDigest:
    return internal::toCoreMessage(decodeTargetDigest(Bytes));
  default:
    return failure(PeerError{PeerErrorCode::Malformed,
                             "is not a kind of control message"});
  }
}

} // namespace turmericdyke
