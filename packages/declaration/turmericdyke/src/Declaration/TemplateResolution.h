#pragma once

#include <map>
#include <string>

#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Declaration/Declaration.h"
#include "turmericdyke/src/Declaration/DeclarationError.h"

namespace turmericdyke {

/// Substitutes `Values` for the parameters of `Template` and parses the fields.
/// Parameters without a value take their default; an adapter that becomes empty
/// is omitted. Values are literal: a `${` inside a value is rejected. Errors
/// name the field of the template or the parameter.
Result<ResolvedModel, DeclarationError>
resolveModel(const ModelTemplate &Template,
             const std::map<std::string, std::string> &Values);

namespace internal {

/// Checks what can be checked without values: references name declared
/// parameters, and fields without references hold allowed values.
Result<void, DeclarationError> checkTemplate(const ModelTemplate &Template);

} // namespace internal

} // namespace turmericdyke
