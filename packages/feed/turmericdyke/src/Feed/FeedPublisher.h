#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Feed/ColdGrants.h"
#include "turmericdyke/src/Feed/FeedAssignment.h"
#include "turmericdyke/src/Feed/PeerDirectory.h"
#include "turmericdyke/src/Fleet/FeedMessage.h"

namespace turmericdyke {

class LimitRecords;

/// The state of the coordinator that the publisher includes in its messages.
struct FeedContext {
  std::uint64_t m_term = 0;
  NodeId m_leader;
  /// This coordinator is the leader and holds the leader lease.
  bool m_leads = false;
  /// This coordinator passes on the leader's state, which it last confirmed
  /// `m_age` ago.
  bool m_relays = false;
  absl::Duration m_age = absl::ZeroDuration();
  /// Every live server has had time to announce itself to this leader.
  bool m_complete = false;
  std::uint64_t m_routingVersion = 0;
  /// No newer routing document was in force `m_age` ago.
  bool m_routingConfirmed = true;
  const std::string *m_routingDocument = nullptr;
  std::vector<NodeId> m_coordinators;
  CoordinatorDomains m_domains;
  /// Number of entry nodes of the whole system, as reported by the leader; set
  /// for a relay.
  std::int64_t m_entries = 0;
  /// What is known of requests that crash their targets; null for nothing.
  const SuspectLists *m_suspects = nullptr;
  /// The limits that targets have stated; null for nothing.
  const LimitRecords *m_limits = nullptr;
  /// Requests at each target of the entry nodes that other coordinators serve;
  /// set for a relay.
  const std::map<TargetId, std::int64_t> *m_usesElsewhere = nullptr;
};

/// Sends entry nodes the state they need to serve: the targets, the routing
/// document, the load of all entry nodes, and a few peers. Each node receives
/// only what changed since the state it holds. Silent nodes are removed.
///
/// The leader sets the targets and numbers their changes. A relay mirrors the
/// leader's updates under the same numbers, so an entry node can move from one
/// coordinator to another without a gap and without a step back. The cost of a
/// response does not grow with the number of entry nodes: uses are kept as
/// running sums and encoded once for all receivers.
class FeedPublisher {
public:
  /// Starts a term: sequence numbers restart and all entry nodes are removed.
  void reset();

  /// Replaces the list of targets and assigns a new sequence number to what
  /// changed. Targets of `Closed` may be in use since an earlier term: entry
  /// nodes are told at once that these have ended, and not only when this
  /// leader knows all targets.
  void setTargets(Instant Now, absl::Span<const ServingTarget> Targets,
                  absl::Span<const TargetId> Closed = {});

  /// Asks the nodes that have not confirmed the removal of the target to do so
  /// at once. Without effect while the target is listed.
  void requestConfirmation(const TargetId &Id);
  /// Whether no entry node uses the target for new requests any more: its
  /// removal is published, and each node has confirmed that it holds it, has
  /// fallen silent, or has had no newer state for as long as it may serve
  /// without.
  bool isOutOfUse(Instant Now, const TargetId &Id) const;
  /// Number of the newest change that all nodes heard from lately hold.
  std::uint64_t delivered(Instant Now) const;
  /// The nodes that hold an older state than the newest, for logs.
  std::vector<NodeId> unconfirmed(Instant Now) const;

  /// Takes over the targets of an update from the leader. Returns whether
  /// anything changed. An update that does not continue the held state is
  /// ignored.
  bool mirror(const FeedUpdate &Update);

  /// Number of the newest change of the targets.
  std::uint64_t sequence() const { return m_sequence; }
  /// Requests of this coordinator's entry nodes at each target.
  const std::map<TargetId, std::int64_t> &uses() const { return m_uses; }

  ColdGrants &coldGrants() { return m_coldGrants; }
  /// Whether entry nodes are fed by way of another coordinator.
  bool hasRelays() const;

