#pragma once

#include <string>
#include <string_view>

namespace turmericdyke {

struct PlainService;
struct ServiceOperation;

/// The operation of a service that a method and path select, or null. Declared
/// paths are literal.
const ServiceOperation *findOperation(const PlainService &Service,
                                      std::string_view Method,
                                      std::string_view Path);

/// The path of the status query for an idempotency key. Characters of the key
/// that are not letters, digits, '-', '_', '.' or '~' are percent-encoded.
std::string statusPath(const ServiceOperation &Operation, std::string_view Key);

} // namespace turmericdyke
