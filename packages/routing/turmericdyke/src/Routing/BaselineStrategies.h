#pragma once

#include "turmericdyke/src/Routing/RoutingStrategy.h"

namespace turmericdyke {

/// Takes the allowed candidates in turn, without regard to load.
class RoundRobin : public RoutingStrategy {
public:
  std::optional<std::size_t> choose(Instant Now,
                                    absl::Span<const Candidate> Candidates,
                                    const RouteRequest &Request,
                                    absl::BitGenRef Random) override;

private:
  std::size_t m_next = 0;
};

/// Takes the candidate with the least work by own count plus report; ties are
/// broken at random. Nodes that share one report choose the same replica until
/// the next report arrives.
class LeastOutstanding : public RoutingStrategy {
public:
  std::optional<std::size_t> choose(Instant Now,
                                    absl::Span<const Candidate> Candidates,
                                    const RouteRequest &Request,
                                    absl::BitGenRef Random) override;
};

/// Draws two allowed candidates and takes the one with less work by own count
/// plus report.
class TwoRandomChoices : public RoutingStrategy {
public:
  std::optional<std::size_t> choose(Instant Now,
                                    absl::Span<const Candidate> Candidates,
                                    const RouteRequest &Request,
                                    absl::BitGenRef Random) override;
};

} // namespace turmericdyke
