#pragma once

#include <algorithm>
#include <string_view>

namespace turmericdyke {

/// Whether `Status` is a status code of HTTP: 100 to 599 (RFC 9110, section
/// 15). Parsers accept other numbers too.
bool isStatusCode(int Status);

/// Whether `Text` is the name of a header field: a token (RFC 9110, section
/// 5.6.2).
bool isFieldName(std::string_view Text);

/// Whether a final response may have this status and these header fields, pairs
/// of name and value. For heads that were read by a library which accepts any
/// number and any bytes, as cpp-httplib does.
template <class Fields>
bool isFinalResponse(int Status, const Fields &HeaderFields) {
  constexpr int FirstFinalStatus = 200;
  return Status >= FirstFinalStatus && isStatusCode(Status) &&
         std::all_of(
             HeaderFields.begin(), HeaderFields.end(),
             [](const auto &Field) { return isFieldName(Field.first); });
}

} // namespace turmericdyke
