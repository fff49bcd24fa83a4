#include "turmericdyke/src/Loop/EventLoop.h"

#include <cassert>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace turmericdyke {

namespace internal {
namespace {

/// Maximum number of events per call of epoll_wait(2); further ones stay queued
/// in the kernel.
constexpr int MaxEventsPerWait = 64;

std::uint64_t packed(int File, std::uint32_t Generation) {
  return (std::uint64_t{Generation} << 32) | static_cast<std::uint32_t>(File);
}

} // namespace
} // namespace internal

EventLoop::EventLoop()
    : m_poll(epoll_create1(EPOLL_CLOEXEC)),
      m_wake(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  assert(m_poll && m_wake && "out of file descriptors");
  watch(m_wake.get(), EPOLLIN, [this](std::uint32_t) { drainWake(); });
}

EventLoop::~EventLoop() = default;

void EventLoop::watch(int File, std::uint32_t Events, Ready Callback) {
  assert(m_watches.count(File) == 0 && "the descriptor is watched already");
  auto Added = std::make_shared<Watch>();
  Added->m_generation = ++m_generations;
  Added->m_callback = std::move(Callback);
  epoll_event Event{};
  Event.events = Events;
  // The generation distinguishes a closed descriptor from a new one with the
  // same number.
  Event.data.u64 = internal::packed(File, Added->m_generation);
  int Failed = epoll_ctl(m_poll.get(), EPOLL_CTL_ADD, File, &Event);
  assert(Failed == 0 && "the descriptor cannot be polled");
  (void)Failed;
  m_watches[File] = std::move(Added);
}

void EventLoop::change(int File, std::uint32_t Events) {
  auto Found = m_watches.find(File);
  assert(Found != m_watches.end() && "watch the descriptor first");
  epoll_event Event{};
  Event.events = Events;
  Event.data.u64 = internal::packed(File, Found->second->m_generation);
  epoll_ctl(m_poll.get(), EPOLL_CTL_MOD, File, &Event);
}

void EventLoop::unwatch(int File) {
  if (m_watches.erase(File) > 0)
    epoll_ctl(m_poll.get(), EPOLL_CTL_DEL, File, nullptr);
}

EventLoop::Timer EventLoop::at(Instant When, Work Callback) {
  Timer Created{When, ++m_timerIds};
  m_timers.emplace(std::pair{When, Created.m_id}, std::move(Callback));
  return Created;
}

EventLoop::Timer EventLoop::after(absl::Duration Wait, Work Callback) {
  return at(monotonicNow() + Wait, std::move(Callback));
}

void EventLoop::cancel(Timer &Value) {
  m_timers.erase({Value.m_when, Value.m_id});
  Value = Timer{};
}

void EventLoop::post(Work Callback) {
  bool Wake = false;
  {
    absl::MutexLock Lock(&m_lock);
    Wake = m_posted.empty();
    m_posted.push_back(std::move(Callback));
  }
  if (!Wake)
    return;
  std::uint64_t One = 1;
  // If the write fails because the counter is full, the loop wakes up anyway.
  (void)!write(m_wake.get(), &One, sizeof One);
}

void EventLoop::discardPosted() {
  std::vector<Work> Posted;
  {
    absl::MutexLock Lock(&m_lock);
    Posted.swap(m_posted);
  }
}

void EventLoop::stop() {
  m_stopping = true;
  post([] {});
}

void EventLoop::drainWake() const {
  std::uint64_t Count = 0;
  (void)!read(m_wake.get(), &Count, sizeof Count);
}

int EventLoop::waitMillis() const {
  if (m_timers.empty())
    return -1;
  absl::Duration Left = m_timers.begin()->first.first - monotonicNow();
  if (Left <= absl::ZeroDuration())
    return 0;
  return static_cast<int>(
      absl::ToInt64Milliseconds(absl::Ceil(Left, absl::Milliseconds(1))));
}

void EventLoop::runTimers() {
  Instant Now = monotonicNow();
  while (!m_timers.empty() && m_timers.begin()->first.first <= Now) {
    Work Due = std::move(m_timers.begin()->second);
    m_timers.erase(m_timers.begin());
    Due();
  }
}

void EventLoop::runPosted() {
  std::vector<Work> Posted;
  {
    absl::MutexLock Lock(&m_lock);
    Posted.swap(m_posted);
  }
  for (Work &Callback : Posted)
    Callback();
}

void EventLoop::run() {
  while (!m_stopping) {
    epoll_event Events[internal::MaxEventsPerWait];
    int Count = epoll_wait(m_poll.get(), Events, internal::MaxEventsPerWait,
                           waitMillis());
    ++m_turns;
    Instant Started = monotonicNow();
    for (int At = 0; At < Count; ++At) {
      int File = static_cast<int>(Events[At].data.u64 & 0xffffffff);
      auto Found = m_watches.find(File);
      if (Found == m_watches.end() ||
          Found->second->m_generation != Events[At].data.u64 >> 32)
        continue;
      // Keeps the callback alive if it unwatches its own descriptor.
      std::shared_ptr<Watch> Held = Found->second;
      Held->m_callback(Events[At].events);
    }
    runPosted();
    runTimers();
    if (m_afterTurn)
      m_afterTurn(monotonicNow() - Started);
  }
}

} // namespace turmericdyke
