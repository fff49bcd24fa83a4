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

/// What a leader knows of the time before it.
struct LeaderKnowledge {
  /// No other leader came before it.
  bool m_first = false;
  /// It took over the server list of the previous leader.
  bool m_inherited = false;
  /// All live servers have had time to announce themselves to it.
  bool m_settled = false;
};

/// `RequestsSince` for a leader that has seen that requests run. Servers that a
/// leader without a server list hears first have not started just now, so until
/// it is settled only those that say so are cold. Otherwise all servers would
/// be limited after a restart of all coordinators.
Instant requestsSince(Instant Now, const LeaderKnowledge &Leader);

} // namespace turmericdyke
