#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "absl/synchronization/mutex.h"
#include "turmericdyke/src/Admission/AdmissionController.h"
#include "turmericdyke/src/Edge/ClusterView.h"

namespace turmericdyke {

/// Admission control of this node for request threads, which block here while
/// their request is queued. Each pool has a shard with its own lock.
class AdmissionGate {
public:
  /// Applies the customers and pools that the view's declaration contains.
  /// Cheap if the declaration has not changed.
  void configure(Instant Now, const ClusterView &View);
  /// Sets the number of requests that this node may run concurrently on a pool;
  /// all nodes together may run `Total`.
  void setSlots(Instant Now, const std::string &Pool, std::int64_t Slots,
                std::int64_t Total);
  /// Sets this node's leased share of a customer's capacity.
  void setShare(Instant Now, const std::string &Pool,
                const CustomerId &Customer, CustomerShare Share);

  /// Waits until the request is admitted or refused.
  AdmissionDecision acquire(const std::string &Pool,
                            const AdmissionRequest &Request);
  void firstToken(const std::string &Pool, const RequestId &Request);
  void reclassify(const std::string &Pool, const RequestId &Request,
                  RequestClass Class);
  /// Frees the slot of an admitted request.
  void release(const std::string &Pool, const RequestId &Request);

  /// Running and queued requests of a customer on this node.
  struct Usage {
    std::int64_t m_running = 0;
    std::int64_t m_queued = 0;
  };
  Usage usage(const std::string &Pool, const CustomerId &Customer) const;

private:
  struct Shard {
    absl::Mutex m_lock;
    AdmissionController m_controller ABSL_GUARDED_BY(m_lock);
    /// Decisions that the waiting threads have not yet consumed.
    std::map<RequestId, AdmissionDecision> m_decided ABSL_GUARDED_BY(m_lock);
    std::map<CustomerId, Customer> m_customers ABSL_GUARDED_BY(m_lock);
  };

  Shard *find(const std::string &Pool) const;
  static void takeDecisions(Shard &PoolShard)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(PoolShard.m_lock);
  Shard &findOrAdd(const std::string &Pool);

  mutable absl::Mutex m_lock;
  std::map<std::string, std::unique_ptr<Shard>>
      m_shards ABSL_GUARDED_BY(m_lock);
  std::shared_ptr<const Declaration> m_configured ABSL_GUARDED_BY(m_lock);
};

} // namespace turmericdyke
