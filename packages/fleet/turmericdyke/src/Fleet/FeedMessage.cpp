#include "turmericdyke/src/Fleet/FeedMessage.h"

#include "turmericdyke/src/Fleet/JsonReader.h"
#include "turmericdyke/src/Fleet/ServerAnnouncement.h"
#include "turmericdyke/src/Fleet/ValueChecker.h"

namespace turmericdyke {

namespace internal {
namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxFeedEntries = 4096;

Json entryJson(const NodeId &Value) { return Value.str(); }
Json entryJson(const TargetId &Value) { return Value.str(); }
Json entryJson(const TargetUse &Value) {
  return {{"t", Value.m_target.str()}, {"n", Value.m_requests}};
}
Json entryJson(const ServingTarget &Value) {
  Json Object = {{"t", Value.m_id.str()},   {"s", Value.m_service.str()},
                 {"a", Value.m_address},    {"d", Value.m_failureDomain.str()},
                 {"m", Value.m_model},      {"n", Value.m_slots},
                 {"g", Value.m_generation}, {"b", Value.m_instance}};
  if (Value.m_coldPerSecond)
    Object["c"] = *Value.m_coldPerSecond;
  if (Value.m_coldLent)
    Object["l"] = true;
  return Object;
}

Json entryJson(const TargetLimit &Value) {
  Json Object = {{"t", Value.m_target.str()},
                 {"b", Value.m_instance},
                 {"age_us", Value.m_ageMicros}};
  if (Value.m_perSecond)
    Object["rate"] = *Value.m_perSecond;
  return Object;
}

Json entryJson(const ModelArrivals &Value) {
  return {{"s", Value.m_service.str()},
          {"m", Value.m_model},
          {"n", Value.m_requests},
          {"p", Value.m_promptTokens},
          {"o", Value.m_outputTokens}};
}

Json entryJson(const ColdGrant &Value) {
  return {{"t", Value.m_target.str()}, {"g", Value.m_generation}};
}

Json entryJson(const EntryPeer &Value) {
  return {{"n", Value.m_node.str()},
          {"a", Value.m_relayAddress},
          {"d", Value.m_failureDomain.str()}};
}

Json entryJson(SuspectKey Value) { return Value; }
template <class Entry> Json listJson(const std::vector<Entry> &Entries);
Json entryJson(const CrashReport &Value) {
  return {{"t", Value.m_target.str()},
          {"g", Value.m_generation},
          {"b", Value.m_began},
          {"k", listJson(Value.m_keys)},
          {"e", Value.m_events}};
}

template <class Entry> Json listJson(const std::vector<Entry> &Entries) {
  Json List = Json::array();
  for (const Entry &Value : Entries)
    List.push_back(entryJson(Value));
  return List;
}

template <class Tag>
void readEntry(const Json &Value, StringId<Tag> &Entry, JsonReader &Outer) {
  if (Value.is_string())
    Entry = StringId<Tag>(Value.get<std::string>());
  else
    Outer.fail("list", "holds something that is no text");
}

void propagateError(const JsonReader &Inner, JsonReader &Outer) {
  if (Inner.error())
    Outer.fail("list", *Inner.error());
}

void readEntry(const Json &Value, TargetUse &Entry, JsonReader &Outer) {
  JsonReader Reader(Value);
  Reader.id("t", Entry.m_target, true).number("n", Entry.m_requests);
  propagateError(Reader, Outer);
}

std::optional<ServingTarget> readServingTarget(const Json &Value) {
  ServingTarget Entry;
  JsonReader Reader(Value);
  double ColdPerSecond = 0;
  Reader.id("t", Entry.m_id, true)
      .id("s", Entry.m_service, true)
      .text("a", Entry.m_address, true)
      .id("d", Entry.m_failureDomain)
      .text("m", Entry.m_model)
      .number("n", Entry.m_slots)
      .number("g", Entry.m_generation)
      .number("b", Entry.m_instance)
      .real("c", ColdPerSecond)
      .flag("l", Entry.m_coldLent);
  if (Reader.error() || validateServingTarget(Entry))
    return std::nullopt;
  if (ColdPerSecond > 0)
    Entry.m_coldPerSecond = ColdPerSecond;
  return Entry;
}

void readEntry(const Json &Value, TargetLimit &Entry, JsonReader &Outer) {
  JsonReader Reader(Value);
  double Rate = -1;
  Reader.id("t", Entry.m_target, true)
      .number("b", Entry.m_instance)
      .number("age_us", Entry.m_ageMicros)
      .real("rate", Rate);
  if (Rate >= 0)
    Entry.m_perSecond = Rate;
  propagateError(Reader, Outer);
}

void readEntry(const Json &Value, ModelArrivals &Entry, JsonReader &Outer) {
  JsonReader Reader(Value);
  Reader.id("s", Entry.m_service, true)
      .text("m", Entry.m_model)
      .number("n", Entry.m_requests)
      .number("p", Entry.m_promptTokens)
      .number("o", Entry.m_outputTokens);
  propagateError(Reader, Outer);
}

void readEntry(const Json &Value, ColdGrant &Entry, JsonReader &Outer) {
  JsonReader Reader(Value);
  Reader.id("t", Entry.m_target, true).number("g", Entry.m_generation);
  propagateError(Reader, Outer);
}

void readEntry(const Json &Value, EntryPeer &Entry, JsonReader &Outer) {
  JsonReader Reader(Value);
  Reader.id("n", Entry.m_node, true)
      .text("a", Entry.m_relayAddress, true)
      .id("d", Entry.m_failureDomain);
  propagateError(Reader, Outer);
}

void readEntry(const Json &Value, SuspectKey &Entry, JsonReader &Outer) {
  if (Value.is_number_unsigned())
    Entry = Value.get<SuspectKey>();
  else
    Outer.fail("list", "holds something that is no key");
}

template <class Entry>
void readList(JsonReader &Reader, const char *Field,
              std::vector<Entry> &Entries);

void readEntry(const Json &Value, CrashReport &Entry, JsonReader &Outer) {
  JsonReader Reader(Value);
  Reader.id("t", Entry.m_target, true)
      .number("g", Entry.m_generation)
      .flag("b", Entry.m_began)
      .number("e", Entry.m_events);
  readList(Reader, "k", Entry.m_keys);
  if (Entry.m_keys.empty() || Entry.m_keys.size() > MaxKeysOfRequest)
    Reader.fail("k", "is empty or has too many entries");
  propagateError(Reader, Outer);
}

template <class Entry>
void readList(JsonReader &Reader, const char *Field,
              std::vector<Entry> &Entries) {
  const Json *List = Reader.list(Field);
  if (List == nullptr)
    return;
  if (List->size() > MaxFeedEntries)
    return Reader.fail(Field, "has too many entries");
  for (const Json &Value : *List) {
    Entry Read{};
    readEntry(Value, Read, Reader);
    Entries.push_back(std::move(Read));
  }
}

/// Earlier versions take the crashes of attempts that had got past their start
/// for others, and read the keys without the numbers of events.
void writeCrashes(const FeedRequest &Message, Json &Object) {
  Json Early = Json::array();
  Json Late = Json::array();
  for (const CrashReport &Report : Message.m_crashes)
    (Report.m_pastStart ? Late : Early).push_back(entryJson(Report));
  if (!Early.empty())
    Object["crashes"] = std::move(Early);
  if (!Late.empty())
    Object["late_crashes"] = std::move(Late);
  for (const KeyProgress &Value : Message.m_progress) {
    Object["sound_keys"].push_back(Value.m_key);
    Object["sound_events"].push_back(Value.m_events);
  }
}

void readCrashes(JsonReader &Reader, FeedRequest &Read) {
  std::vector<CrashReport> Late;
  std::vector<SuspectKey> Keys;
  std::vector<std::uint64_t> Events;
  readList(Reader, "crashes", Read.m_crashes);
  readList(Reader, "late_crashes", Late);
  readList(Reader, "sound_keys", Keys);
  readList(Reader, "sound_events", Events);
  for (CrashReport &Report : Late) {
    Report.m_pastStart = true;
    Read.m_crashes.push_back(std::move(Report));
  }
  for (std::size_t At = 0; At < Keys.size(); ++At) {
    KeyProgress &Value = Read.m_progress.emplace_back();
    Value.m_key = Keys[At];
    if (At < Events.size())
      Value.m_events = Events[At];
  }
}

void readTargets(JsonReader &Reader, FeedUpdate &Update) {
  const Json *List = Reader.list("targets");
  if (List == nullptr)
    return;
  for (const Json &Value : *List)
    if (std::optional<ServingTarget> Read = readServingTarget(Value))
      Update.m_targets.push_back(std::move(*Read));
    else
      ++Update.m_malformedTargets;
}

SuspectLists readSuspectLists(const Json &Value, JsonReader &Outer) {
  SuspectLists Lists;
  JsonReader Reader(Value);
  Reader.number("version", Lists.m_version);
  readList(Reader, "suspects", Lists.m_suspects);
  readList(Reader, "refused", Lists.m_refused);
  propagateError(Reader, Outer);
  return Lists;
}

TargetLimitList readLimitList(const Json &Value, JsonReader &Outer) {
  TargetLimitList List;
  JsonReader Reader(Value);
  Reader.number("version", List.m_version);
  readList(Reader, "limits", List.m_limits);
  propagateError(Reader, Outer);
  return List;
}

Json peerListJson(const PeerList &List) {
  return {{"version", List.m_version}, {"peers", listJson(List.m_peers)}};
}

PeerList readPeerList(const Json &Value, std::size_t MaxPeers,
                      JsonReader &Outer) {
  PeerList List;
  JsonReader Reader(Value);
  Reader.number("version", List.m_version);
  readList(Reader, "peers", List.m_peers);
  if (List.m_peers.size() > MaxPeers)
    Reader.fail("peers", "has too many entries");
  propagateError(Reader, Outer);
  return List;
}

Json binaryJson(std::string_view Bytes) {
  return Json::binary({Bytes.begin(), Bytes.end()});
}

void readBinary(const Json &Value, const char *Field, std::string &Bytes) {
  auto Found = Value.find(Field);
  if (Found != Value.end() && Found->is_binary())
    Bytes.assign(Found->get_binary().begin(), Found->get_binary().end());
}

template <class Message>
Result<Message, FleetError> makeResult(const JsonReader &Reader,
                                       Message &Read) {
  if (Reader.error())
    return failure(*Reader.error());
  return std::move(Read);
}

} // namespace
} // namespace internal

