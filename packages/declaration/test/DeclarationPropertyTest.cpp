#include <doctest/doctest.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <set>

#include "turmericdyke/Base"
#include "turmericdyke/Declaration"

using namespace turmericdyke;

namespace {

rc::Gen<std::string> genName() {
  return rc::gen::map(rc::gen::inRange(0, 5),
                      [](int N) { return fmt::format("n.{}", N); });
}

std::set<std::string> anyNames() {
  int Count = *rc::gen::inRange(0, 4);
  std::set<std::string> Names;
  while (Count-- > 0)
    Names.insert(*genName());
  return Names;
}

rc::Gen<absl::Duration> genDuration(int MinMs) {
  return rc::gen::map(rc::gen::inRange(MinMs, 86400001),
                      [](int Ms) { return absl::Milliseconds(Ms); });
}

ModelTemplate anyTemplate(const std::string &Name) {
  ModelTemplate Template;
  Template.m_id = TemplateId(Name);
  Template.m_parameters = {{"a", true, *genName()}, {"b", false, ""}};
  Template.m_fields = {{"model", *rc::gen::element<std::string>("m", "${a}")},
                       {"version", "v-${b}"}};
  if (*rc::gen::arbitrary<bool>())
    Template.m_fields["hosts_per_replica"] =
        std::to_string(*rc::gen::inRange(1, 65));
  if (*rc::gen::arbitrary<bool>())
    Template.m_fields["long_share"] = "0.125";
  Template.m_adapters = *rc::gen::element(
      std::vector<std::string>{}, std::vector<std::string>{"${a}", "x ${b}"});
  return Template;
}

PlainService anyService(const std::string &Name) {
  PlainService Service;
  Service.m_id = ServiceId(Name);
  Service.m_deadline = *genDuration(1);
  Service.m_operations = {{"a", "POST", "/a", false, "/a/{key}?full=1"},
                          {"b", "GET", "/" + *genName(), true, ""}};
  return Service;
}

Customer anyCustomer(const std::string &Name, const Declaration &Declared) {
  Customer Entry;
  Entry.m_id = CustomerId(Name);
  Entry.m_template = (*rc::gen::elementOf(Declared.m_templates)).first;
  Entry.m_parameters["b"] = *genName();
  if (*rc::gen::arbitrary<bool>())
    Entry.m_parameters["a"] = *genName();
  if (*rc::gen::arbitrary<bool>())
    Entry.m_keyHashes = {KeyHash::make(Name, *genName()).text()};
  Entry.m_capacity = *rc::gen::inRange(1, 1000001);
  Entry.m_capacityLimit =
      *rc::gen::inRange<std::int64_t>(Entry.m_capacity, 1000001);
  Entry.m_rank = *rc::gen::inRange(0, 10);
  Entry.m_firstTokenDeadline = *genDuration(1);
  Entry.m_deadline = std::max(Entry.m_firstTokenDeadline, *genDuration(1));
  Entry.m_longTokens = *rc::gen::inRange(1, 100000001);
  for (const auto &[Id, Service] : Declared.m_services)
    Entry.m_services.push_back(Id);
  Result<ResolvedModel, DeclarationError> Model = resolveModel(
      Declared.m_templates.at(Entry.m_template), Entry.m_parameters);
  RC_ASSERT(Model.has_value());
  Entry.m_resolved = Model.value();
  return Entry;
}

Declaration anyDeclaration() {
  Declaration Declared;
  Declared.m_templates.emplace("t", anyTemplate("t"));
  for (const std::string &Name : anyNames())
    Declared.m_templates.emplace(Name, anyTemplate(Name));
  for (const std::string &Name : anyNames())
    Declared.m_services.emplace(Name, anyService(Name));
  for (const std::string &Name : anyNames())
    Declared.m_customers.emplace(Name, anyCustomer(Name, Declared));
  return Declared;
}

/// Checks the invariants that other packages rely on, independently of the
/// parser.
bool satisfiesInvariants(const Declaration &Declared) {
  std::set<std::string> Hashes;
  for (const auto &[Id, Entry] : Declared.m_customers) {
    bool Valid =
        Declared.m_templates.contains(Entry.m_template) &&
        Entry.m_capacity >= 1 && Entry.m_capacityLimit >= Entry.m_capacity &&
        Entry.m_rank >= 0 && Entry.m_rank <= 9 &&
        Entry.m_firstTokenDeadline > absl::ZeroDuration() &&
        Entry.m_firstTokenDeadline <= Entry.m_deadline &&
        !Entry.m_resolved.m_model.empty() &&
        Entry.m_resolved.m_hostsPerReplica >= 1 &&
        Entry.m_resolved.m_longShare > 0 && Entry.m_resolved.m_longShare <= 1 &&
        Entry.m_resolved.m_model.find("${") == std::string::npos;
    for (const ServiceId &Service : Entry.m_services)
      Valid = Valid && Declared.m_services.contains(Service);
    for (const std::string &Hash : Entry.m_keyHashes)
      Valid = Valid && KeyHash::parse(Hash) && Hashes.insert(Hash).second;
    if (!Valid)
      return false;
  }
  return true;
}

void checkParseResult(const Result<Declaration, DeclarationError> &Read) {
  if (!Read) {
    RC_ASSERT(!Read.error().m_field.empty());
    RC_ASSERT(!Read.error().m_found.empty());
    RC_ASSERT(!Read.error().m_allowed.empty());
    return;
  }
  RC_TAG("accepted");
  RC_ASSERT(satisfiesInvariants(Read.value()));
  Result<Declaration, DeclarationError> Again =
      parseDeclarationJson(declarationJson(Read.value()));
  RC_ASSERT(Again.has_value());
  RC_ASSERT(Again.value() == Read.value());
}

/// Replaces, removes or repeats a few pieces of `Text`; the inserted pieces
/// include tokens with a special meaning in YAML and JSON.
std::string mutate(std::string Text) {
  int Steps = *rc::gen::inRange(1, 4);
  for (int Step = 0; Step < Steps && !Text.empty(); ++Step) {
    std::size_t Place = *rc::gen::inRange<std::size_t>(0, Text.size());
    std::size_t Length = *rc::gen::inRange<std::size_t>(0, 12);
    std::string Piece = *rc::gen::oneOf(
        rc::gen::just(std::string()), rc::gen::just(Text.substr(Place, 40)),
        rc::gen::element<std::string>("{", "}", "[", "]", "\"", ":", "\n", "-",
                                      "${", "*a", "&a", "0", "99999999999", "~",
                                      "\xff", "!", "|", "? ", "'", "\t", "#"),
        rc::gen::arbitrary<std::string>());
    Text.replace(Place, Length, Piece);
  }
  return Text;
}

/// The canonical JSON form with indentation, which is also valid YAML.
std::string indented(const Declaration &Declared) {
  return nlohmann::json::parse(declarationJson(Declared)).dump(1);
}

} // namespace

