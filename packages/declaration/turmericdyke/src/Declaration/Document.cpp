#include "turmericdyke/src/Declaration/Document.h"

#include <sstream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/mark.h>
#include <yaml-cpp/parser.h>

#include "absl/strings/ascii.h"
#include "turmericdyke/src/Declaration/DocumentBuilder.h"
#include "turmericdyke/src/Declaration/Limits.h"

namespace turmericdyke::internal {

constexpr std::size_t MaxShownBytes = 64;

/// Thrown to stop yaml-cpp within a document; the builder holds the error.
struct ParsingStopped {};

/// Receives the events of the YAML parser. Aliases are refused instead of
/// expanded, so that a document cannot grow while it is read.
class YamlEvents final : public YAML::EventHandler {
public:
  explicit YamlEvents(DocumentBuilder &Builder) : m_builder(Builder) {}

  void OnDocumentStart(const YAML::Mark &) override {}
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark &Mark, YAML::anchor_t Anchor) override {
    checkAnchor(Mark, Anchor);
    scalar(Mark, DocumentKind::Null, ScalarType::Plain, "");
  }
  void OnAlias(const YAML::Mark &Mark, YAML::anchor_t) override {
    stopUnless(m_builder.fail(line(Mark), "an alias",
                              "no anchors or aliases; use a parameter"));
  }
  void OnScalar(const YAML::Mark &Mark, const std::string &Tag,
                YAML::anchor_t Anchor, const std::string &Value) override {
    checkAnchor(Mark, Anchor);
    // yaml-cpp gives plain scalars the tag `?` and quoted ones the tag `!`.
    if (Tag != "?" && Tag != "!")
      checkTag(Mark, Tag);
    scalar(Mark, DocumentKind::Scalar,
           Tag == "!" ? ScalarType::Text : ScalarType::Plain, Value);
  }
  void OnSequenceStart(const YAML::Mark &Mark, const std::string &Tag,
                       YAML::anchor_t Anchor,
                       YAML::EmitterStyle::value) override {
    container(Mark, Tag, Anchor, DocumentKind::List);
  }
  void OnSequenceEnd() override { stopUnless(m_builder.end()); }
  void OnMapStart(const YAML::Mark &Mark, const std::string &Tag,
                  YAML::anchor_t Anchor, YAML::EmitterStyle::value) override {
    container(Mark, Tag, Anchor, DocumentKind::Map);
  }
  void OnMapEnd() override { stopUnless(m_builder.end()); }

private:
  static int line(const YAML::Mark &Mark) { return Mark.line + 1; }
  static void stopUnless(bool Continue) {
    if (!Continue)
      throw ParsingStopped();
  }
  void checkAnchor(const YAML::Mark &Mark, YAML::anchor_t Anchor) {
    if (Anchor != 0)
      stopUnless(m_builder.fail(line(Mark), "an anchor",
                                "no anchors or aliases; use a parameter"));
  }
  void checkTag(const YAML::Mark &Mark, const std::string &Tag) {
    if (!Tag.empty() && Tag != "?")
      stopUnless(m_builder.fail(line(Mark),
                                fmt::format("the tag {}", quotedText(Tag)),
                                "values without a tag"));
  }
  void container(const YAML::Mark &Mark, const std::string &Tag,
                 YAML::anchor_t Anchor, DocumentKind Kind) {
    checkAnchor(Mark, Anchor);
    checkTag(Mark, Tag);
    if (m_builder.expectsKey())
      stopUnless(m_builder.fail(line(Mark), "a list or map as a name",
                                "text as a name"));
    stopUnless(m_builder.begin(Kind, line(Mark)));
  }
  void scalar(const YAML::Mark &Mark, DocumentKind Kind, ScalarType Type,
              const std::string &Text) {
    if (m_builder.expectsKey()) {
      stopUnless(m_builder.key(Text, line(Mark)));
      return;
    }
    DocumentNode Node;
    Node.m_kind = Kind;
    Node.m_type = Type;
    Node.m_text = Text;
    Node.m_line = line(Mark);
    stopUnless(m_builder.value(std::move(Node)));
  }

  DocumentBuilder &m_builder;
};

/// Receives the events of the JSON parser; the method names are those of
/// nlohmann-json's SAX interface.
class JsonEvents {
public:
  explicit JsonEvents(DocumentBuilder &Builder) : m_builder(Builder) {}

