#pragma once

#include <nlohmann/json_fwd.hpp>

#include "turmericdyke/src/Declaration/Declaration.h"

namespace turmericdyke::internal {

/// The canonical form as a JSON value.
nlohmann::json declarationTree(const Declaration &Declared);

} // namespace turmericdyke::internal
