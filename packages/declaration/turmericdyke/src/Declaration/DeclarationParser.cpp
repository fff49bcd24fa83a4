#include "turmericdyke/src/Declaration/DeclarationParser.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "absl/strings/ascii.h"
#include "turmericdyke/src/Base/KeyHash.h"
#include "turmericdyke/src/Declaration/Document.h"
#include "turmericdyke/src/Declaration/FieldReader.h"
#include "turmericdyke/src/Declaration/Limits.h"
#include "turmericdyke/src/Declaration/TemplateResolution.h"

namespace turmericdyke {

namespace internal {
namespace {

/// A document together with the file it came from.
struct SourceDocument {
  std::string m_file;
  DocumentNode m_root;
};

constexpr std::string_view Sections[] = {"templates", "customers", "services"};
constexpr std::string_view TemplateFields[] = {"accelerators_per_host",
                                               "adapters",
                                               "hosts_per_replica",
                                               "long_share",
                                               "model",
                                               "parameters",
                                               "patch_policy",
                                               "slots_per_replica",
                                               "version"};
constexpr std::string_view ScalarTemplateFields[] = {
    "accelerators_per_host", "hosts_per_replica", "long_share", "model",
    "patch_policy",          "slots_per_replica", "version"};
constexpr std::string_view ParameterFields[] = {"default"};
constexpr std::string_view ServiceFields[] = {"deadline", "operations"};
constexpr std::string_view OperationFields[] = {"method", "path", "repeatable",
                                                "status_path"};
constexpr std::string_view CustomerFields[] = {
    "capacity",   "capacity_limit", "deadline",   "first_token_deadline",
    "key_hashes", "long_tokens",    "parameters", "rank",
    "services",   "template"};
constexpr std::string_view Methods[] = {"DELETE", "GET",  "HEAD",
                                        "PATCH",  "POST", "PUT"};

std::string entryPath(std::string_view Section, std::string_view Name) {
  return fmt::format("{}[{}]", Section, printable(Name));
}

bool isNameCharacter(char C) {
  return absl::ascii_isalnum(static_cast<unsigned char>(C)) || C == '.' ||
         C == '_' || C == '-';
}

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameBytes &&
         absl::ascii_isalnum(static_cast<unsigned char>(Text.front())) &&
         std::all_of(Text.begin(), Text.end(), isNameCharacter);
}

bool isPathCharacter(char C) {
  return absl::ascii_isgraph(static_cast<unsigned char>(C)) && C != '?' &&
         C != '#' && C != '%' && C != '\\' && C != '{' && C != '}';
}

/// A path is compared with the path of a request byte by byte, so forms that
/// other software would normalize are rejected.
bool isPath(std::string_view Text) {
  return Text.size() > 1 && Text.front() == '/' && Text.back() != '/' &&
         Text.find("//") == std::string_view::npos &&
         Text.find("/.") == std::string_view::npos &&
         std::all_of(Text.begin(), Text.end(), isPathCharacter);
}

constexpr std::string_view KeyPlaceholder = "{key}";

/// A status path must contain the key placeholder: a query without the key
/// could not identify the call. The placeholder may be in the path or in the
/// query string.
bool isStatusPath(std::string Text) {
  std::size_t Place = Text.find(KeyPlaceholder);
  if (Place == std::string::npos)
    return false;
  Text.replace(Place, KeyPlaceholder.size(), "key");
  std::size_t Query = Text.find('?');
  if (Query != std::string::npos)
    Text[Query] = '_';
  return isPath(Text);
}

/// Validates documents and builds a declaration. Templates and services of all
/// files are read before the customers, which refer to them.
class DeclarationBuilder {
public:
  Result<Declaration, DeclarationError>
  build(absl::Span<const SourceDocument> Documents);

private:
  using ReadEntry = void (DeclarationBuilder::*)(const DocumentNode &);

  void readSection(absl::Span<const SourceDocument> Documents,
                   std::string_view Section, std::size_t MaxEntries,
                   ReadEntry Read);
  void checkEntryName(std::string_view Section, const DocumentNode &Entry);
  bool checkName(const DocumentNode &Entry, const std::string &Path);

  void readTemplate(const DocumentNode &Entry);
  void readParameters(FieldReader &Fields, ModelTemplate &Template);
  void readAdapters(FieldReader &Fields, ModelTemplate &Template);