std::optional<FleetError> validateServingTarget(const ServingTarget &Value) {
  internal::ValueChecker Values;
  Values.headerText("id", Value.m_id.str())
      .requiredName("service", Value.m_service.str())
      .address("address", Value.m_address)
      .number("slots", Value.m_slots, ServerAnnouncement::MaxSlots);
  return Values.error();
}

std::string encodeUses(absl::Span<const TargetUse> Uses) {
  // Names and numbers alternate in one flat list.
  internal::Json List = internal::Json::array();
  for (const TargetUse &Use : Uses) {
    List.push_back(Use.m_target.str());
    List.push_back(Use.m_requests);
  }
  std::string Bytes;
  internal::Json::to_cbor(List, Bytes);
  return Bytes;
}

Result<std::vector<TargetUse>, FleetError> decodeUses(std::string_view Bytes) {
  std::vector<TargetUse> Uses;
  if (Bytes.empty())
    return Uses;
  internal::Json List =
      internal::Json::from_cbor(Bytes.begin(), Bytes.end(), true, false);
  if (!List.is_array() || List.size() % 2 != 0 ||
      List.size() > 2 * internal::MaxFeedEntries)
    return failure(FleetError{"/uses", "is not a list of names and numbers"});
  for (std::size_t At = 0; At < List.size(); At += 2) {
    if (!List[At].is_string() || !List[At + 1].is_number_integer())
      return failure(FleetError{"/uses", "holds no pair of name and number"});
    Uses.push_back({TargetId(List[At].get<std::string>()),
                    List[At + 1].get<std::int64_t>()});
  }
  return Uses;
}

