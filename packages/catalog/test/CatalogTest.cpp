#include <doctest/doctest.h>

#include "turmericdyke/Catalog"

using namespace turmericdyke;

namespace {

Route route(const char *Name, const char *Host, const char *Prefix) {
  Route Value;
  Value.m_name = Name;
  Value.m_host = Host;
  Value.m_pathPrefix = Prefix;
  Value.m_services = {{ServiceId("llm"), 1}};
  return Value;
}

Catalog validCatalog() {
  Catalog Value;
  Value.m_version = 1;
  ServiceEntry Service;
  Service.m_id = ServiceId("llm");
  Value.m_services.push_back(Service);
  Value.m_routes = {route("short", "h.example", "/a/"),
                    route("long", "h.example", "/a/b/")};
  Value.m_customers = {{CustomerId("one"), {"k1"}, std::nullopt},
                       {CustomerId("two"), {"k2"}, 3}};
  return Value;
}

} // namespace

// Guards against putting an invalid document in force.
TEST_CASE("every kind of catalog error is reported") {
  CHECK_FALSE(validateCatalog(validCatalog()));
  Catalog Value = validCatalog();
  Value.m_routes[0].m_services = {{ServiceId("none"), 1}};
  CHECK(validateCatalog(Value));
  Value = validCatalog();
  Value.m_routes[1].m_pathPrefix = "/a/";
  CHECK(validateCatalog(Value));
  Value = validCatalog();
  Value.m_routes[0].m_services[0].m_weight = 0;
  CHECK(validateCatalog(Value));
  Value = validCatalog();
  Value.m_routes[0].m_timeout = absl::ZeroDuration();
  CHECK(validateCatalog(Value));
  Value = validCatalog();
  Value.m_customers[1].m_keys = {"k1"};
  CHECK(validateCatalog(Value));
  Value = validCatalog();
  Value.m_customers[1].m_keys = {"k2", "k2"};
  CHECK_FALSE(validateCatalog(Value));
}

TEST_CASE("the longest prefix of the host wins") {
  RouteTable Table(validCatalog());
  CHECK(Table.find("h.example", "/a/x")->m_name == "short");
  CHECK(Table.find("H.example:80", "/a/b/x?q=/a/")->m_name == "long");
  CHECK(Table.find("h.example", "/a") == nullptr);
  CHECK(Table.find("other.example", "/a/x") == nullptr);
  CHECK(Table.find("h.example", "/x?/a/b/") == nullptr);
}

TEST_CASE("a key identifies its customer") {
  RouteTable Table(validCatalog());
  CHECK(Table.customerOf("k2")->m_id == CustomerId("two"));
  CHECK(Table.customerOf("k3") == nullptr);
  CHECK(Table.customerOf("") == nullptr);
}

// Guards against a need that leaves out what limits a batch: a response of 170
// tokens takes one pass of 5 steps if 34 requests share it, two if only half of
// them fit into memory, and a longer prompt takes as many passes as its chunks.
TEST_CASE("a request occupies a replica for its share of the passes") {
  EngineCosts Engine;
  Engine.m_slots = 34;
  Engine.m_stepsPerPass = 5;
  Engine.m_stepTime = absl::Milliseconds(6);
  Engine.m_prefillTokensPerSecond = 50000;
  Engine.m_prefillChunk = 100;
  EngineModel Model;
  Model.m_pace = 2;
  auto Time = [&](double Prompt, double Output) {
    return replicaTimePerRequest(Engine, Model, Prompt, Output);
  };
  CHECK(Time(500, 170) == absl::Milliseconds(2 * (10 + 30)));
  CHECK(Time(1000, 170) == absl::Milliseconds(2 * (20 + 60)));
  Engine.m_kvCapacityTokens = 11390;
  CHECK(Time(500, 170) == absl::Milliseconds(2 * (10 + 60)));
}
