#include "turmericdyke/src/Declaration/DocumentBuilder.h"

#include <cassert>
#include <utility>

#include <fmt/format.h>

#include "turmericdyke/src/Declaration/Limits.h"

namespace turmericdyke::internal {

DocumentBuilder::DocumentBuilder(std::string_view FileName)
    : m_fileName(FileName) {}

bool DocumentBuilder::expectsKey() const {
  return !m_frames.empty() &&
         m_frames.back().m_node.m_kind == DocumentKind::Map &&
         !m_frames.back().m_key;
}

bool DocumentBuilder::key(std::string Name, int Line) {
  if (m_error)
    return false;
  assert(expectsKey() && "a name belongs before each value of a map");
  if (!countValue(Line))
    return false;
  Frame &Top = m_frames.back();
  if (Name.size() > MaxTextBytes)
    return fail(Line, fmt::format("a name of {} bytes", Name.size()),
                fmt::format("names of at most {} bytes", MaxTextBytes));
  if (!Top.m_names.insert(Name).second)
    return fail(Line, fmt::format("{} a second time", quotedText(Name)),
                "each name once");
  Top.m_key = std::move(Name);
  Top.m_keyLine = Line;
  return true;
}

bool DocumentBuilder::value(DocumentNode Node) {
  if (m_error || !countValue(Node.m_line))
    return false;
  attach(std::move(Node));
  return true;
}

bool DocumentBuilder::begin(DocumentKind Kind, int Line) {
  if (m_error || !countValue(Line))
    return false;
  if (m_frames.size() >= MaxDocumentDepth)
    return fail(Line, fmt::format("more than {} levels", MaxDocumentDepth),
                fmt::format("at most {} nested levels", MaxDocumentDepth));
  Frame Next;
  Next.m_node.m_kind = Kind;
  Next.m_node.m_line = Line;
  m_frames.push_back(std::move(Next));
  return true;
}

bool DocumentBuilder::end() {
  if (m_error)
    return false;
  assert(!m_frames.empty() && "an end belongs to a begin");
  DocumentNode Node = std::move(m_frames.back().m_node);
  m_frames.pop_back();
  attach(std::move(Node));
  return true;
}

bool DocumentBuilder::fail(int Line, std::string Found, std::string Allowed) {
  if (!m_error)
    m_error = DeclarationError{m_fileName, Line, path(), std::move(Found),
                               std::move(Allowed)};
  return false;
}

DocumentNode DocumentBuilder::takeRoot() {
  assert(m_root && "the document must be complete");
  return std::move(*m_root);
}

bool DocumentBuilder::countValue(int Line) {
  if (++m_values > MaxDocumentValues)
    return fail(Line, fmt::format("more than {} values", MaxDocumentValues),
                fmt::format("at most {} values", MaxDocumentValues));
  return true;
}

std::string DocumentBuilder::path() const {
  std::string Path;
  for (const Frame &Level : m_frames)
    if (Level.m_key)
      Path +=
          fmt::format("{}{}", Path.empty() ? "" : ".", printable(*Level.m_key));
  return Path.empty() ? "document" : Path;
}

void DocumentBuilder::attach(DocumentNode Node) {
  if (m_frames.empty()) {
    m_root = std::move(Node);
    return;
  }
  Frame &Top = m_frames.back();
  if (Top.m_key) {
    Node.m_key = std::move(*Top.m_key);
    Node.m_line = Top.m_keyLine;
    Top.m_key.reset();
  }
  Top.m_node.m_entries.push_back(std::move(Node));
}

} // namespace turmericdyke::internal
