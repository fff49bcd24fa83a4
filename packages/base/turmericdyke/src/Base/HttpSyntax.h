#pragma once

namespace turmericdyke {

/// Whether `Status` is a status code of HTTP: 100 to 599 (RFC 9110, section
/// 15). Parsers accept other numbers too.
bool isStatusCode(int Status);

} // namespace turmericdyke
