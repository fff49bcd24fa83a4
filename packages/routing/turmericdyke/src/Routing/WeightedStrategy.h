#pragma once

#include "turmericdyke/src/Routing/RoutingStrategy.h"

namespace turmericdyke {

struct WeightedOptions {
  /// Number of candidates drawn at random for each request. The candidate with
  /// the longest cached prefix is compared with them. In the benchmark, 2 left
  /// a tenth of the slots idle at peak load while other replicas had queues.
  std::size_t m_choices = 4;
  /// Cost of a long request relative to a short one. It occupies one slot like
  /// any other request, but for longer, so long requests must be spread more
  /// evenly.
  double m_longWork = 2;
  /// Weight of this node's own requests relative to those of the other nodes.
  /// Between two reports the requests of the other nodes change more than this
  /// node can see, so its own exact counts are more reliable. If each node
  /// balances its own requests, the total is balanced as well.
  double m_ownWeight = 4;
  /// Age at which a report and the mean of the pool have equal weight. With 1
  /// s, all nodes followed the same outdated reports.
  absl::Duration m_reportHalfLife = absl::Milliseconds(300);
  /// Largest bonus for a cached prefix, as a fraction of the slots of the
  /// replica. The limit prevents a popular prefix from overloading one replica.
  double m_prefixBonus = 0.25;
};

/// The production strategy. The score of a candidate is its load per slot
/// divided by its observed speed, minus a bounded bonus for a cached prefix.
/// The lowest score among a few randomly drawn candidates wins, so that nodes,
/// which decide independently, do not all choose the same replica. As a report
/// ages, its weight shifts to the mean of the pool, because an old report does
/// not prove that a replica is idle.
class WeightedStrategy : public RoutingStrategy {
public:
  explicit WeightedStrategy(WeightedOptions Options = {});

  std::optional<std::size_t> choose(Instant Now,
                                    absl::Span<const Candidate> Candidates,
                                    const RouteRequest &Request,
                                    absl::BitGenRef Random) override;

  /// Score of a candidate; lower is better. `MeanOthers` is the mean load from
  /// other nodes per replica of the pool.
  double score(const Candidate &C, double MeanOthers) const;

private:
  double othersWork(const Candidate &C) const;
  double meanOthers(absl::Span<const Candidate> Candidates) const;

  WeightedOptions m_options;
};

} // namespace turmericdyke
