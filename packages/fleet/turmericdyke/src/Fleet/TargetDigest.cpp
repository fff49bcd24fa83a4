#include "turmericdyke/src/Fleet/TargetDigest.h"

#include "turmericdyke/src/Fleet/JsonReader.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr std::size_t MaxDigestCacheEvents = 1024;

void readDigestEntry(const nlohmann::json &Value, DigestEntry &Entry,
                     JsonReader &Outer) {
  JsonReader Reader(Value);
  Reader.number("slot", Entry.m_slot).number("age_us", Entry.m_ageUs);
  if (Entry.m_slot >= MaxDigestEntries)
    Reader.fail("slot", "is out of range");
  if (Entry.m_ageUs < 0)
    Reader.fail("age_us", "is negative");
  if (const nlohmann::json *Announcement = Reader.object("target")) {
    auto Parsed = parseTargetAnnouncement(*Announcement);
    if (Parsed)
      Entry.m_announcement = std::move(Parsed.value());
    else
      Reader.fail("target", Parsed.error());
  } else {
    Reader.fail("target", "is missing");
  }
  if (Reader.error())
    Outer.fail("entries", *Reader.error());
}

void readDigestEntries(const nlohmann::json &Value, TargetDigest &Digest,
                       JsonReader &Reader) {
  auto Found = Value.find("entries");
  if (Found == Value.end())
    return;
  if (!Found->is_array() || Found->size() > MaxDigestEntries)
    return Reader.fail("entries", "is not a list of at most 4096 entries");
  Digest.m_entries.resize(Found->size());
  for (std::size_t Index = 0; Index < Found->size(); ++Index)
    readDigestEntry((*Found)[Index], Digest.m_entries[Index], Reader);
}

/// Loads are encoded as arrays without field names because they make up most of
/// a digest. A newer version may append elements.
nlohmann::json loadJson(const DigestLoad &Load) {
  nlohmann::json Events = nlohmann::json::array();
  for (const CacheEvent &Event : Load.m_cacheEvents)
    Events.push_back({Event.m_sequence, Event.m_prefixHash, Event.m_evicted});
  const TargetLoad &Value = Load.m_load;
  return {Load.m_slot,
          Load.m_sequence,
          Value.m_running,
          Value.m_waiting,
          Value.m_runningLong,
          Value.m_lagMs,
          Value.m_tokensPerSecond,
          std::move(Events)};
}

bool readCacheEvent(const nlohmann::json &Value, CacheEvent &Event) {
  if (!Value.is_array() || Value.size() < 3 || !Value[0].is_number_unsigned() ||
      !Value[1].is_number_unsigned() || !Value[2].is_boolean())
    return false;
  Event = {Value[0].get<std::uint64_t>(), Value[1].get<std::uint64_t>(),
           Value[2].get<bool>()};
  return true;
}

bool readLoad(const nlohmann::json &Value, DigestLoad &Load) {
  if (!Value.is_array() || Value.size() < 8 || !Value[7].is_array() ||
      Value[7].size() > MaxDigestCacheEvents)
    return false;
  for (std::size_t Index = 0; Index < 6; ++Index)
    if (!Value[Index].is_number_integer())
      return false;
  if (!Value[0].is_number_unsigned() || !Value[1].is_number_unsigned() ||
      !Value[6].is_number())
    return false;
  Load.m_slot = Value[0].get<std::uint64_t>();
  Load.m_sequence = Value[1].get<std::uint64_t>();
  Load.m_load = {Value[2].get<std::int64_t>(), Value[3].get<std::int64_t>(),
                 Value[4].get<std::int64_t>(), Value[6].get<double>(),
                 Value[5].get<std::int64_t>()};
  Load.m_cacheEvents.resize(Value[7].size());
  for (std::size_t Index = 0; Index < Value[7].size(); ++Index)
    if (!readCacheEvent(Value[7][Index], Load.m_cacheEvents[Index]))
      return false;
  return true;
}

void readLoads(const nlohmann::json &Value, TargetDigest &Digest,
               JsonReader &Reader) {
  auto Found = Value.find("loads");
  if (Found == Value.end())
    return;
  if (!Found->is_array() || Found->size() > MaxDigestEntries)
    return Reader.fail("loads", "is not a list of at most 4096 loads");
  Digest.m_loads.resize(Found->size());
  for (std::size_t Index = 0; Index < Found->size(); ++Index)
    if (!readLoad((*Found)[Index], Digest.m_loads[Index]))
      return Reader.fail("loads", "has a malformed load");
}

void readAges(const nlohmann::json &Value, TargetDigest &Digest,
              JsonReader &Reader) {
  auto Found = Value.find("ages");
  if (Found == Value.end())
    return;
  if (!Found->is_binary() || Found->get_binary().size() > MaxDigestEntries)
    return Reader.fail("ages", "is not a byte string of at most 4096 bytes");
  const nlohmann::json::binary_t &Bytes = Found->get_binary();
  Digest.m_ages.assign(Bytes.begin(), Bytes.end());
}

} // namespace
} // namespace internal

nlohmann::json toJson(const TargetDigest &Digest) {
  nlohmann::json Value = {{"from", Digest.m_from.str()},
                          {"incarnation", Digest.m_incarnation},
                          {"sequence", Digest.m_sequence},
                          {"sent_at_us", Digest.m_sentAtUs}};
  if (Digest.m_full)
    Value["full"] = true;
  if (Digest.m_requestFull)
    Value["request_full"] = true;
  Value["revision"] = Digest.m_revision;
  Value["lease"] = Digest.m_leaseValid;
  if (Digest.m_echoIncarnation != 0) {
    Value["echo_us"] = Digest.m_echoUs;
    Value["echo_held_us"] = Digest.m_echoHeldUs;
    Value["echo_incarnation"] = Digest.m_echoIncarnation;
  }
  if (!Digest.m_ages.empty())
    Value["ages"] = nlohmann::json::binary(
        std::vector<std::uint8_t>(Digest.m_ages.begin(), Digest.m_ages.end()));
  for (const DigestLoad &Load : Digest.m_loads)
    Value["loads"].push_back(internal::loadJson(Load));
  if (Digest.m_entries.empty())
    return Value;
  nlohmann::json &Entries = Value["entries"] = nlohmann::json::array();
  for (const DigestEntry &Entry : Digest.m_entries)
    Entries.push_back({{"slot", Entry.m_slot},
                       {"age_us", Entry.m_ageUs},
                       {"target", toJson(Entry.m_announcement)}});
  return Value;
}

Result<TargetDigest, FleetError>
parseTargetDigest(const nlohmann::json &Value) {
  TargetDigest Read;
  internal::JsonReader Reader(Value);
  Reader.id("from", Read.m_from, true)
      .number("incarnation", Read.m_incarnation)
      .number("sequence", Read.m_sequence)
      .flag("full", Read.m_full)
      .flag("request_full", Read.m_requestFull)
      .number("sent_at_us", Read.m_sentAtUs)
      .number("echo_us", Read.m_echoUs)
      .number("echo_held_us", Read.m_echoHeldUs)
      .number("echo_incarnation", Read.m_echoIncarnation)
      .number("revision", Read.m_revision)
      .flag("lease", Read.m_leaseValid);
  if (Read.m_echoHeldUs < 0)
    Reader.fail("echo_held_us", "is negative");
  if (!Reader.error()) {
    internal::readDigestEntries(Value, Read, Reader);
    internal::readLoads(Value, Read, Reader);
    internal::readAges(Value, Read, Reader);
  }
  if (Reader.error())
    return failure(*Reader.error());
  return Read;
}

} // namespace turmericdyke
