#include "turmericdyke/src/Routing/BaselineStrategies.h"

#include <algorithm>

#include "absl/random/distributions.h"

namespace turmericdyke {

namespace {

std::int64_t outstandingRequests(const Candidate &C) {
  const ReplicaLoad &Load = C.m_load;
  return Load.m_outstandingShort + Load.m_outstandingLong + Load.m_othersShort +
         Load.m_othersLong;
}

} // namespace

std::optional<std::size_t>
RoundRobin::choose(Instant, absl::Span<const Candidate> Candidates,
                   const RouteRequest &Request, absl::BitGenRef) {
  std::vector<std::size_t> Allowed = allowedCandidates(Candidates, Request);
  if (Allowed.empty())
    return std::nullopt;
  return Allowed[m_next++ % Allowed.size()];
}

std::optional<std::size_t>
LeastOutstanding::choose(Instant, absl::Span<const Candidate> Candidates,
                         const RouteRequest &Request, absl::BitGenRef Random) {
  std::optional<std::size_t> Best;
  std::size_t Ties = 0;
  for (std::size_t Index : allowedCandidates(Candidates, Request)) {
    std::int64_t Work = outstandingRequests(Candidates[Index]);
    std::int64_t Least =
        Best ? outstandingRequests(Candidates[*Best]) : Work + 1;
    if (Work > Least)
      continue;
    Ties = Work == Least ? Ties + 1 : 1;
    if (absl::Uniform<std::size_t>(Random, 0, Ties) == 0)
      Best = Index;
  }
  return Best;
}

std::optional<std::size_t>
TwoRandomChoices::choose(Instant, absl::Span<const Candidate> Candidates,
                         const RouteRequest &Request, absl::BitGenRef Random) {
  std::vector<std::size_t> Allowed = allowedCandidates(Candidates, Request);
  if (Allowed.empty())
    return std::nullopt;
  auto Draw = [&] {
    return Allowed[absl::Uniform<std::size_t>(Random, 0, Allowed.size())];
  };
  std::size_t First = Draw();
  std::size_t Second = Draw();
  bool SecondIsLess = outstandingRequests(Candidates[Second]) <
                      outstandingRequests(Candidates[First]);
  return SecondIsLess ? Second : First;
}

} // namespace turmericdyke
