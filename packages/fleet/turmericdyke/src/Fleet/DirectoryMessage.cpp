#include "turmericdyke/src/Fleet/DirectoryMessage.h"

#include <iterator>
#include <utility>

#include "turmericdyke/src/Fleet/JsonReader.h"

namespace turmericdyke {

namespace internal {
namespace {

using Json = nlohmann::json;

constexpr std::string_view StateNames[] = {"joining", "ready", "open",
                                           "closing", "broken"};

Json copyJson(const ServerCopy &Copy) {
  const ServerAnnouncement &Said = Copy.m_said;
  Json Value = {{"id", Said.m_id.str()},
                {"service", Said.m_service.str()},
                {"address", Said.m_address},
                {"failure_domain", Said.m_failureDomain.str()},
                {"fabric_domain", Said.m_fabricDomain.str()},
                {"slots", Said.m_slots},
                {"draining", Said.m_draining},
                {"born_ms", Said.m_bornMillis},
                {"sequence", Said.m_sequence},
                {"staged", Said.m_stagedModels},
                {"model", Said.m_model},
                {"in_memory", Copy.m_modelInMemory}};
  if (Said.m_group)
    Value["group"] = {{"name", Said.m_group->m_group},
                      {"epoch", Said.m_group->m_epoch},
                      {"rank", Said.m_group->m_rank},
                      {"state", nameOf(Said.m_group->m_state)}};
  return Value;
}

void readTexts(JsonReader &Reader, const char *Field,
               std::vector<std::string> &Texts) {
  const Json *List = Reader.list(Field);
  if (List == nullptr)
    return;
  for (const Json &Value : *List) {
    if (!Value.is_string())
      return Reader.fail(Field, "holds something that is no text");
    Texts.push_back(Value.get<std::string>());
  }
}

void readGroup(JsonReader &Reader, std::optional<GroupMembership> &Group) {
  const Json *Value = Reader.object("group");
  if (Value == nullptr)
    return;
  JsonReader Inner(*Value);
  GroupMembership Read;
  Inner.text("name", Read.m_group, true)
      .number("epoch", Read.m_epoch)
      .number("rank", Read.m_rank)
      .choice("state", Read.m_state, StateNames);
  if (Read.m_rank < 0)
    Inner.fail("rank", "is below 0");
  if (Inner.error())
    return Reader.fail("group", *Inner.error());
  Group = std::move(Read);
}

ServerCopy readCopy(const Json &Value, JsonReader &Outer) {
  ServerCopy Read;
  ServerAnnouncement &Said = Read.m_said;
  JsonReader Reader(Value);
  Reader.id("id", Said.m_id, true)
      .id("service", Said.m_service, true)
      .text("address", Said.m_address, true)
      .id("failure_domain", Said.m_failureDomain)
      .id("fabric_domain", Said.m_fabricDomain)
      .number("slots", Said.m_slots)
      .flag("draining", Said.m_draining)
      .number("born_ms", Said.m_bornMillis)
      .number("sequence", Said.m_sequence)
      .text("model", Said.m_model)
      .text("in_memory", Read.m_modelInMemory);
  readTexts(Reader, "staged", Said.m_stagedModels);
  readGroup(Reader, Said.m_group);
  if (Reader.error())
    Outer.fail("servers", *Reader.error());
  return Read;
}

} // namespace
} // namespace internal

nlohmann::json toJson(const DirectoryUpdate &Message) {
  internal::Json Servers = internal::Json::array();
  for (const ServerCopy &Copy : Message.m_servers)
    Servers.push_back(internal::copyJson(Copy));
  internal::Json Removed = internal::Json::array();
  for (const TargetId &Id : Message.m_removed)
    Removed.push_back(Id.str());
  return {{"term", Message.m_term},
          {"from", Message.m_from},
          {"sequence", Message.m_sequence},
          {"complete", Message.m_complete},
          {"traffic_seen", Message.m_trafficSeen},
          {"servers", std::move(Servers)},
          {"removed", std::move(Removed)}};
}

Result<DirectoryUpdate, FleetError>
parseDirectoryUpdate(const nlohmann::json &Value) {
  DirectoryUpdate Read;
  internal::JsonReader Reader(Value);
  Reader.number("term", Read.m_term)
      .number("from", Read.m_from)
      .number("sequence", Read.m_sequence)
      .flag("complete", Read.m_complete)
      .flag("traffic_seen", Read.m_trafficSeen);
  if (const nlohmann::json *Servers = Reader.list("servers"))
    for (const nlohmann::json &Copy : *Servers)
      Read.m_servers.push_back(internal::readCopy(Copy, Reader));
  std::vector<std::string> Removed;
  internal::readTexts(Reader, "removed", Removed);
  for (std::string &Id : Removed)
    Read.m_removed.emplace_back(std::move(Id));
  if (Reader.error())
    return failure(*Reader.error());
  return Read;
}

} // namespace turmericdyke
