#pragma once

#include <compare>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Fleet/FleetError.h"

namespace turmericdyke {

/// What a replica serves: model, adapters (sorted) and version. Two targets may
/// serve together only if their specs are equal.
struct ModelSpec {
  std::string m_model;
  std::vector<std::string> m_adapters;
  std::string m_version;

  friend auto operator<=>(const ModelSpec &, const ModelSpec &) = default;
};

nlohmann::json toJson(const ModelSpec &Spec);
Result<ModelSpec, FleetError> parseModelSpec(const nlohmann::json &Value);

namespace internal {

class JsonReader;

/// Reads the field `spec` of an object, if it has one.
void readSpec(JsonReader &Reader, ModelSpec &Spec);

} // namespace internal

} // namespace turmericdyke
