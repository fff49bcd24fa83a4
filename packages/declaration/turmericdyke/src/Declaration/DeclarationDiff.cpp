#include "turmericdyke/src/Declaration/DeclarationDiff.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "turmericdyke/src/Declaration/DeclarationJson.h"

namespace turmericdyke {

namespace internal {
namespace {

using Json = nlohmann::json;
using Changes = std::vector<DeclarationChange>;

/// Maps whose keys are names chosen by operators.
constexpr std::string_view NamedMaps[] = {
    "customers", "operations", "parameters", "services", "templates"};

std::string childPath(const std::string &Path, std::string_view Field,
                      bool Named) {
  if (Named)
    return fmt::format("{}[{}]", Path, Field);
  return Path.empty() ? std::string(Field) : fmt::format("{}.{}", Path, Field);
}

bool isNamedMap(std::string_view Field) {
  return std::find(std::begin(NamedMaps), std::end(NamedMaps), Field) !=
         std::end(NamedMaps);
}

std::string valueText(const Json *Value) {
  return Value == nullptr
             ? ""
             : Value->dump(-1, ' ', false, Json::error_handler_t::replace);
}

const Json *findField(const Json &Object, const std::string &Field) {
  auto Found = Object.find(Field);
  return Found == Object.end() ? nullptr : &*Found;
}

void diffLists(const std::string &Path, const Json &Old, const Json &New,
               Changes &Found) {
  for (const Json &Item : Old)
    if (std::find(New.begin(), New.end(), Item) == New.end())
      Found.push_back({Path, valueText(&Item), ""});
  for (const Json &Item : New)
    if (std::find(Old.begin(), Old.end(), Item) == Old.end())
      Found.push_back({Path, "", valueText(&Item)});
}

void diffMaps(const std::string &Path, const Json &Old, const Json &New,
              bool Named, Changes &Found);

void diffValues(const std::string &Path, const Json *Old, const Json *New,
                bool Named, Changes &Found) {
  bool Both = Old != nullptr && New != nullptr;
  if (Both && *Old == *New)
    return;
  if (Both && Old->is_object() && New->is_object())
    diffMaps(Path, *Old, *New, Named, Found);
  else if (Both && Old->is_array() && New->is_array())
    diffLists(Path, *Old, *New, Found);
  else
    Found.push_back({Path, valueText(Old), valueText(New)});
}

void diffMaps(const std::string &Path, const Json &Old, const Json &New,
              bool Named, Changes &Found) {
  std::set<std::string> Fields;
  for (const Json *Side : {&Old, &New})
    for (const auto &[Field, Value] : Side->items())
      Fields.insert(Field);
  for (const std::string &Field : Fields)
    // A name chosen by an operator is never treated as one of `NamedMaps`, even
    // if it equals one of them.
    diffValues(childPath(Path, Field, Named), findField(Old, Field),
               findField(New, Field), !Named && isNamedMap(Field), Found);
}

} // namespace
} // namespace internal

std::vector<DeclarationChange> diffDeclarations(const Declaration &Old,
                                                const Declaration &New) {
  std::vector<DeclarationChange> Found;
  const nlohmann::json Before = internal::declarationTree(Old);
  const nlohmann::json After = internal::declarationTree(New);
  internal::diffMaps("", Before, After, false, Found);
  return Found;
}

std::string diffText(absl::Span<const DeclarationChange> Changes) {
  std::string Text;
  for (const DeclarationChange &Change : Changes) {
    if (Change.m_before.empty())
      Text += fmt::format("+ {}: {}\n", Change.m_path, Change.m_after);
    else if (Change.m_after.empty())
      Text += fmt::format("- {}: {}\n", Change.m_path, Change.m_before);
    else
      Text += fmt::format("~ {}: {} -> {}\n", Change.m_path, Change.m_before,
                          Change.m_after);
  }
  return Text;
}

std::string diffJson(absl::Span<const DeclarationChange> Changes) {
  nlohmann::json List = nlohmann::json::array();
  for (const DeclarationChange &Change : Changes) {
    nlohmann::json Entry = {{"path", Change.m_path}};
    if (!Change.m_before.empty())
      Entry["before"] = nlohmann::json::parse(Change.m_before);
    if (!Change.m_after.empty())
      Entry["after"] = nlohmann::json::parse(Change.m_after);
    List.push_back(std::move(Entry));
  }
  return List.dump();
}

} // namespace turmericdyke
