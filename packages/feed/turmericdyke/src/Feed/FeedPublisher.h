#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Fleet/FeedMessage.h"

namespace turmericdyke {

/// The state of the coordinator that the publisher includes in its messages.
struct FeedContext {
  std::uint64_t m_term = 0;
  NodeId m_leader;
  /// This coordinator is the leader and holds the leader lease.
  bool m_leads = false;
  /// Every live server has had time to announce itself to this leader.
  bool m_complete = false;
  std::uint64_t m_routingVersion = 0;
  const std::string *m_routingDocument = nullptr;
  std::vector<NodeId> m_coordinators;
};

/// Sends entry nodes the state they need to serve: the targets, the routing
/// document, and the load of the other entry nodes. Each node receives only
/// what changed since the state it holds. Silent nodes are removed.
class FeedPublisher {
public:
  /// Starts a term of leadership: sequence numbers restart and all entry nodes
  /// are removed.
  void reset();

  /// Replaces the list of targets and assigns a new sequence number to what
  /// changed.
  void setTargets(absl::Span<const ServingTarget> Targets);

  /// Returns the response to a request.
  FeedUpdate respond(Instant Now, const FeedRequest &Request,
                     const FeedContext &Context);
  /// Updates for the nodes that have not been sent the newest state.
  std::map<NodeId, FeedUpdate> pendingUpdates(Instant Now,
                                              const FeedContext &Context);

  /// Number of entry nodes heard from lately that are not stopping.
  std::int64_t entryNodes(Instant Now) const;
  /// Whether a request for a model has run since the term began.
  bool trafficSeen() const { return m_trafficSeen; }

private:
  struct Subscriber {
    Instant m_lastHeard;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_routingVersion = 0;
    std::map<TargetId, std::int64_t> m_uses;
    bool m_stopping = false;
    Instant m_documentSent = absl::InfinitePast();
  };
  struct Published {
    ServingTarget m_target;
    std::uint64_t m_sequence = 0;
  };

  void fillUpdate(Instant Now, const NodeId &To, Subscriber &State,
                  const FeedContext &Context, FeedUpdate &Update);
  /// Whether the routing document is due for the node.
  bool documentDue(Instant Now, const Subscriber &State,
                   const FeedContext &Context) const;
  void removeSilent(Instant Now);

  std::uint64_t m_sequence = 0;
  std::map<TargetId, Published> m_targets;
  std::map<TargetId, std::uint64_t> m_removed;
  std::map<NodeId, Subscriber> m_subscribers;
  bool m_trafficSeen = false;
  /// The compressed routing document of this version, shared by all nodes.
  std::uint64_t m_compressedVersion = 0;
  std::string m_compressedDocument;
};

} // namespace turmericdyke
