#pragma once

#include <string>
#include <string_view>

namespace turmericdyke {

struct PlainService;
struct ServiceOperation;

/// Returns the operation of a service with the given method and path, or null.
/// Declared paths are compared literally.
const ServiceOperation *findOperation(const PlainService &Service,
                                      std::string_view Method,
                                      std::string_view Path);

/// Returns the path of the status query for an idempotency key. Characters of
/// the key that are not letters, digits, '-', '_', '.' or '~' are
/// percent-encoded.
std::string statusPath(const ServiceOperation &Operation, std::string_view Key);

} // namespace turmericdyke