  void readService(const DocumentNode &Entry);
  void readOperation(const DocumentNode &Entry, const std::string &Path,
                     PlainService &Service);
  void checkOperation(FieldReader &Fields, const ServiceOperation &Operation,
                      const PlainService &Service);

  void readCustomer(const DocumentNode &Entry);
  void readValues(FieldReader &Fields, Customer &Read);
  void readKeyHashes(FieldReader &Fields, Customer &Read);
  void readServices(FieldReader &Fields, Customer &Read);
  void resolve(FieldReader &Fields, Customer &Read);

  Declaration m_declaration;
  ErrorSink m_sink;
  /// Maps section and name to file and line of the definition.
  std::map<std::pair<std::string, std::string>, std::string> m_defined;
  /// Maps a key hash to the customer that declares it.
  std::map<std::string, CustomerId> m_keyOwners;
};

Result<Declaration, DeclarationError>
DeclarationBuilder::build(absl::Span<const SourceDocument> Documents) {
  for (const SourceDocument &Document : Documents) {
    m_sink.setFile(Document.m_file);
    FieldReader(Document.m_root, "", Sections, m_sink);
  }
  readSection(Documents, "templates", MaxTemplates,
              &DeclarationBuilder::readTemplate);
  readSection(Documents, "services", MaxServices,
              &DeclarationBuilder::readService);
  readSection(Documents, "customers", MaxCustomers,
              &DeclarationBuilder::readCustomer);
  if (m_sink.error())
    return failure(*m_sink.error());
  // Defaults that the files leave out are written in the canonical form.
  std::size_t Bytes = declarationJson(m_declaration).size();
  if (Bytes > MaxDeclarationBytes)
    return failure(DeclarationError{
        "", 0, "document", fmt::format("{} bytes of canonical JSON", Bytes),
        fmt::format("at most {} bytes", MaxDeclarationBytes)});
  return std::move(m_declaration);
}

void DeclarationBuilder::readSection(absl::Span<const SourceDocument> Documents,
                                     std::string_view Section,
                                     std::size_t MaxEntries, ReadEntry Read) {
  std::size_t Entries = 0;
  for (const SourceDocument &Document : Documents) {
    m_sink.setFile(Document.m_file);
    FieldReader Fields(Document.m_root, "", Sections, m_sink);
    const DocumentNode *Found = Fields.map(Section, Presence::Optional);
    if (Found == nullptr)
      continue;
    Entries += Found->m_entries.size();
    if (Entries > MaxEntries)
      Fields.fail(Section, fmt::format("{} entries", Entries),
                  fmt::format("at most {} entries", MaxEntries));
    for (const DocumentNode &Entry : Found->m_entries) {
      if (m_sink.error())
        return;
      checkEntryName(Section, Entry);
      (this->*Read)(Entry);
    }
  }
}

void DeclarationBuilder::checkEntryName(std::string_view Section,
                                        const DocumentNode &Entry) {
  std::string Path = entryPath(Section, Entry.m_key);
  if (!checkName(Entry, Path))
    return;
  std::string Place = fmt::format("{}:{}", m_sink.file(), Entry.m_line);
  auto [First, Added] =
      m_defined.try_emplace({std::string(Section), Entry.m_key}, Place);
  if (!Added)
    m_sink.fail(
        Entry.m_line, Path, "a second definition",
        fmt::format("one definition; the first is at {}", First->second));
}

bool DeclarationBuilder::checkName(const DocumentNode &Entry,
                                   const std::string &Path) {
  if (isName(Entry.m_key))
    return true;
  m_sink.fail(Entry.m_line, Path,
              fmt::format("the name {}", quotedText(Entry.m_key)),
              fmt::format("a name of 1 to {} letters, digits, '.', '_' and "
                          "'-' that starts with a letter or digit",
                          MaxNameBytes));
  return false;
}

void DeclarationBuilder::readTemplate(const DocumentNode &Entry) {
  std::string Path = entryPath("templates", Entry.m_key);
  FieldReader Fields(Entry, Path, TemplateFields, m_sink);
  ModelTemplate Template;
  Template.m_id = TemplateId(Entry.m_key);
  readParameters(Fields, Template);
  for (std::string_view Field : ScalarTemplateFields) {
    const DocumentNode *Found = Fields.find(Field, Presence::Optional);
    if (Found == nullptr)
      continue;
    std::optional<std::string> Text =
        readScalarText(*Found, Fields.path(Field), m_sink);
    if (Text)
      Template.m_fields.emplace(Field, std::move(*Text));
  }
  readAdapters(Fields, Template);
  if (m_sink.error())
    return;
  Result<void, DeclarationError> Checked = checkTemplate(Template);
  if (!Checked) {
    DeclarationError Error = Checked.error();
    std::string Field = Error.m_field.substr(Path.size() + 1);
    Error.m_file = m_sink.file();
    Error.m_line = Fields.line(Field.substr(0, Field.find('[')));
    m_sink.fail(std::move(Error));
  }
  m_declaration.m_templates.emplace(Template.m_id, std::move(Template));
}

void DeclarationBuilder::readParameters(FieldReader &Fields,
                                        ModelTemplate &Template) {
  const DocumentNode *Found = Fields.map("parameters", Presence::Optional);
  if (Found == nullptr)
    return;
  for (const DocumentNode &Entry : Found->m_entries) {
    std::string Path = fmt::format("{}[{}]", Fields.path("parameters"),
                                   printable(Entry.m_key));
    if (!checkName(Entry, Path))
      return;
    TemplateParameter Parameter;
    Parameter.m_name = Entry.m_key;
    FieldReader Inner(Entry, Path, ParameterFields, m_sink);
    const DocumentNode *Default = Inner.find("default", Presence::Optional);
    if (Default != nullptr) {
      Parameter.m_hasDefault = true;
      Parameter.m_default =
          readScalarText(*Default, Inner.path("default"), m_sink).value_or("");
    }
    Template.m_parameters.push_back(std::move(Parameter));
  }
  if (Template.m_parameters.size() > MaxListEntries)
    Fields.fail("parameters",
                fmt::format("{} entries", Template.m_parameters.size()),
                fmt::format("at most {} entries", MaxListEntries));
  std::sort(Template.m_parameters.begin(), Template.m_parameters.end(),
            [](const TemplateParameter &A, const TemplateParameter &B) {
              return A.m_name < B.m_name;
            });
}

void DeclarationBuilder::readAdapters(FieldReader &Fields,
                                      ModelTemplate &Template) {
  const DocumentNode *Found = Fields.list("adapters", Presence::Optional);
  if (Found == nullptr)
    return;
  std::set<std::string> Seen;
  for (const DocumentNode &Entry : Found->m_entries) {
    std::optional<std::string> Text =
        readText(Entry, Fields.path("adapters"), m_sink);
    if (!Text)
      return;
    if (!Seen.insert(*Text).second)
      m_sink.fail(Entry.m_line, Fields.path("adapters"),
                  fmt::format("{} a second time", quotedText(*Text)),
                  "each adapter once");
  }
  Template.m_adapters.assign(Seen.begin(), Seen.end());
}

void DeclarationBuilder::readService(const DocumentNode &Entry) {
  std::string Path = entryPath("services", Entry.m_key);
  FieldReader Fields(Entry, Path, ServiceFields, m_sink);
  PlainService Service;
  Service.m_id = ServiceId(Entry.m_key);
  Fields.duration("deadline", Service.m_deadline, Presence::Optional);
  const DocumentNode *Found = Fields.map("operations", Presence::Required);
  if (Found == nullptr)
    return;
  std::size_t Count = Found->m_entries.size();
  if (Count == 0 || Count > MaxListEntries)
    Fields.fail("operations", fmt::format("{} entries", Count),
                fmt::format("1 to {} entries", MaxListEntries));
  for (const DocumentNode &Operation : Found->m_entries)
    readOperation(Operation, Fields.path("operations"), Service);
  std::sort(Service.m_operations.begin(), Service.m_operations.end(),
            [](const ServiceOperation &A, const ServiceOperation &B) {
              return A.m_name < B.m_name;
            });
  m_declaration.m_services.emplace(Service.m_id, std::move(Service));
}

void DeclarationBuilder::readOperation(const DocumentNode &Entry,
                                       const std::string &Path,
                                       PlainService &Service) {
  std::string OwnPath = entryPath(Path, Entry.m_key);
  if (!checkName(Entry, OwnPath))
    return;
  FieldReader Fields(Entry, OwnPath, OperationFields, m_sink);
  ServiceOperation Operation;
  Operation.m_name = Entry.m_key;
  Fields.text("method", Operation.m_method, Presence::Required);
  Fields.text("path", Operation.m_path, Presence::Required);
  Fields.flag("repeatable", Operation.m_repeatable, Presence::Required);
  Fields.text("status_path", Operation.m_statusPath, Presence::Optional);
  if (m_sink.error())
    return;
  checkOperation(Fields, Operation, Service);
  Service.m_operations.push_back(std::move(Operation));
}

void DeclarationBuilder::checkOperation(FieldReader &Fields,
                                        const ServiceOperation &Operation,
                                        const PlainService &Service) {
  bool Known = std::find(std::begin(Methods), std::end(Methods),
                         Operation.m_method) != std::end(Methods);
  if (!Known)
    Fields.fail("method", quotedText(Operation.m_method),
                "DELETE, GET, HEAD, PATCH, POST or PUT");
  if (!isPath(Operation.m_path))
    Fields.fail("path", quotedText(Operation.m_path),
                "a path such as /bookings: a leading and no trailing slash, no "
                "empty or dot segments, no ? # % \\ { }");
  if (!Operation.m_statusPath.empty() && Operation.m_repeatable)
    Fields.fail("status_path", "a status path on a repeatable operation",
                "a status path on once-only operations only");
  if (!Operation.m_statusPath.empty() && !isStatusPath(Operation.m_statusPath))
    Fields.fail("status_path", quotedText(Operation.m_statusPath),
                "a path with {key} once, such as /bookings/by-key/{key}");
  for (const ServiceOperation &Other : Service.m_operations)
    if (Other.m_method == Operation.m_method &&
        Other.m_path == Operation.m_path)
      Fields.fail("path",
                  fmt::format("{} {} as in operation {}", Operation.m_method,
                              quotedText(Operation.m_path), Other.m_name),
                  "each method and path once in a service");
}

void DeclarationBuilder::readCustomer(const DocumentNode &Entry) {
  FieldReader Fields(Entry, entryPath("customers", Entry.m_key), CustomerFields,
                     m_sink);
  Customer Read;
  Read.m_id = CustomerId(Entry.m_key);
  std::string Template;
  Fields.text("template", Template, Presence::Required);
  Read.m_template = TemplateId(Template);
  Fields.integer("capacity", Read.m_capacity, 1, MaxCapacity,
                 Presence::Required);
  Read.m_capacityLimit = Read.m_capacity;
  Fields.integer("capacity_limit", Read.m_capacityLimit, Read.m_capacity,
                 MaxCapacity, Presence::Optional);
  Fields.integer("rank", Read.m_rank, 0, MaxRank, Presence::Optional);
  Fields.duration("first_token_deadline", Read.m_firstTokenDeadline,
                  Presence::Optional);
  Fields.duration("deadline", Read.m_deadline, Presence::Optional);
  if (Read.m_firstTokenDeadline > Read.m_deadline)
    Fields.fail(
        "first_token_deadline", durationText(Read.m_firstTokenDeadline),
        fmt::format("at most the deadline, {}", durationText(Read.m_deadline)));
  Fields.integer("long_tokens", Read.m_longTokens, 1, MaxLongTokens,
                 Presence::Optional);
  readValues(Fields, Read);
  readKeyHashes(Fields, Read);
  readServices(Fields, Read);
  resolve(Fields, Read);
  m_declaration.m_customers.emplace(Read.m_id, std::move(Read));
}

void DeclarationBuilder::readValues(FieldReader &Fields, Customer &Read) {
  const DocumentNode *Found = Fields.map("parameters", Presence::Optional);
  if (Found == nullptr)
    return;
  for (const DocumentNode &Entry : Found->m_entries) {
    std::string Path = fmt::format("{}[{}]", Fields.path("parameters"),
                                   printable(Entry.m_key));
    std::optional<std::string> Value = readScalarText(Entry, Path, m_sink);
    if (!Value)
      return;
    Read.m_parameters.emplace(Entry.m_key, std::move(*Value));
  }
}

void DeclarationBuilder::readKeyHashes(FieldReader &Fields, Customer &Read) {
  const DocumentNode *Found = Fields.list("key_hashes", Presence::Optional);
  if (Found == nullptr)
    return;
  for (const DocumentNode &Entry : Found->m_entries) {
    std::optional<KeyHash> Hash;
    if (Entry.m_kind == DocumentKind::Scalar &&
        Entry.m_text.size() <= MaxTextBytes)
      Hash = KeyHash::parse(Entry.m_text);
    if (!Hash) {
      // The text may be a key that was pasted by mistake, so it is not shown.
      m_sink.fail(
          Entry.m_line, Fields.path("key_hashes"),
          fmt::format("{} bytes that are not a key hash", Entry.m_text.size()),
          "sha256:SALT_HEX:DIGEST_HEX as written by "
          "turmericctl hash_key");
      return;
    }
    auto [Owner, Added] = m_keyOwners.try_emplace(Hash->text(), Read.m_id);
    if (!Added)
      m_sink.fail(Entry.m_line, Fields.path("key_hashes"),
                  fmt::format("a key hash of customer {} a second time",
                              Owner->second.str()),
                  "each key hash once");
    Read.m_keyHashes.push_back(Hash->text());
  }
  std::sort(Read.m_keyHashes.begin(), Read.m_keyHashes.end());
}

void DeclarationBuilder::readServices(FieldReader &Fields, Customer &Read) {
  const DocumentNode *Found = Fields.list("services", Presence::Optional);
  if (Found == nullptr)
    return;
  std::set<ServiceId> Seen;
  for (const DocumentNode &Entry : Found->m_entries) {
    std::optional<std::string> Text =
        readText(Entry, Fields.path("services"), m_sink);
    if (!Text)
      return;
    ServiceId Service(*Text);
    if (!m_declaration.m_services.contains(Service))
      m_sink.fail(Entry.m_line, Fields.path("services"),
                  fmt::format("the unknown service {}", quotedText(*Text)),
                  "a service that the declaration defines");
    if (!Seen.insert(Service).second)
      m_sink.fail(Entry.m_line, Fields.path("services"),
                  fmt::format("{} a second time", quotedText(*Text)),
                  "each service once");
  }
  Read.m_services.assign(Seen.begin(), Seen.end());
}

void DeclarationBuilder::resolve(FieldReader &Fields, Customer &Read) {
  if (m_sink.error())
    return;
  auto Template = m_declaration.m_templates.find(Read.m_template);
  if (Template == m_declaration.m_templates.end()) {
    Fields.fail("template",
                fmt::format("the unknown template {}",
                            quotedText(Read.m_template.str())),
                "a template that the declaration defines");
    return;
  }
  Result<ResolvedModel, DeclarationError> Model =
      resolveModel(Template->second, Read.m_parameters);
  if (!Model) {
    // The template passed its check, so the customer's values cause the error.
    Fields.fail(
        "parameters",
        fmt::format("{} for {}", Model.error().m_found, Model.error().m_field),
        Model.error().m_allowed);
    return;
  }
  Read.m_resolved = std::move(Model.value());
}

} // namespace
} // namespace internal

