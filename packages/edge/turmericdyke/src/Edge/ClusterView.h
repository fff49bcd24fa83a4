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

/// A complete and current replica that accepts work.
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
  /// When the load was reported, according to this process's clock.
  Instant m_loadTime;
  std::vector<CacheEvent> m_cacheEvents;
};

/// A plain service target that accepts calls.
struct ServiceEndpoint {
  TargetId m_target;
  std::uint64_t m_incarnation = 0;
  std::string m_address;
};

/// No work is started based on a view older than this. A target must get no
/// work once it has been silent for 3 s, and targets in a view may have been
/// silent for up to 2.5 s when it was published. Without this limit, a process
/// that was paused would route by the view from before the pause.
constexpr absl::Duration ViewLifetime = absl::Milliseconds(400);

/// An immutable snapshot of the cluster that the control thread publishes for
/// request threads.
struct ClusterView {
  std::uint64_t m_revision = 0;
  std::shared_ptr<const Declaration> m_declaration =
      std::make_shared<Declaration>();
  /// The end of this node's read lease. New work is accepted only before this
  /// time.
  Instant m_leaseUntil = absl::InfinitePast();
  Instant m_publishedAt = absl::InfinitePast();
  std::map<std::string, std::vector<ServingReplica>> m_pools;
  std::map<ServiceId, std::vector<ServiceEndpoint>> m_services;
  /// Requests that were marked as suspects because their target died.
  std::map<RequestIdentity, SuspectState> m_suspects;
  /// For each pool with a suspect request, the replica that is reserved for it.
  std::map<std::string, ReplicaId> m_isolated;

  /// Whether work may be sent to a target based on this view. Must be checked
  /// immediately before each attempt, as the request may have waited in a
  /// queue, for a retry or for its once-only record.
  bool mayStart(Instant Now) const {
    return Now < m_leaseUntil && Now - m_publishedAt < ViewLifetime;
  }
};

/// Holds the newest view. The lock is only held to copy or replace a pointer.
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
