#include "turmericdyke/src/Ctl/TextTable.h"

#include <algorithm>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "absl/strings/ascii.h"

namespace turmericdyke::internal {

using Cells = std::vector<std::string>;

std::string cellText(const nlohmann::json &Value) {
  std::string Text;
  if (Value.is_array()) {
    for (const nlohmann::json &Item : Value)
      Text += fmt::format("{}{}", Text.empty() ? "" : ",", cellText(Item));
  } else if (Value.is_string()) {
    Text = Value.get<std::string>();
  } else if (!Value.is_null()) {
    Text = Value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  }
  // Names come from targets, and control characters in them could manipulate
  // the terminal.
  for (char &C : Text)
    if (absl::ascii_iscntrl(static_cast<unsigned char>(C)))
      C = '?';
  return Text.empty() ? "-" : Text;
}

Cells rowCells(const nlohmann::json &Row,
               absl::Span<const std::string_view> Fields) {
  Cells Line;
  for (std::string_view Field : Fields) {
    bool Present = Row.is_object() && Row.contains(std::string(Field));
    Line.push_back(Present ? cellText(Row.at(std::string(Field))) : "-");
  }
  return Line;
}

std::string textTable(const nlohmann::json &Rows,
                      absl::Span<const std::string_view> Fields) {
  std::vector<Cells> Lines = {Cells(Fields.begin(), Fields.end())};
  for (const nlohmann::json &Row : Rows)
    Lines.push_back(rowCells(Row, Fields));
  std::vector<std::size_t> Widths(Fields.size(), 0);
  for (const Cells &Line : Lines)
    for (std::size_t Column = 0; Column < Line.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Line[Column].size());
  std::string Text;
  for (const Cells &Line : Lines) {
    std::string Padded;
    for (std::size_t Column = 0; Column < Line.size(); ++Column)
      Padded += fmt::format("{:<{}}", Line[Column], Widths[Column] + 2);
    Text += Padded.substr(0, Padded.find_last_not_of(' ') + 1) + "\n";
  }
  return Text;
}

} // namespace turmericdyke::internal
