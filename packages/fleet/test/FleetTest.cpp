#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "turmericdyke/Fleet"

using namespace turmericdyke;

namespace {

nlohmann::json validAnnouncement() {
  TargetAnnouncement Announcement;
  Announcement.m_target = TargetId("t1");
  Announcement.m_host = HostId("h1");
  Announcement.m_fabricDomain = FabricDomainId("f1");
  Announcement.m_failureDomain = FailureDomainId("d1");
  Announcement.m_address = "127.0.0.1:9000";
  Announcement.m_spec.m_adapters = {"a", "b"};
  Announcement.m_cacheEvents = {{7, 99, true}};
  return toJson(Announcement);
}

} // namespace

TEST_CASE("an announcement is unchanged after serialization and parsing") {
  Result<TargetAnnouncement, FleetError> Read =
      parseTargetAnnouncement(validAnnouncement());
  REQUIRE(Read.has_value());
  CHECK(toJson(Read.value()) == validAnnouncement());
}

TEST_CASE(
    "a field of a wrong type is rejected and named in the error, not read "
    "as its default") {
  const nlohmann::json Valid = validAnnouncement();
  for (const auto &[Field, Value] : Valid.items()) {
    nlohmann::json Invalid = Valid;
    Invalid[Field] =
        Value.is_array() ? nlohmann::json(3) : nlohmann::json::array({nullptr});
    Result<TargetAnnouncement, FleetError> Read =
        parseTargetAnnouncement(Invalid);
    REQUIRE_FALSE(Read.has_value());
    CHECK(Read.error().m_field.find(Field) != std::string::npos);
  }
}

TEST_CASE("unknown fields are ignored, so that newer targets can announce to "
          "older nodes") {
  nlohmann::json Newer = validAnnouncement();
  Newer["introduced_later"] = 1;
  CHECK(parseTargetAnnouncement(Newer).has_value());
}

TEST_CASE("overlong text and lists are rejected") {
  nlohmann::json Long = validAnnouncement();
  Long["host"] = std::string(257, 'x');
  CHECK_FALSE(parseTargetAnnouncement(Long).has_value());
  Long = validAnnouncement();
  Long["cache_events"] = nlohmann::json::array();
  for (int Count = 0; Count < 1025; ++Count)
    Long["cache_events"].push_back(nlohmann::json::object());
  CHECK_FALSE(parseTargetAnnouncement(Long).has_value());
}

TEST_CASE(
    "orders and assignments are unchanged after serialization and parsing") {
  Order Sent;
  Sent.m_id = "o1";
  Sent.m_target = TargetId("t1");
  Sent.m_kind = OrderKind::Release;
  Sent.m_fencingToken = 12;
  REQUIRE(parseOrder(toJson(Sent)).has_value());
  CHECK(toJson(parseOrder(toJson(Sent)).value()) == toJson(Sent));
  Assignment Stored;
  Stored.m_replica = ReplicaId("r1");
  Stored.m_members = {{TargetId("t1"), HostId("h1"), 4}};
  REQUIRE(parseAssignment(toJson(Stored)).has_value());
  CHECK(parseAssignment(toJson(Stored)).value() == Stored);
}