nlohmann::json toJson(const RosterMessage &Message) {
  return {{"failure_domain", Message.m_failureDomain.str()},
          {"known", internal::listJson(Message.m_known)},
          {"leaving", Message.m_leaving},
          {"directory_term", Message.m_directoryTerm},
          {"directory_sequence", Message.m_directorySequence}};
}

nlohmann::json toJson(const FeedRequest &Message) {
  nlohmann::json Object = {
      {"node", Message.m_node.str()},
      {"failure_domain", Message.m_failureDomain.str()},
      {"follows", Message.m_follows},
      {"relay", Message.m_relay},
      {"entries", Message.m_entries},
      {"sent_us", Message.m_sentAtMicros},
      {"term", Message.m_term},
      {"sequence", Message.m_sequence},
      {"routing", Message.m_routingVersion},
      {"uses", internal::listJson(Message.m_uses)},
      {"model_requests", Message.m_modelRequests},
      {"suspects", internal::listJson(Message.m_suspects)},
      {"progressing", internal::listJson(Message.m_progressing)},
      {"stopping", Message.m_stopping}};
  if (Message.m_relay)
    Object["delivered"] = Message.m_delivered;
  // Rarely set, and sent four times a second by each entry node.
  if (Message.m_suspectsVersion != 0)
    Object["suspect_keys_version"] = Message.m_suspectsVersion;
  internal::writeCrashes(Message, Object);
  if (!Message.m_arrivals.empty())
    Object["arrivals"] = internal::listJson(Message.m_arrivals);
  if (Message.m_limitsVersion != 0)
    Object["limits_version"] = Message.m_limitsVersion;
  if (!Message.m_limits.empty())
    Object["limits"] = internal::listJson(Message.m_limits);
  if (!Message.m_relayAddress.empty())
    Object["relay_address"] = Message.m_relayAddress;
  if (Message.m_peersVersion != 0)
    Object["peers_version"] = Message.m_peersVersion;
  if (Message.m_offeredPeers)
    Object["offered_peers"] = internal::peerListJson(*Message.m_offeredPeers);
  return Object;
}

