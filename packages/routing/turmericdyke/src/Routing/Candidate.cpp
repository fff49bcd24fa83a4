#include "turmericdyke/src/Routing/Candidate.h"

#include <algorithm>

namespace turmericdyke {

std::int64_t longSlots(const Candidate &C) {
  auto Share =
      static_cast<std::int64_t>(static_cast<double>(C.m_slots) * C.m_longShare);
  return std::max<std::int64_t>(1, Share);
}

bool isAllowed(const Candidate &C, const RouteRequest &Request) {
  const std::vector<ReplicaId> &Excluded = Request.m_excluded;
  if (std::find(Excluded.begin(), Excluded.end(), C.m_replica) !=
      Excluded.end())
    return false;
  if (Request.m_class == RequestClass::Short)
    return true;
  return C.m_load.m_outstandingLong + C.m_load.m_othersLong < longSlots(C);
}

std::vector<std::size_t>
allowedCandidates(absl::Span<const Candidate> Candidates,
                  const RouteRequest &Request) {
  std::vector<std::size_t> Weighted;
  std::vector<std::size_t> Unweighted;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    if (!isAllowed(Candidates[Index], Request))
      continue;
    bool HasWeight = Candidates[Index].m_speedWeight > 0;
    (HasWeight ? Weighted : Unweighted).push_back(Index);
  }
  return Weighted.empty() ? Unweighted : Weighted;
}

} // namespace turmericdyke
