#include "turmericdyke/src/Fleet/ModelSpec.h"

#include <algorithm>

#include "turmericdyke/src/Fleet/JsonReader.h"

namespace turmericdyke {

nlohmann::json toJson(const ModelSpec &Spec) {
  return {{"model", Spec.m_model},
          {"adapters", Spec.m_adapters},
          {"version", Spec.m_version}};
}

Result<ModelSpec, FleetError> parseModelSpec(const nlohmann::json &Value) {
  ModelSpec Spec;
  internal::JsonReader Reader(Value);
  Reader.text("model", Spec.m_model).text("version", Spec.m_version);
  if (const nlohmann::json *Adapters = Reader.list("adapters"))
    for (const nlohmann::json &Adapter : *Adapters) {
      if (!Adapter.is_string()) {
        Reader.fail("adapters", "holds an entry that is not text");
        break;
      }
      Spec.m_adapters.push_back(Adapter.get<std::string>());
    }
  std::sort(Spec.m_adapters.begin(), Spec.m_adapters.end());
  if (Reader.error())
    return failure(*Reader.error());
  return Spec;
}

void internal::readSpec(JsonReader &Reader, ModelSpec &Spec) {
  const nlohmann::json *Value = Reader.object("spec");
  if (Value == nullptr)
    return;
  Result<ModelSpec, FleetError> Parsed = parseModelSpec(*Value);
  if (Parsed)
    Spec = std::move(Parsed).value();
  else
    Reader.fail("spec", Parsed.error());
}

} // namespace turmericdyke