TEST_CASE("a generated declaration is unchanged after a round trip through the "
          "canonical form") {
  CHECK(rc::check([] {
    Declaration Declared = anyDeclaration();
    Result<Declaration, DeclarationError> Read =
        parseDeclarationJson(declarationJson(Declared));
    if (!Read)
      RC_FAIL(errorText(Read.error()));
    RC_ASSERT(Read.value() == Declared);
    RC_ASSERT(declarationJson(Read.value()) == declarationJson(Declared));
  }));
}

TEST_CASE("random and mutated documents neither crash a parser nor yield a "
          "declaration that violates the invariants") {
  CHECK(rc::check([] {
    std::string Bytes = *rc::gen::arbitrary<std::string>();
    checkParseResult(parseDeclarationYaml(Bytes, "f"));
    checkParseResult(parseDeclarationJson(Bytes));
  }));
  CHECK(rc::check([] {
    checkParseResult(
        parseDeclarationJson(mutate(declarationJson(anyDeclaration()))));
  }));
  CHECK(rc::check([] {
    checkParseResult(
        parseDeclarationYaml(mutate(indented(anyDeclaration())), "f"));
  }));
}

TEST_CASE(
    "the diff is empty if and only if the declarations are equal, and the "
    "reverse diff swaps before and after") {
  CHECK(rc::check([] {
    Declaration Old = anyDeclaration();
    Declaration New = anyDeclaration();
    RC_ASSERT(diffDeclarations(Old, Old).empty());
    std::vector<DeclarationChange> Forward = diffDeclarations(Old, New);
    RC_ASSERT(Forward.empty() == (Old == New));
    std::multiset<std::tuple<std::string, std::string, std::string>> Reverse;
    for (const DeclarationChange &Change : diffDeclarations(New, Old))
      Reverse.insert({Change.m_path, Change.m_after, Change.m_before});
    for (const DeclarationChange &Change : Forward)
      RC_ASSERT(
          Reverse.contains({Change.m_path, Change.m_before, Change.m_after}));
    RC_ASSERT(Reverse.size() == Forward.size());
    Old = parseDeclarationJson(declarationJson(New)).value();
    RC_ASSERT(Old == New);
    RC_ASSERT(diffDeclarations(Old, New).empty());
  }));
}

TEST_CASE("a diff lists changed fields, added and removed entries, and single "
          "list items, in a stable order") {
  std::string Before = R"({"templates":{"t":{"model":"m","version":"1",
    "adapters":["a","b"]}},"services":{},"customers":{
    "x":{"template":"t","capacity":1},"y":{"template":"t","capacity":2}}})";
  std::string After = R"({"templates":{"t":{"model":"m","version":"2",
    "adapters":["b","c"]}},"services":{},"customers":{
    "x":{"template":"t","capacity":1,"rank":2}}})";
  std::vector<DeclarationChange> Changes =
      diffDeclarations(parseDeclarationJson(Before).value(),
                       parseDeclarationJson(After).value());
  REQUIRE(Changes.size() == 5);
  Changes.erase(Changes.begin() + 1);
  CHECK(diffText(Changes) == "~ customers[x].rank: 5 -> 2\n"
                             "- templates[t].adapters: \"a\"\n"
                             "+ templates[t].adapters: \"c\"\n"
                             "~ templates[t].version: \"1\" -> \"2\"\n");
  nlohmann::json Listed = nlohmann::json::parse(diffJson(Changes));
  CHECK(Listed[1] ==
        nlohmann::json({{"path", "templates[t].adapters"}, {"before", "a"}}));
}
