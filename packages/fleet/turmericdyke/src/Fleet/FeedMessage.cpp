#include "turmericdyke/src/Fleet/FeedMessage.h"

#include "turmericdyke/src/Fleet/JsonReader.h"

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
  return {{"t", Value.m_id.str()},  {"s", Value.m_service.str()},
          {"a", Value.m_address},   {"d", Value.m_failureDomain.str()},
          {"m", Value.m_model},     {"n", Value.m_slots},
          {"g", Value.m_generation}};
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

void readEntry(const Json &Value, ServingTarget &Entry, JsonReader &Outer) {
  JsonReader Reader(Value);
  Reader.id("t", Entry.m_id, true)
      .id("s", Entry.m_service, true)
      .text("a", Entry.m_address, true)
      .id("d", Entry.m_failureDomain)
      .text("m", Entry.m_model)
      .number("n", Entry.m_slots)
      .number("g", Entry.m_generation);
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
    Entry Read;
    readEntry(Value, Read, Reader);
    Entries.push_back(std::move(Read));
  }
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

nlohmann::json toJson(const RosterMessage &Message) {
  return {{"known", internal::listJson(Message.m_known)},
          {"directory_term", Message.m_directoryTerm},
          {"directory_sequence", Message.m_directorySequence}};
}

nlohmann::json toJson(const FeedRequest &Message) {
  return {{"node", Message.m_node.str()},
          {"sent_us", Message.m_sentAtMicros},
          {"term", Message.m_term},
          {"sequence", Message.m_sequence},
          {"routing", Message.m_routingVersion},
          {"uses", internal::listJson(Message.m_uses)},
          {"model_requests", Message.m_modelRequests},
          {"suspects", internal::listJson(Message.m_suspects)},
          {"progressing", internal::listJson(Message.m_progressing)},
          {"stopping", Message.m_stopping}};
}

nlohmann::json toJson(const FeedUpdate &Message) {
  return {
      {"term", Message.m_term},
      {"leader", Message.m_leader.str()},
      {"leads", Message.m_leads},
      {"coordinators", internal::listJson(Message.m_coordinators)},
      {"echo_us", Message.m_echoMicros},
      {"from", Message.m_from},
      {"sequence", Message.m_sequence},
      {"complete", Message.m_complete},
      {"targets", internal::listJson(Message.m_targets)},
      {"removed", internal::listJson(Message.m_removed)},
      {"others", internal::listJson(Message.m_othersUse)},
      {"entries", Message.m_entries},
      {"routing", Message.m_routingVersion},
      {"document", nlohmann::json::binary({Message.m_routingDocument.begin(),
                                           Message.m_routingDocument.end()})}};
}

Result<RosterMessage, FleetError>
parseRosterMessage(const nlohmann::json &Value) {
  RosterMessage Read;
  internal::JsonReader Reader(Value);
  Reader.number("directory_term", Read.m_directoryTerm)
      .number("directory_sequence", Read.m_directorySequence);
  internal::readList(Reader, "known", Read.m_known);
  return internal::makeResult(Reader, Read);
}

Result<FeedRequest, FleetError> parseFeedRequest(const nlohmann::json &Value) {
  FeedRequest Read;
  internal::JsonReader Reader(Value);
  Reader.id("node", Read.m_node, true)
      .number("sent_us", Read.m_sentAtMicros)
      .number("term", Read.m_term)
      .number("sequence", Read.m_sequence)
      .number("routing", Read.m_routingVersion)
      .number("model_requests", Read.m_modelRequests)
      .flag("stopping", Read.m_stopping);
  internal::readList(Reader, "uses", Read.m_uses);
  internal::readList(Reader, "suspects", Read.m_suspects);
  internal::readList(Reader, "progressing", Read.m_progressing);
  return internal::makeResult(Reader, Read);
}

Result<FeedUpdate, FleetError> parseFeedUpdate(const nlohmann::json &Value) {
  FeedUpdate Read;
  internal::JsonReader Reader(Value);
  Reader.number("term", Read.m_term)
      .id("leader", Read.m_leader)
      .flag("leads", Read.m_leads)
      .number("echo_us", Read.m_echoMicros)
      .number("from", Read.m_from)
      .number("sequence", Read.m_sequence)
      .flag("complete", Read.m_complete)
      .number("entries", Read.m_entries)
      .number("routing", Read.m_routingVersion);
  auto Document = Value.find("document");
  if (Document != Value.end() && Document->is_binary())
    Read.m_routingDocument.assign(Document->get_binary().begin(),
                                  Document->get_binary().end());
  internal::readList(Reader, "coordinators", Read.m_coordinators);
  internal::readList(Reader, "targets", Read.m_targets);
  internal::readList(Reader, "removed", Read.m_removed);
  internal::readList(Reader, "others", Read.m_othersUse);
  return internal::makeResult(Reader, Read);
}

} // namespace turmericdyke
