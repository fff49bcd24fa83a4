#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/random/bit_gen_ref.h"
#include "absl/types/span.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Fleet/FeedMessage.h"

namespace turmericdyke {

/// A candidate target for a request, with the load known to this node.
struct PlacementOption {
  const ServingTarget *m_target = nullptr;
  /// Requests of this node at the target, exact.
  std::int64_t m_ownRequests = 0;
  /// Requests of the other nodes at the target, as last reported.
  std::int64_t m_otherRequests = 0;
  absl::Duration m_otherRequestsAge = absl::ZeroDuration();
  /// Mean time from sending a request to the target to its end; zero if
  /// unknown.
  absl::Duration m_meanRunTime = absl::ZeroDuration();
  /// In another failure domain than this node.
  bool m_remote = false;
  /// It takes no request from this node now, by its own statement.
  bool m_closed = false;
  /// Failed lately; used only if nothing else is left.
  bool m_avoided = false;
  /// Its streams have been silent for a short time; used only if no other
  /// target has capacity.
  bool m_quiet = false;
};

struct PlacementOptions {
  /// Requests that may queue at a target per slot, by its estimated load.
  /// Requests beyond the slots queue at the target, where they can no longer
  /// move to another one.
  double m_waitingPerSlot = 0.25;
  /// Mean age of the other nodes' counts when their sum arrives here: half the
  /// interval of 250 ms between a node's reports, and the way through two
  /// relays that exchange sums every 50 ms.
  absl::Duration m_reportDelay = absl::Milliseconds(200);
  /// Run time of requests if none has completed yet.
  absl::Duration m_defaultRunTime = absl::Seconds(1);
  /// Differences between targets are levelled out by the arrivals of this many
  /// times the age of the reports. With 1, all nodes answer each difference in
  /// full until a report shows the answer, which overshoots: bursts of prompts
  /// then wait for each other at one target.
  double m_levelingAges = 3;
  /// Targets drawn by what they lack; of these the one with the fewest requests
  /// of this node per slot is chosen. A node's own counts have no delay, so
  /// this evens out what the draws leave uneven, the more the larger the
  /// node's part of the load is.
  std::size_t m_draws = 8;
  /// Factor on what targets lack that are in another failure domain, or are
  /// not among the least loaded ones. Traffic between failure domains costs
  /// something, but less than a queue.
  double m_remoteWeight = 0.1;
};

enum class PlacementOutcome {
  Placed,
  /// No target serves the request.
  NoTarget,
  /// All targets are at capacity.
  AllFull
};

std::string_view nameOf(PlacementOutcome Outcome);

struct PlacementDecision {
  PlacementOutcome m_outcome = PlacementOutcome::NoTarget;
  /// Index into the options.
  std::size_t m_index = 0;
  /// Load of the chosen target, or of the least loaded one, in requests per
  /// slot.
  double m_load = 0;
  /// Estimated present load of the least loaded targets, in requests per slot,
  /// and the number of requests that all nodes have placed since the reports.
  double m_level = 0;
  double m_arrivals = 0;
};

/// Chooses the target for one request. Many nodes decide independently, each
/// with an exact count of its own requests and a delayed count of the others'.
/// Each target is drawn with a probability in proportion to what it lacks (see
/// `interpretLoad`), so that nodes that see the same reports do not all choose
/// the same target.
PlacementDecision place(absl::Span<const PlacementOption> Options,
                        const PlacementOptions &Settings,
                        absl::BitGenRef Random);

} // namespace turmericdyke
