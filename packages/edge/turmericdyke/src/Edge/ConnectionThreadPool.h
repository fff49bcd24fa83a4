#pragma once

#include <deque>
#include <functional>
#include <thread>
#include <vector>

#include <httplib.h>

#include "absl/synchronization/mutex.h"

namespace turmericdyke {

/// The thread pool of one HTTP port, which uses one thread per connection.
/// Threads are created on demand up to a limit and reused. Connections beyond
/// the limit wait for an idle thread.
class ConnectionThreadPool : public httplib::TaskQueue {
public:
  explicit ConnectionThreadPool(std::size_t MaxThreads);
  ~ConnectionThreadPool() override;

  void enqueue(std::function<void()> Task) override;
  void shutdown() override;

private:
  void runWorker();
  bool hasWork() const ABSL_SHARED_LOCKS_REQUIRED(m_lock) {
    return m_stopped || !m_tasks.empty();
  }

  std::size_t m_maxThreads;
  absl::Mutex m_lock;
  std::deque<std::function<void()>> m_tasks ABSL_GUARDED_BY(m_lock);
  std::vector<std::thread> m_threads ABSL_GUARDED_BY(m_lock);
  std::size_t m_idle ABSL_GUARDED_BY(m_lock) = 0;
  bool m_stopped ABSL_GUARDED_BY(m_lock) = false;
};

} // namespace turmericdyke
