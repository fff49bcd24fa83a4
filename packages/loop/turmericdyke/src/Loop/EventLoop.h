#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Loop/Sockets.h"

namespace turmericdyke {

/// Event loop of one thread: dispatches descriptor readiness, timers, and work
/// posted by other threads, and sleeps otherwise. All methods except `post` and
/// `stop` must be called on the thread that calls `run`.
class EventLoop {
public:
  using Work = std::function<void()>;
  /// Receives the ready events as in epoll(7).
  using Ready = std::function<void(std::uint32_t)>;
  using AfterTurn = std::function<void(absl::Duration)>;

  /// Handle of a pending timer.
  struct Timer {
    Instant m_when = absl::InfiniteFuture();
    std::uint64_t m_id = 0;
    explicit operator bool() const { return m_id != 0; }
  };

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Calls `Callback` whenever `Events` are ready, until `unwatch`.
  void watch(int File, std::uint32_t Events, Ready Callback);
  void change(int File, std::uint32_t Events);
  void unwatch(int File);

  Timer at(Instant When, Work Callback);
  Timer after(absl::Duration Wait, Work Callback);
  /// Cancels a timer; no effect if it has fired or was never set.
  void cancel(Timer &Value);

  /// Runs `Callback` on the loop's thread, from any thread.
  void post(Work Callback);
  /// Drops the work that was posted and not yet run.
  void discardPosted();
  /// Sets a callback that runs after each iteration of the loop, for example to
  /// flush logs. It receives how long the iteration kept the thread busy.
  void setAfterTurn(AfterTurn Callback) { m_afterTurn = std::move(Callback); }

  /// Runs the loop until `stop`.
  void run();
  void stop();

  /// Iterations of the loop so far, one for each wake-up of the thread.
  std::uint64_t turns() const { return m_turns; }

private:
  struct Watch {
    std::uint32_t m_generation = 0;
    Ready m_callback;
  };

  int waitMillis() const;
  void runTimers();
  void runPosted();
  void drainWake() const;

  internal::Descriptor m_poll;
  internal::Descriptor m_wake;
  std::map<int, std::shared_ptr<Watch>> m_watches;
  std::uint32_t m_generations = 0;
  std::map<std::pair<Instant, std::uint64_t>, Work> m_timers;
  std::uint64_t m_timerIds = 0;
  std::uint64_t m_turns = 0;
  AfterTurn m_afterTurn;
  std::atomic<bool> m_stopping{false};

  absl::Mutex m_lock;
  std::vector<Work> m_posted ABSL_GUARDED_BY(m_lock);
};

} // namespace turmericdyke
