#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Declaration/DeclarationError.h"

namespace turmericdyke::internal {

enum class DocumentKind { Null, Scalar, List, Map };

/// How a scalar was written. The type of a plain YAML scalar is decided by the
/// field that reads it; the other forms have the type of their syntax.
enum class ScalarType { Plain, Text, Number, Boolean };

/// A value of a YAML or JSON document with its position. Both formats are read
/// into this tree, so that the same checks apply to both.
struct DocumentNode {
  DocumentKind m_kind = DocumentKind::Null;
  ScalarType m_type = ScalarType::Text;
  /// Text of a scalar.
  std::string m_text;
  /// Name in the enclosing map; empty in a list.
  std::string m_key;
  /// Line of the name, or of the value in a list, counted from 1; 0 for JSON.
  int m_line = 0;
  /// Entries of a list or map in the order of the document.
  std::vector<DocumentNode> m_entries;
};

/// Reads one YAML document. Rejects anchors, aliases, tags, duplicate names,
/// more than one document, and documents that exceed the limits in `Limits.h`.
Result<DocumentNode, DeclarationError>
parseYamlDocument(std::string_view Text, std::string_view FileName);

/// Reads a JSON document with the same limits.
Result<DocumentNode, DeclarationError> parseJsonDocument(std::string_view Text);

/// At most 64 bytes of `Text`, with all other than printable ASCII replaced by
/// `?`, for error messages.
std::string printable(std::string_view Text);

/// `printable(Text)` in double quotes.
std::string quotedText(std::string_view Text);

} // namespace turmericdyke::internal
