#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Control/ControlState.h"
#include "turmericdyke/src/Declaration/Declaration.h"
#include "turmericdyke/src/Fleet/TargetAnnouncement.h"

namespace turmericdyke {

/// A complete and current replica that may take work.
struct ServingReplica {
  ReplicaId m_replica;
  std::uint64_t m_generation = 0;
  /// IP:port of the head member.
  std::string m_headAddress;
  TargetId m_head;
  std::uint64_t m_headIncarnation = 0;
  std::int64_t m_slots = 0;
  /// Largest share of the slots that long requests may hold.
  double m_longShare = 0.5;
  TargetLoad m_load;
  /// When the load was reported, by this process's clock.
  Instant m_loadTime;
  std::vector<CacheEvent> m_cacheEvents;
};

/// A plain service target that may take calls.
struct ServiceEndpoint {
  TargetId m_target;
  std::uint64_t m_incarnation = 0;
  std::string m_address;
};

/// A view older than this starts no work. Targets in it were at most 2.5 s
/// silent when it was published, and a silent target gets no work after 3 s. A
/// process that was paused would otherwise route by the view from before.
constexpr absl::Duration ViewLifetime = absl::Milliseconds(400);

/// What request threads read: an immutable snapshot that the control thread
/// publishes.
struct ClusterView {
  std::uint64_t m_revision = 0;
  std::shared_ptr<const Declaration> m_declaration =
      std::make_shared<Declaration>();
  /// New work is accepted only before this time, see the read lease in the
  /// design.
  Instant m_leaseUntil = absl::InfinitePast();
  Instant m_publishedAt = absl::InfinitePast();
  std::map<std::string, std::vector<ServingReplica>> m_pools;
  std::map<ServiceId, std::vector<ServiceEndpoint>> m_services;
  /// Requests that were marked because their target died.
  std::map<RequestIdentity, SuspectState> m_suspects;
  /// The replica of a pool that is kept free for a suspect request.
  std::map<std::string, ReplicaId> m_isolated;

  /// Whether work may be sent to a target by this view. To be asked right
  /// before each attempt: a request may have waited in a queue, for a retry or
  /// for its once-only record.
  bool mayStart(Instant Now) const {
    return Now < m_leaseUntil && Now - m_publishedAt < ViewLifetime;
  }
};

/// Holds the newest view. The lock covers the exchange of a pointer only.
class ViewHolder {
public:
  std::shared_ptr<const ClusterView> get() const;
  void set(std::shared_ptr<const ClusterView> View);

private:
  mutable absl::Mutex m_lock;
  std::shared_ptr<const ClusterView>
      m_view ABSL_GUARDED_BY(m_lock) = std::make_shared<ClusterView>();
};

} // namespace turmericdyke
