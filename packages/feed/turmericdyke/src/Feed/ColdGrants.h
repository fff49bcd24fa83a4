#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "absl/types/span.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Fleet/ColdGrant.h"

namespace turmericdyke {

struct FeedRequest;
struct ServingTarget;

/// The leader's grants for cold targets. Equal parts of a rate are mostly lost
/// where many nodes have few requests each, so the leader hands permissions to
/// the nodes that ask it. A grant lapses after `ColdGrantLifetime`, so a node
/// that is cut off, stops or starts leaves nothing to account for, and a new
/// leader needs no knowledge of the grants of the last one.
///
/// In a second a target gets at most the grants of that second, of a lifetime
/// before it, and what has accumulated; see `grantRate`.
class ColdGrants {
public:
  /// Takes the targets that are published.
  void setTargets(Instant Now, absl::Span<const ServingTarget> Targets);
  /// Grants for a node that asks. Each node is kept in one unused grant for
  /// some cold target, a node with many requests in as many as it is likely to
  /// use. Nodes that have had requests lately come first.
  std::vector<ColdGrant> grant(Instant Now, const FeedRequest &Request);
  bool empty() const { return m_buckets.empty(); }

private:
  struct Bucket {
    std::uint64_t m_generation = 0;
    /// As published: half of what the target must not get more of in a second.
    double m_perSecond = 0;
    double m_level = 1;
    Instant m_filledAt;
    /// When the target was last published as cold.
    Instant m_lastCold;
  };

  struct Client {
    Instant m_heard;
    /// Requests a second, smoothed.
    double m_rate = 0;
    /// When its grants that it may still hold were issued.
    std::deque<Instant> m_issued;
  };

  void fill(Instant Now, Bucket &Value) const;
  /// Records what the node reports, and returns how many grants it lacks.
  std::size_t lacking(Instant Now, const FeedRequest &Request, Client &Value);
  /// Nodes that may have turned to their equal parts, as they do not hear this
  /// leader any more.
  double silentNodes(Instant Now) const;

  std::map<TargetId, Bucket> m_buckets;
  std::map<NodeId, Client> m_clients;
  /// When targets were published last.
  Instant m_published;
  /// Where the search for a target begins, so that grants are spread.
  std::size_t m_next = 0;
};

/// The rate of grants for a target that nodes of which `Silent` of `Nodes` use
/// their equal parts may send `PerSecond` to; 0 if nothing is left.
double grantRate(double PerSecond, double Nodes, double Silent);

} // namespace turmericdyke
