#pragma once

#include <string>
#include <string_view>

#include "absl/types/span.h"
#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Declaration/Declaration.h"
#include "turmericdyke/src/Declaration/DeclarationError.h"

namespace turmericdyke {

/// Name and content of a YAML file. Both views must outlive the call that they
/// are passed to.
struct FileText {
  std::string_view m_name;
  std::string_view m_text;
};

/// Reads and checks a declaration in YAML, see `docs/operators.md`. The first
/// error found is returned with file, line, field, what was found and what is
/// allowed.
Result<Declaration, DeclarationError>
parseDeclarationYaml(std::string_view Text, std::string_view FileName);

/// Reads several files as one declaration. A name may be defined in one file
/// only; a customer may refer to templates and services of any file.
Result<Declaration, DeclarationError>
parseDeclarationFiles(absl::Span<const FileText> Files);

/// Reads the canonical JSON form with the same checks.
Result<Declaration, DeclarationError>
parseDeclarationJson(std::string_view Text);

/// The canonical JSON form: all fields, sorted by name, without spaces. Equal
/// declarations have equal text. Resolved models are omitted because parsing
/// derives them.
std::string declarationJson(const Declaration &Declared);

} // namespace turmericdyke
