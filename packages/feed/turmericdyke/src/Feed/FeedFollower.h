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

/// How long entry nodes take to find a new leader, or a relay that has started
/// again: the time after which they ask other coordinators, one more request,
/// and a margin.
inline constexpr absl::Duration EntryReturnTime = absl::Seconds(1);

struct FeedFollowerOptions {
  /// Interval between requests to the source of the feed. Knowledge of the
  /// other entry nodes' load is at most this old.
  absl::Duration m_interval = absl::Milliseconds(250);
  /// Shortest time between two requests that only confirm what is held.
  absl::Duration m_confirmPause = absl::Milliseconds(50);
  /// After this time without a response, another coordinator is asked as well.
  absl::Duration m_responseTimeout = absl::Milliseconds(700);
  /// A source that did not respond is not used again for this long.
  absl::Duration m_avoidSourceFor = absl::Seconds(5);
  /// A relay whose own knowledge is older than this counts as silent.
  absl::Duration m_maxRelayAge = absl::Milliseconds(700);
  /// How long a response proves that no newer routing document is in force,
  /// counted from sending the request. A revoked key may be accepted for at
  /// most this long, so it stays below the platform's limit of 5 s.
  absl::Duration m_lease = absl::Seconds(4);
  /// How long a larger number of entry nodes counts after a smaller one was
  /// stated: the lease of a silent node, and a margin for the time until it
  /// counts as silent.
  absl::Duration m_holdEntries = absl::Seconds(5);
};

/// What an update changed.
struct FeedChange {
  /// Targets that accept no new requests any more.
  std::vector<TargetId> m_ended;
  /// Targets that accept new requests and did not before, or were not known.
  std::vector<TargetId> m_listed;
  bool m_targetsChanged = false;
  /// A newer routing document. Empty although its version is set if it could
  /// not be decompressed.
  std::optional<std::string> m_routingDocument;
  std::uint64_t m_routingVersion = 0;
  /// Set if the suspect lists have changed.
  std::optional<SuspectLists> m_suspects;
  /// Set if the limits of targets have changed.
  std::optional<TargetLimitList> m_limits;
  /// Permissions for cold targets, and until when they may be used.
  std::vector<ColdGrant> m_coldGrants;
  Instant m_coldGrantsUntil;
  /// The term or the leader has changed.
  bool m_leaderChanged = false;
};

/// The entry node's side of the feed: selects the coordinators to ask, and
/// tracks the received state and how long it may be relied on. The state comes
/// from the leader, or from a coordinator that relays the leader's state.
class FeedFollower {
public:
  /// `Seeds` are the addresses of coordinators, which are also their
  /// identifiers.
  FeedFollower(NodeId Self, std::vector<NodeId> Seeds,
               FeedFollowerOptions Options = {},
               FailureDomainId FailureDomain = FailureDomainId());

  struct OutgoingRequest {
    NodeId m_coordinator;
    FeedRequest m_request;
  };
  /// Returns the requests that are due: one to the source and, if it does not
  /// respond, one to another coordinator. `Uses` are this node's requests at
  /// each target; they are reported to the source only.
  std::vector<OutgoingRequest> tick(Instant Now,
                                    std::vector<TargetUse> Uses = {});
  Instant nextTick() const { return std::min(m_nextRequest, m_confirmAt); }
  /// Makes a request due at once.
  void requestNow(Instant Now) { m_nextRequest = std::min(m_nextRequest, Now); }
  FeedChange receive(Instant Now, const FeedUpdate &Update);

  void addSeeds(const std::vector<NodeId> &Seeds);
  /// Confirms that the document of this version was parsed and is in force on
  /// this node.
  void routingApplied(std::uint64_t Version) { m_routingVersion = Version; }

  /// Until when the routing document on this node is known to be the newest.
  Instant leaseUntil() const { return m_leaseUntil; }
  /// When the leader or a relay last responded.
  Instant lastResponse() const { return m_lastResponse; }
  std::uint64_t term() const { return m_term; }
  const NodeId &leader() const { return m_leader; }
  /// The coordinator that requests are sent to; empty if none is known.
  const NodeId &source() const { return m_source; }
  std::int64_t entryNodes() const { return m_entries; }
  /// Number of entry nodes that may be using targets: the largest one stated
  /// lately. A node that has fallen silent may use targets until its lease
  /// ends, and a new leader has not heard from all nodes at first.
  std::int64_t possibleEntryNodes() const { return m_possibleEntries; }
  const std::map<TargetId, ServingTarget> &targets() const { return m_targets; }
  /// Requests of the other entry nodes at a target, and when they were last
  /// reported.
  std::int64_t requestsOfOthers(const TargetId &Target) const;
  Instant othersUpdatedAt() const { return m_othersUpdatedAt; }
  /// The entry nodes that this one may pass requests on to, those of its own
  /// failure domain first. A list is kept until the source states another one,
  /// also while no source responds.
  const std::vector<EntryPeer> &peers() const { return m_peers.m_peers; }

private:
  bool sourceResponds(Instant Now) const;
  void setSource(Instant Now, const NodeId &Source);
  /// Makes a request due besides the usual ones, but not within
  /// `m_confirmPause` of the last such request.
  void confirmSoon(Instant Now);
  void followHint(Instant Now, const FeedUpdate &Update, FeedChange &Change);
  void applyTargets(const FeedUpdate &Update, FeedChange &Change);
  void applyUses(Instant Now, const FeedUpdate &Update);
  void applyEntries(Instant Now, std::int64_t Entries);
  /// Ends the targets of this term that a full list does not contain.
  void endUnlisted(const FeedUpdate &Update, FeedChange &Change);
  void endTarget(const TargetId &Id, FeedChange &Change);

  NodeId m_self;
  FailureDomainId m_failureDomain;
  FeedFollowerOptions m_options;
  std::vector<NodeId> m_coordinators;
  std::size_t m_nextCoordinator = 0;
  NodeId m_leader;
  NodeId m_source;
  Instant m_sourceSince = absl::InfinitePast();
  NodeId m_silentSource;
  Instant m_avoidUntil = absl::InfinitePast();
  std::uint64_t m_term = 0;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_routingVersion = 0;
  bool m_complete = false;
  std::map<TargetId, ServingTarget> m_targets;
  /// For each target, the term in which a leader last listed it.
  std::map<TargetId, std::uint64_t> m_listedInTerm;
  /// What this node reported last, and what all nodes have at each target, this
  /// node's reported requests excluded.
  std::vector<TargetUse> m_reportedUses;
  std::map<TargetId, std::int64_t> m_requestsOfOthers;
  Instant m_othersUpdatedAt = absl::InfinitePast();
  PeerList m_peers;
  std::int64_t m_entries = 1;
  std::int64_t m_possibleEntries = 1;
  Instant m_possibleEntriesAt = absl::InfinitePast();
  Instant m_nextRequest = absl::InfinitePast();
  /// When a request is due besides, as the source waits for what this node
  /// holds.
  Instant m_confirmAt = absl::InfiniteFuture();
  Instant m_lastConfirmed = absl::InfinitePast();
  Instant m_lastResponse = absl::InfinitePast();
  Instant m_leaseUntil = absl::InfinitePast();
};

} // namespace turmericdyke
