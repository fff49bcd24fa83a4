#pragma once

#include <optional>

namespace turmericdyke {

struct CallerRequest;
struct ModelArrivals;
struct ServiceEntry;

/// What a request that names a model adds to the demand that this node reports
/// for its service. Tokens that the caller does not state are taken from the
/// service's usual request. `RelativeOutput` is how long the model's responses
/// are compared with the usual one, if that has been measured.
ModelArrivals arrivalOf(const ServiceEntry &Service,
                        const CallerRequest &Request,
                        std::optional<double> RelativeOutput);

} // namespace turmericdyke