  PeerDirectory &peers() { return m_peers; }
  const PeerDirectory &peers() const { return m_peers; }

  /// Returns the response to a request.
  FeedUpdate respond(Instant Now, const FeedRequest &Request,
                     const FeedContext &Context);
  /// Updates for the nodes that have not been sent the newest targets, routing
  /// document or suspect lists.
  std::map<NodeId, FeedUpdate> pendingUpdates(Instant Now,
                                              const FeedContext &Context);

  /// Number of entry nodes heard from lately that are not stopping, those that
  /// relays have reported included.
  std::int64_t entryNodes(Instant Now) const;
  /// Whether a request for a model has run since the term began.
  bool trafficSeen() const { return m_trafficSeen; }

private:
  struct Subscriber {
    Instant m_lastHeard;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_routingVersion = 0;
    FailureDomainId m_failureDomain;
    std::vector<TargetUse> m_uses;
    /// Entry nodes that the subscriber stands for: one, or those of a relay.
    std::int64_t m_entries = 1;
    bool m_relay = false;
    std::uint64_t m_suspectsVersion = 0;
    std::uint64_t m_limitsVersion = 0;
    Instant m_documentSent = absl::InfinitePast();
  };
  struct Published {
    ServingTarget m_target;
    std::uint64_t m_sequence = 0;
  };
  /// The newest change that a node has stated to hold, with its relayed nodes.
  struct Confirmation {
    std::uint64_t m_sequence = 0;
    /// When the node counts as silent.
    Instant m_until;
  };
  struct Removal {
    std::uint64_t m_sequence = 0;
    /// When it was published; of no use to a relay.
    Instant m_at = absl::InfinitePast();
  };

  void fillUpdate(Instant Now, const NodeId &To, Subscriber &State,
                  const FeedContext &Context, FeedUpdate &Update);
  void fillTargets(const Subscriber &State, FeedUpdate &Update) const;
  /// Whether the routing document is due for the node.
  bool documentDue(Instant Now, const Subscriber &State,
                   const FeedContext &Context) const;
  static bool suspectsDue(const Subscriber &State, const FeedContext &Context);
  static bool limitsDue(const Subscriber &State, const FeedContext &Context);
  const std::string &compressedDocument(const FeedContext &Context);
  /// The encoded sums of all uses, at most a few milliseconds old.
  const std::string &encodedUses(Instant Now, const FeedContext &Context);
  void setUses(Subscriber &State, std::vector<TargetUse> Uses);
  void addUses(const std::vector<TargetUse> &Uses, std::int64_t Sign);
  void removeSilent(Instant Now);
  void removeTarget(const TargetId &Id, Removal Value);
  /// Forgets old removals. Nodes that hold an older state get all targets.
  void limitRemovals();

  std::uint64_t m_sequence = 0;
  /// Removals before this sequence number are not known here. A node that holds
  /// an older state is sent all targets.
  std::uint64_t m_completeSince = 0;
  std::uint64_t m_mirroredTerm = 0;
  std::map<TargetId, Published> m_targets;
  std::map<TargetId, Removal> m_removed;
  /// Nodes are asked to confirm at once up to this change.
  std::uint64_t m_confirmUpTo = 0;
  std::map<NodeId, Subscriber> m_subscribers;
  /// Of all nodes that were sent targets, also of those that do not follow this
  /// coordinator yet.
  std::map<NodeId, Confirmation> m_confirmations;
  std::map<TargetId, std::int64_t> m_uses;
  std::string m_encodedUses;
  Instant m_usesEncodedAt = absl::InfinitePast();
  Instant m_silentRemovedAt = absl::InfinitePast();
  PeerDirectory m_peers;
  ColdGrants m_coldGrants;
  bool m_trafficSeen = false;
  /// The compressed routing document of this version, shared by all nodes.
  std::uint64_t m_compressedVersion = 0;
  std::string m_compressedDocument;
};

} // namespace turmericdyke
