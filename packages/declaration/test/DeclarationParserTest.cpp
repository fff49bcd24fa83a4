#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include "turmericdyke/Declaration"

using namespace turmericdyke;

namespace {

const std::string Hash = "sha256:00112233445566778899aabbccddeeff:"
                         "000102030405060708090a0b0c0d0e0f"
                         "101112131415161718191a1b1c1d1e1f";

const std::string Valid = R"(templates:
  signs:
    parameters:
      version: {}
      adapter: {default: ""}
    model: neon-70b
    version: ${version}
    adapters: [base, "${adapter}"]
    hosts_per_replica: 4
    long_share: 0.25
services:
  booking:
    operations:
      book:
        method: POST
        path: /bookings
        repeatable: false
        status_path: /bookings/by-key/{key}
      slots: {method: GET, path: /slots, repeatable: true}
customers:
  quito:
    template: signs
    parameters: {version: 3, adapter: repair}
    capacity: 8
    capacity_limit: 16
    first_token_deadline: 500ms
    deadline: 2m
    services: [booking]
    key_hashes:
      - )" + Hash + "\n";

/// `Valid` with the first `From` replaced by `To`.
std::string validWith(std::string_view From, std::string_view To) {
  std::string Text = Valid;
  std::size_t Place = Text.find(From);
  REQUIRE(Place != std::string::npos);
  return Text.replace(Place, From.size(), To);
}

std::string errorOf(const std::string &Text) {
  Result<Declaration, DeclarationError> Read =
      parseDeclarationYaml(Text, "a.yaml");
  return Read ? "no error" : errorText(Read.error());
}

struct InvalidEdit {
  std::string_view m_from;
  std::string_view m_to;
  std::string_view m_error;
};

} // namespace

TEST_CASE("a valid declaration is read with all of its fields") {
  Result<Declaration, DeclarationError> Read =
      parseDeclarationYaml(Valid, "a.yaml");
  REQUIRE_MESSAGE(Read.has_value(), errorOf(Valid));
  const Customer &Quito = Read.value().m_customers.at(CustomerId("quito"));
  CHECK(Quito.m_resolved.m_version == "3");
  CHECK(Quito.m_resolved.m_adapters ==
        std::vector<std::string>{"base", "repair"});
  CHECK(Quito.m_resolved.m_hostsPerReplica == 4);
  CHECK(Quito.m_resolved.m_longShare == 0.25);
  CHECK(Quito.m_firstTokenDeadline == absl::Milliseconds(500));
  CHECK(Quito.m_deadline == absl::Minutes(2));
  CHECK(Quito.m_keyHashes == std::vector<std::string>{Hash});
  const PlainService &Booking =
      Read.value().m_services.at(ServiceId("booking"));
  REQUIRE(Booking.m_operations.size() == 2);
  CHECK_FALSE(Booking.m_operations[0].m_repeatable);
  CHECK(Booking.m_operations[1].m_repeatable);
}

TEST_CASE("each invalid declaration is rejected with line, field and allowed "
          "values") {
  const InvalidEdit InvalidEdits[] = {
      {"capacity: 8", "capcity: 8",
       "a.yaml:24: customers[quito].capcity: found an unknown field"},
      {"    capacity: 8\n", "",
       "customers[quito].capacity: found nothing; allowed: the field is req"},
      {"capacity: 8", "capacity: \"8\"", "found the text \"8\""},
      {"capacity: 8", "capacity: 08", "a whole number from 1"},
      {"capacity: 8", "capacity: 0", "a whole number from 1 to 1000000"},
      {"capacity: 8", "capacity: 99999999999999999999", "a whole number"},
      {"capacity_limit: 16", "capacity_limit: 7",
       "a.yaml:25: customers[quito].capacity_limit: found \"7\"; allowed: a "
       "whole number from 8"},
      {"500ms", "500", "such as 500ms"},
      {"500ms", "3m", "at most the deadline, 2m"},
      {"version: 3, ", "", "found no value for templates[signs].parameters[v"},
      {"version: 3", "version: 3, x: 4", "a value for an undefined parameter"},
      {"version: 3", "version: \"${adapter}\"", "literal text without ${"},
      {"version: 3", "version: \"\"", "from \"${version}\""},
      {"${version}", "${verson}",
       "a.yaml:7: templates[signs].version: found \"${verson}\"; allowed: "
       "${name} with one of the parameters adapter, version"},
      {"${version}", "${version", "found \"${version\""},
      {"\"${adapter}\"", "\"${none}\"", "a.yaml:8: templates[signs].adapters"},
      {"hosts_per_replica: 4", "hosts_per_replica: four", "found \"four\""},
      {"0.25", "1.5", "above 0, at most 1"},
      {"0.25", "inf", "above 0, at most 1"},
      {"    model: neon-70b\n", "", "templates[signs].model: found nothing"},
      {"template: signs", "template: sings", "the unknown template \"sings\""},
      {"[booking]", "[booking, desk]", "the unknown service \"desk\""},
      {"[booking]", "[booking, booking]", "\"booking\" a second time"},
      {"[booking]", "booking", "a list"},
      {"path: /slots", "path: /bookings/", "no empty or dot segments"},
      {"method: GET, path: /slots", "method: POST, path: /bookings",
       "each method and path once"},
      {"method: GET", "method: get", "DELETE, GET"},
      {"repeatable: true", "repeatable: yes", "true or false"},
      {", repeatable: true", "", "repeatable: found nothing"},
      {"by-key/{key}", "by-key", "a path with {key} once"},
      {"  quito:", "  qui to:", "letters, digits"},
      {"capacity: 8", "capacity: 8\n    capacity: 9", "each name once"},
      {"template: signs", "template: &a signs", "an anchor"},
      {"template: signs", "template: !!str signs", "the tag"},
      {"template: signs", "? [a]\n    : b", "a list or map as a name"},
      {"[booking]", "[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]",
       "at most 16 nested levels"},
      {"customers:", "customers: [", "a YAML document"},
      {"customers:", "clients:", "templates, customers, services"},
      {"    key_hashes:", "---\n    key_hashes:", "one document"},
  };
  for (const InvalidEdit &Each : InvalidEdits) {
    std::string Error = errorOf(validWith(Each.m_from, Each.m_to));
    CAPTURE(Error);
    CHECK_MESSAGE(Error.find(Each.m_error) != std::string::npos, Each.m_error);
  }
}

