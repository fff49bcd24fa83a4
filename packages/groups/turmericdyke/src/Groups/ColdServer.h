#pragma once

#include "turmericdyke/src/Base/Instant.h"

namespace turmericdyke {

struct ServerRecord;
struct ServiceEntry;

/// Until when a server is cold: in the infinite past if it is not, and always
/// if its service states no rate for cold servers. What the server states
/// counts. A server that counts as started since requests run is cold as well
/// for the time that its service states, or until it states otherwise: its
/// first announcement may be late, or made before it knew.
///
/// `RequestsSince` is when the first request ran; servers that started before
/// are cold only if they say so. In the infinite past if it is not known.
Instant coldUntil(const ServerRecord &Server, const ServiceEntry &Service,
                  Instant RequestsSince);

} // namespace turmericdyke
