#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Fleet/FeedMessage.h"

namespace turmericdyke {

/// What the publisher must know of its coordinator when it speaks.
struct FeedFacts {
  std::uint64_t m_term = 0;
  NodeId m_leader;
  /// This coordinator leads and holds the leader lease.
  bool m_leads = false;
  /// Every living server has had time to announce itself to this leader.
  bool m_complete = false;
  std::uint64_t m_routingVersion = 0;
  const std::string *m_routingDocument = nullptr;
  std::vector<NodeId> m_coordinators;
};

/// Tells entry nodes what they need to serve: where requests may go, the
/// routing document, and what the other entry nodes use. Each receives only
/// what has changed since what it holds. A node that has fallen silent is
/// forgotten.
class FeedPublisher {
public:
  /// Begins a term of leadership: numbering starts again and nothing is known
  /// of the entry nodes.
  void reset();

  /// Replaces the list of targets; numbers what differs.
  void setTargets(absl::Span<const ServingTarget> Targets);

  /// Answers a request.
  FeedUpdate answer(Instant Now, const FeedRequest &Request,
                    const FeedFacts &Facts);
  /// Updates for the nodes that have not been sent the newest state.
  std::map<NodeId, FeedUpdate> pushes(Instant Now, const FeedFacts &Facts);

  /// Entry nodes heard of lately that do not stop.
  std::int64_t entries(Instant Now) const;
  /// Whether a model was asked for since the term began.
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

  void fill(Instant Now, const NodeId &To, Subscriber &State,
            const FeedFacts &Facts, FeedUpdate &Update);
  /// Whether the node should be sent the routing document now.
  bool documentDue(Instant Now, const Subscriber &State,
                   const FeedFacts &Facts) const;
  void forgetSilent(Instant Now);

  std::uint64_t m_sequence = 0;
  std::map<TargetId, Published> m_targets;
  std::map<TargetId, std::uint64_t> m_removed;
  std::map<NodeId, Subscriber> m_subscribers;
  bool m_trafficSeen = false;
  /// The routing document of this version, compressed once for all nodes.
  std::uint64_t m_packedVersion = 0;
  std::string m_packedDocument;
};

} // namespace turmericdyke
