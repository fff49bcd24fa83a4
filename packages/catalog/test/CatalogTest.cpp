#include <doctest/doctest.h>

#include "turmericdyke/Catalog"

using namespace turmericdyke;

namespace {

Route route(const char *Name, const char *Host, const char *Prefix) {
  Route Made;
  Made.m_name = Name;
  Made.m_host = Host;
  Made.m_pathPrefix = Prefix;
  Made.m_services = {{ServiceId("llm"), 1}};
  return Made;
}

Catalog sound() {
  Catalog Made;
  Made.m_version = 1;
  ServiceEntry Service;
  Service.m_id = ServiceId("llm");
  Made.m_services.push_back(Service);
  Made.m_routes = {route("short", "h.example", "/a/"),
                   route("long", "h.example", "/a/b/")};
  Made.m_customers = {{CustomerId("one"), {"k1"}, std::nullopt},
                      {CustomerId("two"), {"k2"}, 3}};
  return Made;
}

} // namespace

// Guards against a document that is put in force although it cannot work.
TEST_CASE("each fault of a catalog is found") {
  CHECK_FALSE(findFault(sound()));
  Catalog Value = sound();
  Value.m_routes[0].m_services = {{ServiceId("none"), 1}};
  CHECK(findFault(Value));
  Value = sound();
  Value.m_routes[1].m_pathPrefix = "/a/";
  CHECK(findFault(Value));
  Value = sound();
  Value.m_routes[0].m_services[0].m_weight = 0;
  CHECK(findFault(Value));
  Value = sound();
  Value.m_routes[0].m_timeout = absl::ZeroDuration();
  CHECK(findFault(Value));
  Value = sound();
  Value.m_customers[1].m_keys = {"k1"};
  CHECK(findFault(Value));
  Value = sound();
  Value.m_customers[1].m_keys = {"k2", "k2"};
  CHECK_FALSE(findFault(Value));
}

TEST_CASE("the longest prefix of the host wins") {
  RouteTable Table(sound());
  CHECK(Table.find("h.example", "/a/x")->m_name == "short");
  CHECK(Table.find("H.example:80", "/a/b/x?q=/a/")->m_name == "long");
  CHECK(Table.find("h.example", "/a") == nullptr);
  CHECK(Table.find("other.example", "/a/x") == nullptr);
  CHECK(Table.find("h.example", "/x?/a/b/") == nullptr);
}

TEST_CASE("a key names its customer") {
  RouteTable Table(sound());
  CHECK(Table.customerOf("k2")->m_id == CustomerId("two"));
  CHECK(Table.customerOf("k3") == nullptr);
  CHECK(Table.customerOf("") == nullptr);
}
