#include "turmericdyke/src/Peer/RaftCodec.h"

#include <nlohmann/json.hpp>

#include "turmericdyke/src/Fleet/JsonReader.h"
#include "turmericdyke/src/Peer/Cbor.h"

namespace turmericdyke {

namespace internal {
namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxEntries = 4096;
constexpr std::size_t MaxEntryBytes = 8 << 20;
constexpr std::size_t MaxSnapshotBytes = 15 << 20;
constexpr std::size_t MaxVoters = 64;

PeerError malformed(const JsonReader &Reader) {
  return {PeerErrorCode::Malformed,
          Reader.error()->m_field + " " + Reader.error()->m_message};
}

void readVoters(const Json &Object, const char *Field, VoterSet &Voters,
                JsonReader &Outer) {
  auto Found = Object.find(Field);
  if (Found == Object.end())
    return;
  Result<VoterSet, PeerError> Read = parseVoterSet(*Found);
  if (Read)
    Voters = std::move(Read).value();
  else
    Outer.fail(Field, Read.error().m_message);
}

Json entryJson(const LogEntry &Entry) {
  return {{"i", Entry.m_index},
          {"t", Entry.m_term},
          {"k", static_cast<std::uint64_t>(Entry.m_kind)},
          {"c", bytesValue(Entry.m_command)},
          {"v", toJson(Entry.m_voters)}};
}

void readEntry(const Json &Value, LogEntry &Entry, JsonReader &Outer) {
  JsonReader Reader(Value);
  std::uint64_t Kind = 0;
  Reader.number("i", Entry.m_index).number("t", Entry.m_term).number("k", Kind);
  if (Kind > static_cast<std::uint64_t>(EntryKind::Voters))
    Reader.fail("k", "is not a kind of entry");
  if (Entry.m_index == 0 || Entry.m_term == 0)
    Reader.fail("i", "is missing, or the term is");
  if (!Reader.error()) {
    Entry.m_kind = static_cast<EntryKind>(Kind);
    std::optional<std::string> Command = bytesField(Value, "c", MaxEntryBytes);
    if (Command)
      Entry.m_command = std::move(*Command);
    else
      Reader.fail("c", "is not a byte string of allowed size");
    readVoters(Value, "v", Entry.m_voters, Reader);
  }
  if (Reader.error())
    Outer.fail("entries", *Reader.error());
}

Json snapshotJson(const Snapshot &State) {
  return {{"i", State.m_index},
          {"t", State.m_term},
          {"v", toJson(State.m_voters)},
          {"d", bytesValue(State.m_data)}};
}

void readSnapshot(const Json &Value, RaftMessage &Message, JsonReader &Outer) {
  Snapshot State;
  JsonReader Reader(Value);
  Reader.number("i", State.m_index).number("t", State.m_term);
  if (!Reader.error()) {
    std::optional<std::string> Data = bytesField(Value, "d", MaxSnapshotBytes);
    if (Data)
      State.m_data = std::move(*Data);
    else
      Reader.fail("d", "is not a byte string of allowed size");
    readVoters(Value, "v", State.m_voters, Reader);
  }
  if (Reader.error())
    return Outer.fail("snapshot", *Reader.error());
  Message.m_snapshot = std::move(State);
}

void readEntries(const Json &Values, RaftMessage &Message, JsonReader &Reader) {
  if (Values.size() > MaxEntries)
    return Reader.fail("entries", "has too many entries");
  for (const Json &Value : Values) {
    LogEntry Entry;
    readEntry(Value, Entry, Reader);
    if (Reader.error())
      return;
    Message.m_entries.push_back(std::move(Entry));
  }
}

} // namespace
} // namespace internal

nlohmann::json toJson(const VoterSet &Voters) {
  internal::Json Values = internal::Json::array();
  for (const Voter &Member : Voters.m_voters)
    Values.push_back(
        {{"node", Member.m_node.str()}, {"identity", Member.m_identity}});
  return Values;
}

Result<VoterSet, PeerError> parseVoterSet(const nlohmann::json &Value) {
  if (!Value.is_array() || Value.size() > internal::MaxVoters)
    return failure(PeerError{PeerErrorCode::Malformed,
                             "is not a list of at most 64 voters"});
  VoterSet Voters;
  for (const internal::Json &Entry : Value) {
    Voter Member;
    internal::JsonReader Reader(Entry);
    Reader.id("node", Member.m_node, true)
        .text("identity", Member.m_identity, true);
    if (Reader.error())
      return failure(internal::malformed(Reader));
    Voters.m_voters.push_back(std::move(Member));
  }
  return Voters;
}

std::string encode(const RaftMessage &Message) {
  internal::Json Value = {{"kind", static_cast<std::uint64_t>(Message.m_kind)},
                          {"from", Message.m_from.str()},
                          {"identity", Message.m_fromIdentity},
                          {"to", Message.m_to.str()},
                          {"term", Message.m_term},
                          {"sequence", Message.m_sequence},
                          {"index", Message.m_index},
                          {"log_term", Message.m_logTerm},
                          {"commit", Message.m_commit},
                          {"accepted", Message.m_accepted},
                          {"transfer", Message.m_transfer},
                          {"last_index", Message.m_lastIndex},
                          {"conflict_index", Message.m_conflictIndex},
                          {"conflict_term", Message.m_conflictTerm},
                          {"revoked", Message.m_revokedIdentity}};
  if (!Message.m_entries.empty()) {
    internal::Json Entries = internal::Json::array();
    for (const LogEntry &Entry : Message.m_entries)
      Entries.push_back(internal::entryJson(Entry));
    Value["entries"] = std::move(Entries);
  }
  if (Message.m_snapshot)
    Value["snapshot"] = internal::snapshotJson(*Message.m_snapshot);
  return internal::toCbor(Value);
}

Result<RaftMessage, PeerError> decodeRaftMessage(std::string_view Bytes) {
  Result<internal::Json, PeerError> Value = internal::fromCbor(Bytes);
  if (!Value)
    return failure(Value.error());
  RaftMessage Message;
  internal::JsonReader Reader(Value.value());
  std::uint64_t Kind = 0;
  Reader.number("kind", Kind)
      .id("from", Message.m_from, true)
      .text("identity", Message.m_fromIdentity)
      .id("to", Message.m_to)
      .number("term", Message.m_term)
      .number("sequence", Message.m_sequence)
      .number("index", Message.m_index)
      .number("log_term", Message.m_logTerm)
      .number("commit", Message.m_commit)
      .flag("accepted", Message.m_accepted)
      .flag("transfer", Message.m_transfer)
      .number("last_index", Message.m_lastIndex)
      .number("conflict_index", Message.m_conflictIndex)
      .number("conflict_term", Message.m_conflictTerm)
      .text("revoked", Message.m_revokedIdentity);
  if (Kind > static_cast<std::uint64_t>(RaftMessageKind::TimeoutNow))
    Reader.fail("kind", "is not a kind of message");
  if (const internal::Json *Entries = Reader.list("entries"))
    internal::readEntries(*Entries, Message, Reader);
  if (const internal::Json *State = Reader.object("snapshot"))
    internal::readSnapshot(*State, Message, Reader);
  if (Reader.error())
    return failure(internal::malformed(Reader));
  Message.m_kind = static_cast<RaftMessageKind>(Kind);
  return Message;
}

} // namespace turmericdyke
