#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "absl/random/bit_gen_ref.h"
#include "absl/types/span.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

struct TargetReachOptions {
  /// The node counts as cut off from a service once new connections to this
  /// many of its targets have failed and none has worked in between. Of a
  /// service with fewer targets, all must have failed. Where half of the
  /// targets are down, that many fail in a row once in 250 times.
  std::size_t m_failedTargets = 8;
  /// A failed connection counts for this long.
  absl::Duration m_failureAge = absl::Seconds(3);
  /// Shortest time between two rounds of probes that check a suspicion. A
  /// crashed target causes one round of two probes; each round that fails makes
  /// the next one larger.
  absl::Duration m_suspicionInterval = absl::Milliseconds(400);
  /// Interval of the probes that look for the end of a cut.
  absl::Duration m_probeInterval = absl::Milliseconds(250);
  /// Connections in a row that must work before targets are used directly
  /// again.
  int m_connectionsToReturn = 2;
};

/// Tells whether this node itself is cut off from the targets of a service, as
/// opposed to targets that are down. The coordinators list only targets that
/// still announce themselves, so new connections that fail at several listed
/// targets, while none works, are the fault of this node's path. New
/// connections decide: those that are open may live on while new ones are
/// refused, and one that hangs shows nothing until its timeout.
///
/// A service whose targets have all failed at once looks the same until the
/// coordinators have noticed. That is harmless: other nodes refuse the requests
/// that are passed on to them, and no target is taken out for anyone else.
class TargetReach {
public:
  explicit TargetReach(TargetReachOptions Options = {});

  enum class Change { None, CutOff, Regained };

  /// A new connection to a target of the service could not be established, or
  /// was closed before any response. The coordinators
  /// list `Listed` targets of the service. Returns `CutOff` if the node counts
  /// as cut off from now on.
  Change connectFailed(Instant Now, const ServiceId &Service,
                       const TargetId &Target, std::size_t Listed);
  /// A new connection to a target of the service works.
  Change connected(const ServiceId &Service);

  bool isCutOff(const ServiceId &Service) const;
  /// Whether the newest new connection to the service has failed.
  bool isSuspected(const ServiceId &Service) const;
  /// Whether the node is cut off from all of these services.
  bool isCutOffFromAll(absl::Span<const ServiceId> Services) const;

  /// Chooses targets whose connections should be probed now: some that have not
  /// failed, to check a suspicion, or any, to find the end of a cut.
  std::vector<TargetId> takeProbes(Instant Now, const ServiceId &Service,
                                   absl::Span<const TargetId> Listed,
                                   absl::BitGenRef Random);
  /// The services with a suspicion or a cut, which need probes.
  std::vector<ServiceId> servicesToProbe(Instant Now) const;

private:
  struct ServiceState {
    /// Targets whose newest connection has failed since one last worked.
    std::map<TargetId, Instant> m_failed;
    bool m_cutOff = false;
    int m_working = 0;
    Instant m_probed = absl::InfinitePast();
  };

  void forgetOldFailures(Instant Now, ServiceState &State) const;

  TargetReachOptions m_options;
  std::map<ServiceId, ServiceState> m_services;
};

} // namespace turmericdyke
