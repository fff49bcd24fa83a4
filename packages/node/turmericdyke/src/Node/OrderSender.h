#pragma once

#include <deque>
#include <functional>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "turmericdyke/src/Node/FleetManager.h"

namespace turmericdyke {

/// Sends orders to targets from a small thread pool, so that a target that does
/// not answer blocks neither the control thread nor orders to other targets.
/// Orders that expire in the queue are dropped.
class OrderSender {
public:
  OrderSender();
  ~OrderSender();

  void send(Instant Now, AddressedOrder Value);

private:
  struct Queued {
    AddressedOrder m_order;
    Instant m_expires;
  };
  void run();
  bool hasWork() const ABSL_SHARED_LOCKS_REQUIRED(m_lock) {
    return m_stopped || !m_queue.empty();
  }

  absl::Mutex m_lock;
  std::deque<Queued> m_queue ABSL_GUARDED_BY(m_lock);
  bool m_stopped ABSL_GUARDED_BY(m_lock) = false;
  std::vector<std::thread> m_threads;
};

} // namespace turmericdyke
