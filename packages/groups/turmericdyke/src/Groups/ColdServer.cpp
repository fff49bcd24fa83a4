#include "turmericdyke/src/Groups/ColdServer.h"

#include <algorithm>

#include "turmericdyke/src/Catalog/Catalog.h"
#include "turmericdyke/src/Groups/ServerDirectory.h"

namespace turmericdyke {

Instant coldUntil(const ServerRecord &Server, const ServiceEntry &Service,
                  Instant RequestsSince) {
  if (Service.m_coldPerSecond <= 0)
    return absl::InfinitePast();
  Instant Started = Server.m_countsAsStarted;
  if (Started < RequestsSince)
    return Server.m_coldUntil;
  Instant Assumed =
      std::min(Started + Service.m_coldStart, Server.m_startStatedAt);
  return std::max(Server.m_coldUntil, Assumed);
}

Instant requestsSince(Instant Now, const LeaderKnowledge &Leader) {
  if (Leader.m_first)
    return Now;
  if (Leader.m_inherited)
    return absl::InfinitePast();
  return Leader.m_settled ? Now : absl::InfiniteFuture();
}

} // namespace turmericdyke
