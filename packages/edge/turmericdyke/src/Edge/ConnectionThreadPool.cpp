#include "turmericdyke/src/Edge/ConnectionThreadPool.h"

#include <cassert>

namespace turmericdyke {

ConnectionThreadPool::ConnectionThreadPool(std::size_t MaxThreads)
    : m_maxThreads(MaxThreads) {
  assert(MaxThreads > 0 && "the pool needs at least one thread");
}

ConnectionThreadPool::~ConnectionThreadPool() { shutdown(); }

void ConnectionThreadPool::enqueue(std::function<void()> Task) {
  absl::MutexLock Lock(&m_lock);
  m_tasks.push_back(std::move(Task));
  if (m_idle < m_tasks.size() && m_threads.size() < m_maxThreads)
    m_threads.emplace_back([this] { runWorker(); });
}

void ConnectionThreadPool::shutdown() {
  std::vector<std::thread> Threads;
  {
    absl::MutexLock Lock(&m_lock);
    m_stopped = true;
    Threads.swap(m_threads);
  }
  for (std::thread &Thread : Threads)
    Thread.join();
}

void ConnectionThreadPool::runWorker() {
  for (;;) {
    std::function<void()> Task;
    {
      absl::MutexLock Lock(&m_lock);
      ++m_idle;
      m_lock.Await(absl::Condition(this, &ConnectionThreadPool::hasWork));
      --m_idle;
      // Connections that were accepted before the shutdown are still served.
      if (m_tasks.empty())
        return;
      Task = std::move(m_tasks.front());
      m_tasks.pop_front();
    }
    Task();
  }
}

} // namespace turmericdyke
