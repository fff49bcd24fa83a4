#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "absl/random/bit_gen_ref.h"
#include "absl/types/span.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Feed/LimitRecords.h"
#include "turmericdyke/src/Serving/LapsingTokens.h"

namespace turmericdyke {

struct ColdGrant;
struct ColdShare;
struct FeedRequest;
struct ServiceEntry;
struct ServingTarget;
struct TargetSignal;

/// What a response has changed in the knowledge of its target.
struct TargetSignalNews {
  bool m_limit = false;
  bool m_leaving = false;
  bool m_paused = false;
  bool m_cold = false;
};

/// Which targets this node may send a request to now, by what targets have
/// stated of themselves to this node and, through the feed, to the others.
///
/// A limit holds for all nodes together. Each node takes an equal part of it,
/// by the number of nodes that may be using targets, so that nodes which start,
/// stop or are cut off exceed it by no more than they are. A node that knows a
/// limit needs no permission of the leader; one that has not heard of it learns
/// of it with its first response or its next message from the coordinators.
///
/// The rate that the leader publishes for a cold target is divided in the same
/// way; see `coldShare`. The lower of the two limits counts.
class TargetSignals {
public:
  /// Takes the signals of a response to a request that was sent at `SentAt`.
  TargetSignalNews onResponse(Instant Now, Instant SentAt,
                              const ServingTarget &Target,
                              const TargetSignal &Signal);
  /// Takes what the leader knows.
  void learn(Instant Now, const TargetLimitList &List);
  /// Sets the number of nodes that share the limits.
  void setNodes(std::int64_t Nodes);
  /// Takes permissions for cold targets, which may be used until `Until`.
  void takeGrants(Instant Until, absl::Span<const ColdGrant> Grants);
  /// Sets when the leader was last heard. While it is not, this node uses its
  /// equal parts of the rates that it lends otherwise.
  void setLeaderHeard(Instant At) { m_leaderHeard = At; }
  /// Takes what the routing document states of cold servers.
  void setServices(absl::Span<const ServiceEntry> Services);
  /// Forgets the limits of targets that are not listed any more.
  void retain(const std::map<TargetId, ServingTarget> &Targets);

  /// Whether the target has told this node that it is leaving. It is never used
  /// again, also if a leader that does not know of it lists it once more.
  bool isLeaving(const ServingTarget &Target) const;
  /// When a request may be sent to the target, by its limit and its wish for a
  /// pause: `Now` or earlier if it may be sent now.
  Instant nextUse(Instant Now, const ServingTarget &Target,
                  absl::BitGenRef Random);
  /// When the target can be expected to take a request of this node, for a
  /// caller that is refused. Unlike `nextUse` it does not wait for a permission
  /// that would come after the target is warm.
  Instant expectedUse(Instant Now, const ServingTarget &Target,
                      absl::BitGenRef Random);
  /// The rate that all nodes together may send to the target while it is cold;
  /// nothing if it is not known to be.
  std::optional<double> coldRate(Instant Now,
                                 const ServingTarget &Target) const;
  /// A request is sent to the target.
  void onSend(Instant Now, const TargetId &Target);
  std::optional<double> limitOf(const ServingTarget &Target) const;

  /// Whether a target has stated something that the leader must learn soon.
  bool hasNews() const { return m_news; }
  /// Version of the list that was learned last.
  std::uint64_t listedVersion() const { return m_listed.version(); }
  /// Adds what the leader does not know to a request to it.
  void addReports(Instant Now, FeedRequest &Request);

private:
  struct Heard {
    TargetLimit m_limit;
    Instant m_at;
  };
  struct Departure {
    std::uint64_t m_instance = 0;
    Instant m_heardAt;
  };
  struct Until {
    std::uint64_t m_instance = 0;
    Instant m_until;
  };
  struct Granted {
    std::uint64_t m_generation = 0;
    /// The end of each unused permission.
    std::deque<Instant> m_until;
  };
  struct ColdService {
    absl::Duration m_start;
    double m_perSecond = 0;
  };
  bool hearPause(Instant Now, const ServingTarget &Target,
                 absl::Duration Wanted);
  bool hearCold(Instant Now, const ServingTarget &Target,
                absl::Duration Remaining);
  /// Until when the target wants no request from this node.
  Instant pauseEnd(const ServingTarget &Target) const;
  /// This node's part of the lower of the two limits, or of the stated one
  /// alone if the other one is lent.
  std::optional<ColdShare> shareOf(Instant Now, const ServingTarget &Target,
                                   bool Lent) const;
  /// Whether the target takes requests by grants of the leader now.
  bool isLent(Instant Now, const ServingTarget &Target) const;
  bool hasGrant(Instant Now, const ServingTarget &Target);
  Instant nextPermission(Instant Now, const ServingTarget &Target,
                         absl::BitGenRef Random);
  bool hearLimit(Instant Now, Instant SentAt, const ServingTarget &Target,
                 const TargetSignal &Signal);
  bool hearLeaving(Instant Now, const ServingTarget &Target);

  LimitRecords m_records;
  /// What the leader listed last.
  LimitRecords m_listed;
  /// The last statement of each target to this node itself.
  std::map<TargetId, Heard> m_heard;
  std::map<TargetId, LapsingTokens> m_tokens;
  std::map<TargetId, Departure> m_leaving;
  std::map<TargetId, Until> m_pauses;
  /// Until when targets stay cold, as they have stated to this node itself.
  std::map<TargetId, Until> m_coldHeard;
  std::map<TargetId, Granted> m_grants;
  Instant m_leaderHeard = absl::InfinitePast();
  /// Services that limit what their cold servers get.
  std::map<ServiceId, ColdService> m_coldServices;
  double m_nodes = 1;
  bool m_news = false;
};

} // namespace turmericdyke
