#pragma once

#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "turmericdyke/src/Declaration/Document.h"

namespace turmericdyke::internal {

/// Builds a tree from the events of a YAML or JSON parser and enforces the
/// limits. Each function returns false once an error was found; later events
/// are ignored.
class DocumentBuilder {
public:
  explicit DocumentBuilder(std::string_view FileName);

  bool key(std::string Name, int Line);
  bool value(DocumentNode Node);
  bool begin(DocumentKind Kind, int Line);
  bool end();
  bool fail(int Line, std::string Found, std::string Allowed);

  /// Whether the innermost open node is a map that expects a name next.
  bool expectsKey() const;
  const std::optional<DeclarationError> &error() const { return m_error; }
  bool hasRoot() const { return m_root.has_value(); }
  DocumentNode takeRoot();

private:
  struct Frame {
    DocumentNode m_node;
    std::optional<std::string> m_key;
    int m_keyLine = 0;
    absl::flat_hash_set<std::string> m_names;
  };

  bool countValue(int Line);
  std::string path() const;
  void attach(DocumentNode Node);

  std::string m_fileName;
  std::vector<Frame> m_frames;
  std::optional<DocumentNode> m_root;
  std::size_t m_values = 0;
  std::optional<DeclarationError> m_error;
};

} // namespace turmericdyke::internal
