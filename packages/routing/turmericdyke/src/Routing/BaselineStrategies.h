#pragma once

#include "turmericdyke/src/Routing/RoutingStrategy.h"

namespace turmericdyke {

/// Chooses the allowed candidates in turn, regardless of load.
class RoundRobin : public RoutingStrategy {
public:
  std::optional<std::size_t> choose(Instant Now,
                                    absl::Span<const Candidate> Candidates,
                                    const RouteRequest &Request,
                                    absl::BitGenRef Random) override;

private:
  std::size_t m_next = 0;
};

/// Chooses the candidate with the fewest outstanding requests, own and
/// reported; ties are broken at random. Nodes that received the same report
/// choose the same replica until the next report arrives.
class LeastOutstanding : public RoutingStrategy {
public:
  std::optional<std::size_t> choose(Instant Now,
                                    absl::Span<const Candidate> Candidates,
                                    const RouteRequest &Request,
                                    absl::BitGenRef Random) override;
};

/// Power of two choices: draws two allowed candidates at random and chooses the
/// one with fewer outstanding requests, own and reported.
class TwoRandomChoices : public RoutingStrategy {
public:
  std::optional<std::size_t> choose(Instant Now,
                                    absl::Span<const Candidate> Candidates,
                                    const RouteRequest &Request,
                                    absl::BitGenRef Random) override;
};

} // namespace turmericdyke
