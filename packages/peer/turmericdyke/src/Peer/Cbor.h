#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Peer/PeerError.h"

namespace turmericdyke::internal {

std::string toCbor(const nlohmann::json &Value);

/// Reads one CBOR value that fills `Bytes`. Nesting is bounded because the
/// parser of the library recurses, and the number of values is bounded because
/// a value of one byte takes 16 bytes of memory.
Result<nlohmann::json, PeerError> fromCbor(std::string_view Bytes);

/// The bytes of a CBOR byte string in `Field` of an object; nullopt if it is
/// absent, of another type or longer than `MaxBytes`.
std::optional<std::string> bytesField(const nlohmann::json &Object,
                                      const char *Field, std::size_t MaxBytes);

nlohmann::json bytesValue(std::string_view Bytes);

} // namespace turmericdyke::internal