Result<Declaration, DeclarationError>
parseDeclarationYaml(std::string_view Text, std::string_view FileName) {
  const FileText File = {FileName, Text};
  return parseDeclarationFiles({&File, 1});
}

Result<Declaration, DeclarationError>
parseDeclarationFiles(absl::Span<const FileText> Files) {
  std::size_t Bytes = 0;
  std::vector<internal::SourceDocument> Documents;
  for (const FileText &File : Files) {
    Bytes += File.m_text.size();
    if (Bytes > MaxDeclarationBytes)
      return failure(DeclarationError{
          std::string(File.m_name), 0, "document",
          fmt::format("{} bytes in all files", Bytes),
          fmt::format("at most {} bytes", MaxDeclarationBytes)});
    Result<internal::DocumentNode, DeclarationError> Root =
        internal::parseYamlDocument(File.m_text, File.m_name);
    if (!Root)
      return failure(Root.error());
    Documents.push_back({std::string(File.m_name), std::move(Root.value())});
  }
  return internal::DeclarationBuilder().build(Documents);
}

Result<Declaration, DeclarationError>
parseDeclarationJson(std::string_view Text) {
  Result<internal::DocumentNode, DeclarationError> Root =
      internal::parseJsonDocument(Text);
  if (!Root)
    return failure(Root.error());
  std::vector<internal::SourceDocument> Documents;
  Documents.push_back({"", std::move(Root.value())});
  return internal::DeclarationBuilder().build(Documents);
}

} // namespace turmericdyke