nlohmann::json toJson(const FeedUpdate &Message) {
  nlohmann::json Object = {
      {"term", Message.m_term},
      {"leader", Message.m_leader.str()},
      {"leads", Message.m_leads},
      {"relays", Message.m_relays},
      {"age_us", Message.m_ageMicros},
      {"source", Message.m_source.str()},
      {"coordinators", internal::listJson(Message.m_coordinators)},
      {"echo_us", Message.m_echoMicros},
      {"from", Message.m_from},
      {"sequence", Message.m_sequence},
      {"complete", Message.m_complete},
      {"targets", internal::listJson(Message.m_targets)},
      {"removed", internal::listJson(Message.m_removed)},
      {"uses", internal::binaryJson(Message.m_uses)},
      {"entries", Message.m_entries},
      {"routing", Message.m_routingVersion},
      {"document", internal::binaryJson(Message.m_routingDocument)}};
  if (Message.m_confirm)
    Object["confirm"] = true;
  if (Message.m_suspects)
    Object["suspect_keys"] = {
        {"version", Message.m_suspects->m_version},
        {"suspects", internal::listJson(Message.m_suspects->m_suspects)},
        {"refused", internal::listJson(Message.m_suspects->m_refused)}};
  if (Message.m_limits)
    Object["limits"] = {
        {"version", Message.m_limits->m_version},
        {"limits", internal::listJson(Message.m_limits->m_limits)}};
  if (!Message.m_coldGrants.empty())
    Object["cold_grants"] = internal::listJson(Message.m_coldGrants);
  if (Message.m_peers)
    Object["peers"] = internal::peerListJson(*Message.m_peers);
  if (Message.m_offeredVersion != 0)
    Object["offered_version"] = Message.m_offeredVersion;
  if (Message.m_peersElsewhere)
    Object["peers_elsewhere"] =
        internal::peerListJson(*Message.m_peersElsewhere);
  return Object;
}