TEST_CASE("the error for a malformed key hash does not show the text, which "
          "may be a key") {
  std::string Error = errorOf(validWith(Hash, "sk-secret-1"));
  CHECK(Error.find("a.yaml:30") != std::string::npos);
  CHECK(Error.find("secret") == std::string::npos);
  CHECK(Error.find("hash_key") != std::string::npos);
}

TEST_CASE("a key hash of two customers is rejected regardless of letter case, "
          "as requests could be billed to either") {
  std::string Upper = Hash;
  Upper.replace(Upper.find("aabb"), 4, "AABB");
  std::string Error =
      errorOf(Valid +
              "  cuenca:\n    template: signs\n    parameters: "
              "{version: 3}\n    capacity: 1\n    key_hashes: [\"" +
              Upper + "\"]\n");
  CHECK(Error.find("a key hash of customer quito a second time") !=
        std::string::npos);
}

TEST_CASE("an alias expansion bomb is rejected at the first anchor") {
  CHECK(errorOf("a: &a [x,x]\nb: &b [*a,*a]\nc: &c [*b,*b]\n")
            .find("an anchor") != std::string::npos);
}

TEST_CASE("documents and lists above the limits are rejected") {
  CHECK(errorOf(std::string(MaxDeclarationBytes + 1, ' ')).find("at most") !=
        std::string::npos);
  std::string Many = "customers:\n";
  for (std::size_t Count = 0; Count <= MaxCustomers; ++Count)
    Many += fmt::format("  c{}: {{}}\n", Count);
  CHECK(errorOf(Many).find("10001 entries; allowed: at most 10000") !=
        std::string::npos);
  std::string Values = "x: [";
  for (int Count = 0; Count < 700000; ++Count)
    Values += "1,";
  CHECK(errorOf(Values + "1]").find("at most 600000 values") !=
        std::string::npos);
}

TEST_CASE("10,000 customers with one key each are within the limits") {
  std::string Text = "templates: {t: {model: m, version: 1}}\ncustomers:\n";
  for (std::size_t Count = 0; Count < MaxCustomers; ++Count)
    Text += fmt::format("  customer-{0}: {{template: t, capacity: 1, "
                        "key_hashes: [\"sha256:{0:032x}:{0:064x}\"]}}\n",
                        Count);
  Result<Declaration, DeclarationError> Read = parseDeclarationYaml(Text, "a");
  REQUIRE_MESSAGE(Read.has_value(), errorOf(Text));
  CHECK(parseDeclarationJson(declarationJson(Read.value())).has_value());
}

TEST_CASE("several files form one declaration, and a name defined in two files "
          "is rejected with both locations") {
  std::size_t Place = Valid.find("customers:");
  std::string First = Valid.substr(0, Place);
  std::string Second = Valid.substr(Place);
  const FileText Files[] = {{"2.yaml", Second}, {"1.yaml", First}};
  Result<Declaration, DeclarationError> Read = parseDeclarationFiles(Files);
  REQUIRE(Read.has_value());
  CHECK(Read.value() == parseDeclarationYaml(Valid, "a").value());
  const FileText Twice[] = {{"1.yaml", First}, {"2.yaml", Valid}};
  Read = parseDeclarationFiles(Twice);
  REQUIRE_FALSE(Read.has_value());
  CHECK(errorText(Read.error()) ==
        "2.yaml:2: templates[signs]: found a second definition; allowed: one "
        "definition; the first is at 1.yaml:2");
}

TEST_CASE("the empty declaration, which revision 0 holds, can be read back") {
  Result<Declaration, DeclarationError> Read =
      parseDeclarationJson(declarationJson(Declaration()));
  REQUIRE(Read.has_value());
  CHECK(Read.value() == Declaration());
  CHECK_FALSE(parseDeclarationJson("").has_value());
  CHECK_FALSE(parseDeclarationYaml("# nothing\n", "a").has_value());
  CHECK(errorOf(":").find("a.yaml:1: \"\": found an unknown") == 0);
}

TEST_CASE("JSON is checked like YAML, duplicate names included") {
  CHECK_FALSE(parseDeclarationJson(R"({"customers":{},"customers":{}})"));
  CHECK_FALSE(parseDeclarationJson(R"({"customers":[]})"));
  CHECK_FALSE(parseDeclarationJson(R"({"unknown":{}})"));
  CHECK_FALSE(parseDeclarationJson("{\"customers\":{\"\xff\":{}}}"));
  CHECK_FALSE(parseDeclarationJson(std::string(100000, '[')));
  std::string Json = declarationJson(parseDeclarationYaml(Valid, "a").value());
  std::size_t Place = Json.find("\"capacity\":8");
  REQUIRE(Place != std::string::npos);
  CHECK_FALSE(
      parseDeclarationJson(Json.replace(Place, 12, "\"capacity\":\"8\"")));
}
