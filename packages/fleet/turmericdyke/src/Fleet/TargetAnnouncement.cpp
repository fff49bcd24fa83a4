#include "turmericdyke/src/Fleet/TargetAnnouncement.h"

#include "turmericdyke/src/Fleet/JsonReader.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr std::string_view TargetKindNames[] = {"model", "service"};
constexpr std::string_view TargetStateNames[] = {"idle", "loading", "ready",
                                                 "draining", "leaving"};

void readLoad(const nlohmann::json &Value, TargetLoad &Load,
              JsonReader &Outer) {
  JsonReader Reader(Value);
  Reader.number("running", Load.m_running)
      .number("waiting", Load.m_waiting)
      .number("running_long", Load.m_runningLong)
      .real("tokens_per_second", Load.m_tokensPerSecond)
      .number("lag_ms", Load.m_lagMs);
  if (Reader.error())
    Outer.fail("load", *Reader.error());
}

void readMembership(const nlohmann::json &Value, ReplicaMembership &Membership,
                    JsonReader &Outer) {
  JsonReader Reader(Value);
  Reader.id("replica", Membership.m_replica)
      .number("generation", Membership.m_generation)
      .number("rank", Membership.m_rank);
  if (Reader.error())
    Outer.fail("membership", *Reader.error());
}

void readCacheEvents(const nlohmann::json &Values,
                     std::vector<CacheEvent> &Events, JsonReader &Outer) {
  for (const nlohmann::json &Value : Values) {
    CacheEvent Event;
    JsonReader Reader(Value);
    Reader.number("sequence", Event.m_sequence)
        .number("prefix_hash", Event.m_prefixHash)
        .flag("evicted", Event.m_evicted);
    if (Reader.error())
      return Outer.fail("cache_events", *Reader.error());
    Events.push_back(Event);
  }
}

nlohmann::json membershipJson(const ReplicaMembership &Membership) {
  return {{"replica", Membership.m_replica.str()},
          {"generation", Membership.m_generation},
          {"rank", Membership.m_rank}};
}

} // namespace
} // namespace internal

std::string_view nameOf(TargetKind Kind) {
  return internal::TargetKindNames[static_cast<std::size_t>(Kind)];
}

std::string_view nameOf(TargetState State) {
  return internal::TargetStateNames[static_cast<std::size_t>(State)];
}

nlohmann::json toJson(const TargetAnnouncement &Announcement) {
  nlohmann::json Events = nlohmann::json::array();
  for (const CacheEvent &Event : Announcement.m_cacheEvents)
    Events.push_back({{"sequence", Event.m_sequence},
                      {"prefix_hash", Event.m_prefixHash},
                      {"evicted", Event.m_evicted}});
  const TargetLoad &Load = Announcement.m_load;
  return {{"target", Announcement.m_target.str()},
          {"incarnation", Announcement.m_incarnation},
          {"sequence", Announcement.m_sequence},
          {"host", Announcement.m_host.str()},
          {"fabric_domain", Announcement.m_fabricDomain.str()},
          {"failure_domain", Announcement.m_failureDomain.str()},
          {"accelerators", Announcement.m_accelerators},
          {"address", Announcement.m_address},
          {"kind", nameOf(Announcement.m_kind)},
          {"service", Announcement.m_service.str()},
          {"state", nameOf(Announcement.m_state)},
          {"engine_build", Announcement.m_engineBuild},
          {"spec", toJson(Announcement.m_spec)},
          {"membership", internal::membershipJson(Announcement.m_membership)},
          {"load",
           {{"running", Load.m_running},
            {"waiting", Load.m_waiting},
            {"running_long", Load.m_runningLong},
            {"tokens_per_second", Load.m_tokensPerSecond},
            {"lag_ms", Load.m_lagMs}}},
          {"checks_fencing", Announcement.m_checksFencing},
          {"highest_fence", Announcement.m_highestFencingToken},
          {"cache_events", std::move(Events)}};
}

Result<TargetAnnouncement, FleetError>
parseTargetAnnouncement(const nlohmann::json &Value) {
  TargetAnnouncement Read;
  internal::JsonReader Reader(Value);
  Reader.id("target", Read.m_target, true)
      .number("incarnation", Read.m_incarnation)
      .number("sequence", Read.m_sequence)
      .id("host", Read.m_host, true)
      .id("fabric_domain", Read.m_fabricDomain, true)
      .id("failure_domain", Read.m_failureDomain, true)
      .number("accelerators", Read.m_accelerators)
      .text("address", Read.m_address, true)
      .choice("kind", Read.m_kind, internal::TargetKindNames)
      .id("service", Read.m_service)
      .choice("state", Read.m_state, internal::TargetStateNames)
      .text("engine_build", Read.m_engineBuild)
      .flag("checks_fencing", Read.m_checksFencing)
      .number("highest_fence", Read.m_highestFencingToken);
  internal::readSpec(Reader, Read.m_spec);
  if (const nlohmann::json *Load = Reader.object("load"))
    internal::readLoad(*Load, Read.m_load, Reader);
  if (const nlohmann::json *Membership = Reader.object("membership"))
    internal::readMembership(*Membership, Read.m_membership, Reader);
  if (const nlohmann::json *Events = Reader.list("cache_events"))
    internal::readCacheEvents(*Events, Read.m_cacheEvents, Reader);
  if (Read.m_kind == TargetKind::Service && Read.m_service.empty())
    Reader.fail("service", "is missing for a plain service");
  if (Reader.error())
    return failure(*Reader.error());
  return Read;
}

} // namespace turmericdyke