Result<RosterMessage, FleetError>
parseRosterMessage(const nlohmann::json &Value) {
  RosterMessage Read;
  internal::JsonReader Reader(Value);
  Reader.id("failure_domain", Read.m_failureDomain)
      .flag("leaving", Read.m_leaving)
      .number("directory_term", Read.m_directoryTerm)
      .number("directory_sequence", Read.m_directorySequence);
  internal::readList(Reader, "known", Read.m_known);
  return internal::makeResult(Reader, Read);
}

Result<FeedRequest, FleetError> parseFeedRequest(const nlohmann::json &Value) {
  FeedRequest Read;
  internal::JsonReader Reader(Value);
  Reader.id("node", Read.m_node, true)
      .id("failure_domain", Read.m_failureDomain)
      .flag("follows", Read.m_follows)
      .flag("relay", Read.m_relay)
      .number("entries", Read.m_entries)
      .number("sent_us", Read.m_sentAtMicros)
      .number("term", Read.m_term)
      .number("sequence", Read.m_sequence)
      .number("routing", Read.m_routingVersion)
      .number("model_requests", Read.m_modelRequests)
      .number("suspect_keys_version", Read.m_suspectsVersion)
      .number("limits_version", Read.m_limitsVersion)
      .text("relay_address", Read.m_relayAddress)
      .number("peers_version", Read.m_peersVersion)
      .flag("stopping", Read.m_stopping);
  Read.m_delivered = Read.m_sequence;
  Reader.number("delivered", Read.m_delivered);
  internal::readList(Reader, "uses", Read.m_uses);
  internal::readList(Reader, "suspects", Read.m_suspects);
  internal::readList(Reader, "progressing", Read.m_progressing);
  internal::readCrashes(Reader, Read);
  internal::readList(Reader, "limits", Read.m_limits);
  internal::readList(Reader, "arrivals", Read.m_arrivals);
  if (const nlohmann::json *Peers = Reader.object("offered_peers"))
    Read.m_offeredPeers =
        internal::readPeerList(*Peers, MaxExchangedPeers, Reader);
  return internal::makeResult(Reader, Read);
}

Result<FeedUpdate, FleetError> parseFeedUpdate(const nlohmann::json &Value) {
  FeedUpdate Read;
  internal::JsonReader Reader(Value);
  Reader.number("term", Read.m_term)
      .id("leader", Read.m_leader)
      .flag("leads", Read.m_leads)
      .flag("relays", Read.m_relays)
      .number("age_us", Read.m_ageMicros)
      .id("source", Read.m_source)
      .number("echo_us", Read.m_echoMicros)
      .number("from", Read.m_from)
      .number("sequence", Read.m_sequence)
      .flag("complete", Read.m_complete)
      .flag("confirm", Read.m_confirm)
      .number("entries", Read.m_entries)
      .number("offered_version", Read.m_offeredVersion)
      .number("routing", Read.m_routingVersion);
  internal::readBinary(Value, "document", Read.m_routingDocument);
  internal::readBinary(Value, "uses", Read.m_uses);
  internal::readList(Reader, "coordinators", Read.m_coordinators);
  internal::readTargets(Reader, Read);
  internal::readList(Reader, "removed", Read.m_removed);
  internal::readList(Reader, "cold_grants", Read.m_coldGrants);
  if (const nlohmann::json *Lists = Reader.object("suspect_keys"))
    Read.m_suspects = internal::readSuspectLists(*Lists, Reader);
  if (const nlohmann::json *Limits = Reader.object("limits"))
    Read.m_limits = internal::readLimitList(*Limits, Reader);
  if (const nlohmann::json *Peers = Reader.object("peers"))
    Read.m_peers = internal::readPeerList(*Peers, MaxListedPeers, Reader);
  if (const nlohmann::json *Peers = Reader.object("peers_elsewhere"))
    Read.m_peersElsewhere =
        internal::readPeerList(*Peers, MaxExchangedPeers, Reader);
  return internal::makeResult(Reader, Read);
}

} // namespace turmericdyke
