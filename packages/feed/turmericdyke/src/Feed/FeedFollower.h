#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Fleet/FeedMessage.h"

namespace turmericdyke {

struct FeedFollowerOptions {
  /// How often a request goes to the leader. The others' use of targets is as
  /// old as this at most.
  absl::Duration m_interval = absl::Milliseconds(250);
  /// Without an answer for this long another coordinator is asked.
  absl::Duration m_patience = absl::Milliseconds(700);
  /// How long an answer proves that nothing newer is in force, from the send of
  /// its request. A key that was taken away works no longer than this, so it
  /// stays below the platform's bound of 5 s.
  absl::Duration m_lease = absl::Seconds(4);
};

/// What an update has changed.
struct FeedChange {
  /// Targets that take no new requests any more.
  std::vector<TargetId> m_ended;
  bool m_targetsChanged = false;
  /// A routing document that goes before the present one; absent though its
  /// version is set if it could not be expanded.
  std::optional<std::string> m_routingDocument;
  std::uint64_t m_routingVersion = 0;
  /// The term or the leader differs from before.
  bool m_leaderChanged = false;
};

/// An entry node's side of the feed: whom to ask, what is known and until when
/// it may be relied on.
class FeedFollower {
public:
  /// `Seeds` are addresses of coordinators, which are also their identifiers.
  FeedFollower(NodeId Self, std::vector<NodeId> Seeds,
               FeedFollowerOptions Options = {});

  struct Asking {
    NodeId m_coordinator;
    FeedRequest m_request;
  };
  /// The requests that are due now: one to the leader, or one to each of two
  /// coordinators while no leader answers.
  std::vector<Asking> tick(Instant Now);
  Instant nextTick() const { return m_nextAsk; }
  /// Makes a request due now.
  void hurry(Instant Now) { m_nextAsk = std::min(m_nextAsk, Now); }
  FeedChange receive(Instant Now, const FeedUpdate &Update);

  void addSeeds(const std::vector<NodeId> &Seeds);
  /// The document of this version was read and is in force here.
  void routingInForce(std::uint64_t Version) { m_routingVersion = Version; }

  /// Until when the routing document here is known to be the newest.
  Instant leaseUntil() const { return m_leaseUntil; }
  std::uint64_t term() const { return m_term; }
  const NodeId &leader() const { return m_leader; }
  std::int64_t entries() const { return m_entries; }
  const std::map<TargetId, ServingTarget> &targets() const { return m_targets; }
  /// Requests of the other entry nodes at a target, and when that was heard.
  std::int64_t othersUse(const TargetId &Target) const;
  Instant othersHeard() const { return m_othersHeard; }

private:
  void takeTargets(const FeedUpdate &Update, FeedChange &Change);

  NodeId m_self;
  FeedFollowerOptions m_options;
  std::vector<NodeId> m_coordinators;
  std::size_t m_next = 0;
  NodeId m_leader;
  std::uint64_t m_term = 0;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_routingVersion = 0;
  bool m_complete = false;
  std::map<TargetId, ServingTarget> m_targets;
  /// Targets that a leader of the present term has listed.
  std::map<TargetId, std::uint64_t> m_listedIn;
  std::map<TargetId, std::int64_t> m_others;
  Instant m_othersHeard = absl::InfinitePast();
  std::int64_t m_entries = 1;
  Instant m_nextAsk = absl::InfinitePast();
  Instant m_lastAnswer = absl::InfinitePast();
  Instant m_leaseUntil = absl::InfinitePast();
};

} // namespace turmericdyke
