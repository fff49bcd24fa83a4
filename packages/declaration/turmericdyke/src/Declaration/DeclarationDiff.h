#pragma once

#include <string>
#include <vector>

#include "absl/types/span.h"
#include "turmericdyke/src/Declaration/Declaration.h"

namespace turmericdyke {

/// One difference between two declarations. The values are JSON text; an empty
/// text means that the path is absent on that side.
struct DeclarationChange {
  /// Path as in `DeclarationError`. An entry that exists on one side only is
  /// one change. Lists are compared as sets: each added or removed item is one
  /// change.
  std::string m_path;
  std::string m_before;
  std::string m_after;

  friend bool operator==(const DeclarationChange &,
                         const DeclarationChange &) = default;
};

/// The changes from `Old` to `New`, sorted by section, name and field. Equal
/// declarations have no changes.
std::vector<DeclarationChange> diffDeclarations(const Declaration &Old,
                                                const Declaration &New);

/// One line per change: `~ PATH: BEFORE -> AFTER`, `+ PATH: AFTER` or
/// `- PATH: BEFORE`.
std::string diffText(absl::Span<const DeclarationChange> Changes);

/// A JSON list of objects with `path` and, where present, `before` and `after`.
std::string diffJson(absl::Span<const DeclarationChange> Changes);

} // namespace turmericdyke
