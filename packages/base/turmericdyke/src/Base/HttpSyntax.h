#pragma once

#include <string_view>

namespace turmericdyke {

/// Whether `Status` is a status code of HTTP: 100 to 599 (RFC 9110, section
/// 15). Parsers accept other numbers too.
bool isStatusCode(int Status);

/// Whether `Text` is the name of a header field: a token (RFC 9110, section
/// 5.6.2).
bool isFieldName(std::string_view Text);

} // namespace turmericdyke
