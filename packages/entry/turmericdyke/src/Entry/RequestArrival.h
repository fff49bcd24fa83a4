#pragma once

namespace turmericdyke {

struct CallerRequest;
struct ModelArrivals;
struct ServiceEntry;

/// What a request that names a model adds to the demand that this node reports
/// for its service. Tokens that the caller does not state are taken from the
/// service's usual request.
ModelArrivals arrivalOf(const ServiceEntry &Service,
                        const CallerRequest &Request);

} // namespace turmericdyke
