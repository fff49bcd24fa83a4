#include "turmericdyke/src/Fleet/DirectoryMessage.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

#include "turmericdyke/src/Fleet/JsonReader.h"

namespace turmericdyke {

namespace internal {
namespace {

using Json = nlohmann::json;

constexpr std::string_view StateNames[] = {"joining", "ready", "open",
                                           "closing", "broken"};

/// Longer times are mistakes. Those of a sound server are below an hour.
constexpr std::int64_t MaxColdMicros = 24LL * 3600 * 1000 * 1000;

Json announcementJson(const ServerAnnouncement &Announcement, Instant Now) {
  Json Value = {{"id", Announcement.m_id.str()},
                {"service", Announcement.m_service.str()},
                {"address", Announcement.m_address},
                {"failure_domain", Announcement.m_failureDomain.str()},
                {"fabric_domain", Announcement.m_fabricDomain.str()},
                {"slots", Announcement.m_slots},
                {"draining", Announcement.m_draining},
                {"born_ms", Announcement.m_startMillis},
                {"sequence", Announcement.m_sequence},
                {"staged", Announcement.m_stagedModels},
                {"model", Announcement.m_model}};
  if (Announcement.m_group)
    Value["group"] = {{"name", Announcement.m_group->m_group},
                      {"epoch", Announcement.m_group->m_epoch},
                      {"rank", Announcement.m_group->m_rank},
                      {"state", nameOf(Announcement.m_group->m_state)}};
  if (Announcement.m_coldUntil)
    Value["cold_us"] = absl::ToInt64Microseconds(
        std::max(absl::ZeroDuration(), *Announcement.m_coldUntil - Now));
  return Value;
}

Json serverCopyJson(const ServerCopy &Copy, Instant Now) {
  Json Value = announcementJson(Copy.m_announcement, Now);
  Value["in_memory"] = Copy.m_modelInMemory;
  if (Copy.m_countsAsStarted != absl::InfinitePast())
    Value["counts_as_started_us"] =
        absl::ToInt64Microseconds(Copy.m_countsAsStarted - Now);
  return Value;
}

Json heardJson(const ServerHeard &Heard) {
  return {{"id", Heard.m_id.str()},
          {"born_ms", Heard.m_startMillis},
          {"sequence", Heard.m_sequence}};
}

std::optional<ServerHeard> readHeard(const Json &Value) {
  ServerHeard Read;
  JsonReader Reader(Value);
  Reader.id("id", Read.m_id, true)
      .number("born_ms", Read.m_startMillis)
      .number("sequence", Read.m_sequence);
  if (Reader.error())
    return std::nullopt;
  return Read;
}

void readStrings(JsonReader &Reader, const char *Field,
                 std::vector<std::string> &Strings) {
  const Json *List = Reader.list(Field);
  if (List == nullptr)
    return;
  for (const Json &Value : *List) {
    if (!Value.is_string())
      return Reader.fail(Field, "holds something that is no text");
    Strings.push_back(Value.get<std::string>());
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
  if (Inner.error())
    return Reader.fail("group", *Inner.error());
  Group = std::move(Read);
}

/// Reads times from `DirectoryUpdate::m_now`, which is 0 in a parsed message.
void readTimes(JsonReader &Reader, ServerCopy &Copy) {
  std::int64_t Cold = -1;
  constexpr std::int64_t NotStated = std::numeric_limits<std::int64_t>::min();
  std::int64_t Started = NotStated;
  Reader.number("cold_us", Cold).number("counts_as_started_us", Started);
  // A time out of range is left out; the server is as sound as without it.
  if (Cold == 0)
    Copy.m_announcement.m_coldUntil = absl::InfinitePast();
  else if (Cold > 0 && Cold <= MaxColdMicros)
    Copy.m_announcement.m_coldUntil =
        absl::UnixEpoch() + absl::Microseconds(Cold);
  if (Started != NotStated)
    Copy.m_countsAsStarted = absl::UnixEpoch() + absl::Microseconds(Started);
}

std::optional<ServerCopy> readServerCopy(const Json &Value) {
  ServerCopy Read;
  ServerAnnouncement &Announcement = Read.m_announcement;
  JsonReader Reader(Value);
  Reader.id("id", Announcement.m_id, true)
      .id("service", Announcement.m_service, true)
      .text("address", Announcement.m_address, true)
      .id("failure_domain", Announcement.m_failureDomain)
      .id("fabric_domain", Announcement.m_fabricDomain)
      .number("slots", Announcement.m_slots)
      .flag("draining", Announcement.m_draining)
      .number("born_ms", Announcement.m_startMillis)
      .number("sequence", Announcement.m_sequence)
      .text("model", Announcement.m_model)
      .text("in_memory", Read.m_modelInMemory);
  readStrings(Reader, "staged", Announcement.m_stagedModels);
  readGroup(Reader, Announcement.m_group);
  readTimes(Reader, Read);
  if (Reader.error() || validateAnnouncement(Announcement))
    return std::nullopt;
  return Read;
}

std::optional<ServerAnnouncement> readAnnouncement(const Json &Value) {
  std::optional<ServerCopy> Copy = readServerCopy(Value);
  if (!Copy)
    return std::nullopt;
  return std::move(Copy->m_announcement);
}

/// Returns how many entries were left out because they are malformed.
template <class Entry>
std::size_t readEntries(JsonReader &Reader, const char *Field,
                        std::vector<Entry> &Entries,
                        std::optional<Entry> (*Read)(const Json &)) {
  const Json *List = Reader.list(Field);
  if (List == nullptr)
    return 0;
  for (const Json &Value : *List) {
    std::optional<Entry> Parsed = Read(Value);
    if (Parsed)
      Entries.push_back(std::move(*Parsed));
  }
  return List->size() - Entries.size();
}

/// Moves an instant, but not one that stands for never.
void move(Instant &Value, absl::Duration By) { Value += By; }

void move(ServerAnnouncement &Value, absl::Duration By) {
  if (Value.m_coldUntil)
    move(*Value.m_coldUntil, By);
}

void move(ServerCopy &Value, absl::Duration By) {
  move(Value.m_announcement, By);
  move(Value.m_countsAsStarted, By);
}

template <class Message, class Entry>
void moveClock(Message &Moved, std::vector<Entry> &Entries, Instant Now) {
  for (Entry &Each : Entries)
    move(Each, Now - Moved.m_now);
  Moved.m_now = Now;
}

} // namespace
} // namespace internal

void setClock(DirectoryUpdate &Message, Instant Now) {
  internal::moveClock(Message, Message.m_servers, Now);
}

void setClock(AnnouncementBatch &Message, Instant Now) {
  internal::moveClock(Message, Message.m_changed, Now);
}

nlohmann::json toJson(const AnnouncementBatch &Message) {
  internal::Json Changed = internal::Json::array();
  for (const ServerAnnouncement &Announcement : Message.m_changed)
    Changed.push_back(internal::announcementJson(Announcement, Message.m_now));
  internal::Json Unchanged = internal::Json::array();
  for (const ServerHeard &Heard : Message.m_unchanged)
    Unchanged.push_back(internal::heardJson(Heard));
  return {{"term", Message.m_term},
          {"changed", std::move(Changed)},
          {"unchanged", std::move(Unchanged)}};
}

Result<AnnouncementBatch, FleetError>
parseAnnouncementBatch(const nlohmann::json &Value) {
  AnnouncementBatch Read;
  internal::JsonReader Reader(Value);
  Reader.number("term", Read.m_term);
  Read.m_malformed += internal::readEntries(Reader, "changed", Read.m_changed,
                                            &internal::readAnnouncement);
  Read.m_malformed += internal::readEntries(
      Reader, "unchanged", Read.m_unchanged, &internal::readHeard);
  if (Reader.error())
    return failure(*Reader.error());
  return Read;
}

nlohmann::json toJson(const DirectoryUpdate &Message) {
  internal::Json Servers = internal::Json::array();
  for (const ServerCopy &Copy : Message.m_servers)
    Servers.push_back(internal::serverCopyJson(Copy, Message.m_now));
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
  Read.m_malformed = internal::readEntries(Reader, "servers", Read.m_servers,
                                           &internal::readServerCopy);
  std::vector<std::string> Removed;
  internal::readStrings(Reader, "removed", Removed);
  for (std::string &Id : Removed)
    Read.m_removed.emplace_back(std::move(Id));
  if (Reader.error())
    return failure(*Reader.error());
  return Read;
}

} // namespace turmericdyke
