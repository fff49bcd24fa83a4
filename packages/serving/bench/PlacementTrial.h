#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"
#include "turmericdyke/Catalog"
#include "turmericdyke/Serving"

namespace turmericdyke::bench {

/// Load and deployment of a trial.
struct TrialOptions {
  std::string m_name;
  std::size_t m_nodes = 9;
  std::size_t m_targets = 15;
  /// Failure domains of nodes and targets.
  std::size_t m_domains = 3;
  EngineCosts m_costs;
  /// Requests per second of all nodes together.
  double m_rate = 0;
  /// Requests have between half and one and a half of these sizes.
  double m_promptTokens = 674;
  double m_outputTokens = 111;
  absl::Duration m_objective = absl::Milliseconds(250);
  /// One-way delay to a target of another failure domain.
  absl::Duration m_domainDelay = absl::Milliseconds(1);
  /// Interval between the reports of a node.
  absl::Duration m_reportInterval = absl::Milliseconds(250);
  /// Additional one-way delay of each message of the feed.
  absl::Duration m_feedDelay = absl::Milliseconds(3);
  /// Targets that take so many times as long as the others.
  std::size_t m_slowTargets = 0;
  double m_slowFactor = 2;
  absl::Duration m_duration = absl::Seconds(30);
};

struct TrialResult {
  /// Mean over time of the largest load of a target against the mean.
  double m_maxToMean = 0;
  /// Mean share of all slots that were free while as many requests waited at
  /// other targets.
  double m_idleWhileQueued = 0;
  /// Share of all requests whose first event met the objective.
  double m_inTime = 0;
  /// Share of the requests that found no target with room.
  double m_refused = 0;
  /// Share of the requests placed in the node's own failure domain.
  double m_local = 0;
  /// Mean age of the loads of others when requests were placed.
  double m_ageMillis = 0;
};

using Chooser = std::function<PlacementDecision(
    absl::Span<const PlacementOption>, absl::BitGenRef)>;

/// Runs nodes that place requests and targets that serve them at the published
/// costs of their engine, in virtual time. Reports take the way of the feed:
/// from a node to its relay, from relays to the leader 20 times a second, and
/// back with the response to the next report.
TrialResult runTrial(const TrialOptions &Options, const Chooser &Choose,
                     std::uint64_t Seed);

/// The deployments of docs/hard-load.md at calm and at crest, and with more
/// load than the targets can serve; the 9 nodes of an earlier deployment; more
/// nodes than any deployment has; uneven servers; and old reports. Rates are
/// those at which the targets of A are about half full, about three quarters
/// full, and full.
std::vector<TrialOptions> trialCases();

} // namespace turmericdyke::bench
