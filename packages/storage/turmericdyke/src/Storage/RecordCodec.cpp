#include "turmericdyke/src/Storage/RecordCodec.h"

#include <cassert>
#include <cstdint>
#include <limits>
#include <vector>

#include <nlohmann/json.hpp>

#include "turmericdyke/src/Base/Bytes.h"

namespace turmericdyke::internal {

using nlohmann::json;

namespace {

void appendNumber(std::uint32_t Value, std::string &Out) {
  for (int Shift = 0; Shift < 32; Shift += 8)
    Out.push_back(static_cast<char>(Value >> Shift & 0xff));
}

std::uint32_t readNumber(std::string_view Bytes) {
  std::uint32_t Value = 0;
  for (int At = 3; At >= 0; --At)
    Value = Value << 8 | static_cast<unsigned char>(Bytes[At]);
  return Value;
}

json binary(std::string_view Bytes) {
  return json::binary(std::vector<std::uint8_t>(Bytes.begin(), Bytes.end()));
}

std::string text(const json &Value) {
  const json::binary_t &Bytes = Value.get_binary();
  return {Bytes.begin(), Bytes.end()};
}

std::string encode(const json &Value) {
  std::string Bytes;
  json::to_cbor(Value, Bytes);
  return Bytes;
}

/// Calls `Read` with the array in `Payload`; nothing if it is not such an array
/// or `Read` finds another shape.
template <class Read>
auto decode(std::string_view Payload, std::size_t Fields, Read Reader)
    -> std::optional<decltype(Reader(json()))> {
  try {
    json Value = json::from_cbor(Payload);
    if (!Value.is_array() || Value.size() != Fields)
      return std::nullopt;
    return Reader(Value);
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

json votersToJson(const VoterSet &Voters) {
  json List = json::array();
  for (const Voter &Member : Voters.m_voters)
    List.push_back({binary(Member.m_node.str()), binary(Member.m_identity)});
  return List;
}

VoterSet votersFromJson(const json &List) {
  VoterSet Voters;
  for (const json &Member : List)
    Voters.m_voters.push_back({NodeId(text(Member.at(0))), text(Member.at(1))});
  return Voters;
}

} // namespace

void appendRecord(std::string_view Payload, std::string &Out) {
  assert(Payload.size() <= std::numeric_limits<std::uint32_t>::max() &&
         "a record holds less than 4 GiB");
  std::string Length;
  appendNumber(static_cast<std::uint32_t>(Payload.size()), Length);
  Out += Length;
  appendNumber(crc32c(Length), Out);
  appendNumber(crc32c(Payload), Out);
  Out += Payload;
}

ReadRecord readRecord(std::string_view Bytes) {
  if (Bytes.size() < RecordHeaderBytes)
    return {RecordStatus::Incomplete, {}};
  std::string_view Length = Bytes.substr(0, 4);
  if (readNumber(Bytes.substr(4)) != crc32c(Length))
    return {RecordStatus::Damaged, {}};
  std::string_view Payload = Bytes.substr(RecordHeaderBytes);
  if (Payload.size() < readNumber(Length))
    return {RecordStatus::Incomplete, {}};
  Payload = Payload.substr(0, readNumber(Length));
  if (readNumber(Bytes.substr(8)) != crc32c(Payload))
    return {RecordStatus::Damaged, {}};
  return {RecordStatus::Complete, Payload};
}

std::string encodeEntry(const LogEntry &Entry) {
  return encode(
      json::array({Entry.m_index, Entry.m_term, static_cast<int>(Entry.m_kind),
                   binary(Entry.m_command), votersToJson(Entry.m_voters)}));
}

std::optional<LogEntry> decodeEntry(std::string_view Payload) {
  return decode(Payload, 5, [](const json &Value) {
    LogEntry Entry;
    Entry.m_index = Value.at(0).get<LogIndex>();
    Entry.m_term = Value.at(1).get<Term>();
    Entry.m_kind = static_cast<EntryKind>(Value.at(2).get<int>());
    Entry.m_command = text(Value.at(3));
    Entry.m_voters = votersFromJson(Value.at(4));
    return Entry;
  });
}

std::string encodeHardState(const HardState &State) {
  return encode(
      json::array({State.m_term, binary(State.m_vote.m_node.str()),
                   binary(State.m_vote.m_identity), State.m_identityRevoked}));
}

std::optional<HardState> decodeHardState(std::string_view Payload) {
  return decode(Payload, 4, [](const json &Value) {
    HardState State;
    State.m_term = Value.at(0).get<Term>();
    State.m_vote = {NodeId(text(Value.at(1))), text(Value.at(2))};
    State.m_identityRevoked = Value.at(3).get<bool>();
    return State;
  });
}

std::string encodeSnapshot(const Snapshot &State) {
  return encode(
      json::array({State.m_index, State.m_term, votersToJson(State.m_voters),
                   binary(State.m_data)}));
}

std::optional<Snapshot> decodeSnapshot(std::string_view Payload) {
  return decode(Payload, 4, [](const json &Value) {
    Snapshot State;
    State.m_index = Value.at(0).get<LogIndex>();
    State.m_term = Value.at(1).get<Term>();
    State.m_voters = votersFromJson(Value.at(2));
    State.m_data = text(Value.at(3));
    return State;
  });
}

} // namespace turmericdyke::internal