  // NOLINTBEGIN(readability-identifier-naming)
  bool null() { return scalar(DocumentKind::Null, ScalarType::Plain, ""); }
  bool boolean(bool Value) {
    return scalar(DocumentKind::Scalar, ScalarType::Boolean,
                  Value ? "true" : "false");
  }
  bool number_integer(std::int64_t Value) {
    return scalar(DocumentKind::Scalar, ScalarType::Number,
                  std::to_string(Value));
  }
  bool number_unsigned(std::uint64_t Value) {
    return scalar(DocumentKind::Scalar, ScalarType::Number,
                  std::to_string(Value));
  }
  bool number_float(double, const std::string &Written) {
    return scalar(DocumentKind::Scalar, ScalarType::Number, Written);
  }
  bool string(std::string &Value) {
    return scalar(DocumentKind::Scalar, ScalarType::Text, std::move(Value));
  }
  bool binary(nlohmann::json::binary_t &) { return false; }
  bool start_object(std::size_t) {
    return m_builder.begin(DocumentKind::Map, 0);
  }
  bool key(std::string &Name) { return m_builder.key(std::move(Name), 0); }
  bool end_object() { return m_builder.end(); }
  bool start_array(std::size_t) {
    return m_builder.begin(DocumentKind::List, 0);
  }
  bool end_array() { return m_builder.end(); }
  bool parse_error(std::size_t Position, const std::string &,
                   const nlohmann::json::exception &) {
    return m_builder.fail(0, fmt::format("a syntax error at byte {}", Position),
                          "a JSON document");
  }
  // NOLINTEND(readability-identifier-naming)

private:
  bool scalar(DocumentKind Kind, ScalarType Type, std::string Text) {
    DocumentNode Node;
    Node.m_kind = Kind;
    Node.m_type = Type;
    Node.m_text = std::move(Text);
    return m_builder.value(std::move(Node));
  }

  DocumentBuilder &m_builder;
};

Result<DocumentNode, DeclarationError>
finishDocument(DocumentBuilder &Builder) {
  if (!Builder.error() && !Builder.hasRoot())
    Builder.fail(0, "an empty document", "a declaration");
  if (Builder.error())
    return failure(*Builder.error());
  return Builder.takeRoot();
}

bool checkSize(std::string_view Text, DocumentBuilder &Builder) {
  return Text.size() <= MaxDeclarationBytes ||
         Builder.fail(0, fmt::format("{} bytes", Text.size()),
                      fmt::format("at most {} bytes", MaxDeclarationBytes));
}

Result<DocumentNode, DeclarationError>
parseYamlDocument(std::string_view Text, std::string_view FileName) {
  DocumentBuilder Builder(FileName);
  if (!checkSize(Text, Builder))
    return finishDocument(Builder);
  try {
    std::istringstream Input{std::string(Text)};
    YAML::Parser Parser(Input);
    YamlEvents Events(Builder);
    Parser.HandleNextDocument(Events);
    if (Parser)
      Builder.fail(0, "a second YAML document",
                   "one document in a file; use several files");
  } catch (const ParsingStopped &) {
    return finishDocument(Builder);
  } catch (const YAML::Exception &Error) {
    Builder.fail(Error.mark.line + 1, printable(Error.msg), "a YAML document");
  } catch (const std::exception &Error) {
    Builder.fail(0, quotedText(Error.what()), "a YAML document");
  }
  return finishDocument(Builder);
}

Result<DocumentNode, DeclarationError>
parseJsonDocument(std::string_view Text) {
  DocumentBuilder Builder("");
  if (checkSize(Text, Builder)) {
    JsonEvents Events(Builder);
    nlohmann::json::sax_parse(Text, &Events);
  }
  return finishDocument(Builder);
}

std::string printable(std::string_view Text) {
  std::string Shown(Text.substr(0, MaxShownBytes));
  for (char &C : Shown)
    if (!absl::ascii_isprint(static_cast<unsigned char>(C)))
      C = '?';
  return Shown + (Text.size() > MaxShownBytes ? "..." : "");
}

std::string quotedText(std::string_view Text) {
  return fmt::format("\"{}\"", printable(Text));
}

} // namespace turmericdyke::internal
