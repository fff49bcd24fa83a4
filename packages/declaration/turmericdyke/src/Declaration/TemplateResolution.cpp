#include "turmericdyke/src/Declaration/TemplateResolution.h"

#include <algorithm>
#include <optional>
#include <string_view>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "absl/strings/numbers.h"
#include "turmericdyke/src/Declaration/Document.h"
#include "turmericdyke/src/Declaration/FieldReader.h"
#include "turmericdyke/src/Declaration/Limits.h"

namespace turmericdyke {

namespace internal {

using ParameterValues = std::map<std::string, std::string>;
using CheckResult = Result<void, DeclarationError>;

constexpr std::string_view ReferenceStart = "${";

DeclarationError templateError(const ModelTemplate &Template,
                               std::string_view Field, std::string Found,
                               std::string Allowed) {
  return {"", 0, fmt::format("templates[{}].{}", Template.m_id.str(), Field),
          std::move(Found), std::move(Allowed)};
}

/// Replaces each `${name}` in `Text`; nullopt if a reference is malformed or
/// has no value, with that reference in `InvalidReference`.
std::optional<std::string> substitute(std::string_view Text,
                                      const ParameterValues &Values,
                                      std::string &InvalidReference) {
  std::string Replaced;
  while (true) {
    std::size_t Start = Text.find(ReferenceStart);
    Replaced += Text.substr(0, Start);
    if (Start == std::string_view::npos)
      return Replaced;
    Text.remove_prefix(Start);
    std::size_t End = Text.find('}');
    InvalidReference =
        Text.substr(0, End == std::string_view::npos ? End : End + 1);
    if (End == std::string_view::npos)
      return std::nullopt;
    auto Value =
        Values.find(std::string(Text.substr(ReferenceStart.size(), End - 2)));
    if (Value == Values.end())
      return std::nullopt;
    Replaced += Value->second;
    Text.remove_prefix(End + 1);
  }
}

bool setText(std::string &Member, const std::string &Text) {
  Member = Text;
  return !Text.empty() && Text.size() <= MaxTextBytes;
}

bool setInteger(std::int64_t &Member, const std::string &Text,
                std::int64_t Max) {
  std::optional<std::int64_t> Value = parseInteger(Text);
  Member = Value.value_or(0);
  return Member >= 1 && Member <= Max;
}

bool setShare(double &Member, const std::string &Text) {
  // SimpleAtod also accepts signs, exponents, "inf" and "nan".
  bool Decimal = Text.find_first_not_of("0123456789.") == std::string::npos;
  return Decimal && absl::SimpleAtod(Text, &Member) && Member > 0 &&
         Member <= 1;
}

bool setPolicy(EnginePatchPolicy &Member, const std::string &Text) {
  Member =
      Text == "reload" ? EnginePatchPolicy::Reload : EnginePatchPolicy::Accept;
  return Text == "reload" || Text == "accept";
}

/// Reads one field of a template into the resolved model.
struct ModelField {
  std::string_view m_name;
  std::string m_allowed;
  bool (*m_set)(ResolvedModel &, const std::string &);
};

const std::vector<ModelField> &modelFields() {
  static const std::vector<ModelField> Fields = {
      {"accelerators_per_host",
       fmt::format("a whole number from 1 to {}", MaxAcceleratorsPerHost),
       [](ResolvedModel &Model, const std::string &Text) {
         return setInteger(Model.m_acceleratorsPerHost, Text,
                           MaxAcceleratorsPerHost);
       }},
      {"hosts_per_replica",
       fmt::format("a whole number from 1 to {}", MaxHostsPerReplica),
       [](ResolvedModel &Model, const std::string &Text) {
         return setInteger(Model.m_hostsPerReplica, Text, MaxHostsPerReplica);
       }},
      {"long_share", "a decimal number above 0, at most 1",
       [](ResolvedModel &Model, const std::string &Text) {
         return setShare(Model.m_longShare, Text);
       }},
      {"model", fmt::format("text of 1 to {} bytes", MaxTextBytes),
       [](ResolvedModel &Model, const std::string &Text) {
         return setText(Model.m_model, Text);
       }},
      {"patch_policy", "accept or reload",
       [](ResolvedModel &Model, const std::string &Text) {
         return setPolicy(Model.m_patchPolicy, Text);
       }},
      {"slots_per_replica",
       fmt::format("a whole number from 1 to {}", MaxSlotsPerReplica),
       [](ResolvedModel &Model, const std::string &Text) {
         return setInteger(Model.m_slotsPerReplica, Text, MaxSlotsPerReplica);
       }},
      {"version", fmt::format("text of 1 to {} bytes", MaxTextBytes),
       [](ResolvedModel &Model, const std::string &Text) {
         return setText(Model.m_version, Text);
       }}};
  return Fields;
}

std::vector<std::string_view> modelFieldNames() {
  std::vector<std::string_view> Names;
  for (const ModelField &Field : modelFields())
    Names.push_back(Field.m_name);
  return Names;
}

std::vector<std::string_view> parameterNames(const ModelTemplate &Template) {
  std::vector<std::string_view> Names;
  for (const TemplateParameter &Parameter : Template.m_parameters)
    Names.push_back(Parameter.m_name);
  return Names;
}

std::string allowedReferences(const ModelTemplate &Template) {
  if (Template.m_parameters.empty())
    return "no reference, as the template declares no parameter";
  return fmt::format("${{name}} with one of the parameters {}",
                     fmt::join(parameterNames(Template), ", "));
}

CheckResult checkParameters(const ModelTemplate &Template,
                            const ParameterValues &Values) {
  std::vector<std::string_view> Names = parameterNames(Template);
  for (const auto &[Name, Value] : Values) {
    std::string Field = fmt::format("parameters[{}]", printable(Name));
    if (std::find(Names.begin(), Names.end(), Name) == Names.end())
      return templateError(
          Template, Field, "a value for an undefined parameter",
          Names.empty() ? "no parameters"
                        : fmt::format("{}", fmt::join(Names, ", ")));
    if (Value.find(ReferenceStart) != std::string::npos)
      return templateError(Template, Field, quotedText(Value),
                           "literal text without ${");
  }
  for (const TemplateParameter &Parameter : Template.m_parameters)
    if (!Parameter.m_hasDefault && !Values.contains(Parameter.m_name))
      return templateError(
          Template, fmt::format("parameters[{}]", Parameter.m_name), "no value",
          "a value, as the parameter has no default");
  return success();
}

CheckResult setField(const ModelTemplate &Template, const ModelField &Field,
                     const std::string &Written, const ParameterValues &Values,
                     ResolvedModel &Model) {
  std::string InvalidReference;
  std::optional<std::string> Text =
      substitute(Written, Values, InvalidReference);
  if (!Text)
    return templateError(Template, Field.m_name, quotedText(InvalidReference),
                         allowedReferences(Template));
  if (Field.m_set(Model, *Text))
    return success();
  std::string Found = quotedText(*Text);
  if (*Text != Written)
    Found += fmt::format(" from {}", quotedText(Written));
  return templateError(Template, Field.m_name, Found, Field.m_allowed);
}

CheckResult setAdapters(const ModelTemplate &Template,
                        const ParameterValues &Values, ResolvedModel &Model) {
  for (const std::string &Written : Template.m_adapters) {
    std::string InvalidReference;
    std::optional<std::string> Text =
        substitute(Written, Values, InvalidReference);
    if (!Text)
      return templateError(Template, "adapters", quotedText(InvalidReference),
                           allowedReferences(Template));
    if (Text->size() > MaxTextBytes)
      return templateError(Template, "adapters", quotedText(*Text),
                           fmt::format("at most {} bytes", MaxTextBytes));
    if (!Text->empty())
      Model.m_adapters.push_back(std::move(*Text));
  }
  std::vector<std::string> &Adapters = Model.m_adapters;
  std::sort(Adapters.begin(), Adapters.end());
  Adapters.erase(std::unique(Adapters.begin(), Adapters.end()), Adapters.end());
  return success();
}

CheckResult checkTemplate(const ModelTemplate &Template) {
  ParameterValues Declared;
  for (const TemplateParameter &Parameter : Template.m_parameters) {
    Declared.emplace(Parameter.m_name, "");
    if (Parameter.m_default.find(ReferenceStart) != std::string::npos)
      return templateError(
          Template, fmt::format("parameters[{}].default", Parameter.m_name),
          quotedText(Parameter.m_default), "literal text without ${");
  }
  for (std::string_view Field : {"model", "version"})
    if (!Template.m_fields.contains(std::string(Field)))
      return templateError(Template, Field, "nothing", "the field is required");
  ResolvedModel Scratch;
  for (const ModelField &Field : modelFields()) {
    auto Written = Template.m_fields.find(std::string(Field.m_name));
    if (Written == Template.m_fields.end())
      continue;
    std::string InvalidReference;
    if (!substitute(Written->second, Declared, InvalidReference))
      return templateError(Template, Field.m_name, quotedText(InvalidReference),
                           allowedReferences(Template));
    if (Written->second.find(ReferenceStart) != std::string::npos)
      continue;
    CheckResult Set =
        setField(Template, Field, Written->second, Declared, Scratch);
    if (!Set)
      return Set;
  }
  return setAdapters(Template, Declared, Scratch);
}

} // namespace internal

Result<ResolvedModel, DeclarationError>
resolveModel(const ModelTemplate &Template,
             const std::map<std::string, std::string> &Values) {
  internal::CheckResult Given = internal::checkParameters(Template, Values);
  if (!Given)
    return failure(Given.error());
  std::map<std::string, std::string> All = Values;
  for (const TemplateParameter &Parameter : Template.m_parameters)
    All.emplace(Parameter.m_name, Parameter.m_default);
  ResolvedModel Model;
  for (const internal::ModelField &Field : internal::modelFields()) {
    auto Written = Template.m_fields.find(std::string(Field.m_name));
    if (Written == Template.m_fields.end())
      continue;
    internal::CheckResult Set =
        internal::setField(Template, Field, Written->second, All, Model);
    if (!Set)
      return failure(Set.error());
  }
  internal::CheckResult Set = internal::setAdapters(Template, All, Model);
  if (!Set)
    return failure(Set.error());
  return Model;
}

} // namespace turmericdyke
