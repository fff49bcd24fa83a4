#pragma once

#include "turmericdyke/src/Routing/RoutingStrategy.h"

namespace turmericdyke {

struct WeightedOptions {
  /// Candidates drawn at random for each request. One more, the one with the
  /// longest cached prefix, is compared with them. On the bench, 2 left a tenth
  /// of the slots idle at the crest while other replicas had a queue.
  std::size_t m_choices = 4;
  /// Work of one long request in units of a short one. It takes one slot like
  /// any other, but keeps it longer, so long requests are spread further apart.
  double m_longWork = 2;
  /// Weight of this node's own work against that of the other nodes. Between
  /// two reports the other nodes move more work than one node sees, so the
  /// exact count is the better guide; nodes that each spread their own work
  /// evenly spread the sum evenly.
  double m_ownWeight = 4;
  /// Age at which a report has lost half of its weight to the pool's mean. At
  /// 1 s, the nodes followed reports of the past together.
  absl::Duration m_reportHalfLife = absl::Milliseconds(300);
  /// Largest bonus for a cached prefix, in filled slots as a share of all. The
  /// bound keeps a popular prefix from overloading one replica.
  double m_prefixBonus = 0.25;
};

/// The product's strategy: work per slot, divided by the observed speed, less a
/// bounded bonus for a cached prefix; the lowest score among a few candidates
/// drawn at random wins, so that nodes that decide alone do not all choose the
/// same replica. Reports lose weight with age in favour of the pool's
/// mean, because a replica with an old report is not known to be idle.
class WeightedStrategy : public RoutingStrategy {
public:
  explicit WeightedStrategy(WeightedOptions Options = {});

  std::optional<std::size_t> choose(Instant Now,
                                    absl::Span<const Candidate> Candidates,
                                    const RouteRequest &Request,
                                    absl::BitGenRef Random) override;

  /// Score of a candidate; lower is better. `MeanOthers` is the mean work of
  /// other nodes per replica of the pool.
  double score(const Candidate &C, double MeanOthers) const;

private:
  double othersWork(const Candidate &C) const;
  double meanOthers(absl::Span<const Candidate> Candidates) const;

  WeightedOptions m_options;
};

} // namespace turmericdyke
