#pragma once

#include <deque>
#include <functional>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "turmericdyke/src/Node/FleetSide.h"

namespace turmericdyke {

/// Sends orders to targets on a few threads of its own, so that a target that
/// does not answer holds up neither the control thread nor the other targets.
/// An order that waited past its expiry is dropped unsent.
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
