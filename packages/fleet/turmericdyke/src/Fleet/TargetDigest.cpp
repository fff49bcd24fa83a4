#include "turmericdyke/src/Fleet/TargetDigest.h"

#include "turmericdyke/src/Fleet/JsonReader.h"

namespace turmericdyke {

namespace internal {
namespace {

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
    internal::readAges(Value, Read, Reader);
  }
  if (Reader.error())
    return failure(*Reader.error());
  return Read;
}

} // namespace turmericdyke
